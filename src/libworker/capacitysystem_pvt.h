#pragma once

#include "fescueledge/types.h"

namespace fescueledge {

class PlacementSystem;
struct CapacityNotice;
struct WorkerContext;

/// Tells all nodes what is free on the workers of this node, once an interval.
class CapacitySystem
{
public:
    CapacitySystem(WorkerContext *context, const PlacementSystem *placement);
    void run();

private:
    CapacityNotice buildNotice() const;

    WorkerContext *m_context;
    const PlacementSystem *m_placement;
    TimePoint m_lastNotice;
};

} // namespace fescueledge
