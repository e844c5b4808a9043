#pragma once

#include "fescueledge/types.h"

#include <cstdint>
#include <set>

namespace fescueledge {

struct VmEntry;
struct WorkerContext;

/// Keeps one row per worker of the racks that this node owns. A worker is adopted again under each new epoch.
class InventorySystem
{
public:
    explicit InventorySystem(WorkerContext *context);

    void run();
    /// Sets the pool of each worker from the control state in force.
    void updatePools();

private:
    void updateAcquisitions(const std::set<ShardId> &owned);
    void removeReleased(const std::set<ShardId> &owned);
    void updateWorker(const VmEntry &vm, const ShardId &shard);

    WorkerContext *m_context;
    std::uint64_t m_nextGeneration = 1;
};

} // namespace fescueledge
