#pragma once

#include "fescueledge/types.h"

namespace fescueledge {

class PlacementSystem;
struct CapacityNotice;
struct WorkerContext;

/// Sends the free capacity of this node's workers to all live nodes at a fixed interval.
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
