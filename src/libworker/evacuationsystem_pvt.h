#pragma once

#include "fescueledge/types.h"

namespace fescueledge {

struct WorkerContext;

/// Checkpoints running attempts on leaving workers and, at a bounded rate, in data centres that are out of service.
class EvacuationSystem
{
public:
    explicit EvacuationSystem(WorkerContext *context);
    void run();

private:
    WorkerContext *m_context;
    double m_allowance = 0;
    TimePoint m_allowanceUpdatedAt;
};

} // namespace fescueledge
