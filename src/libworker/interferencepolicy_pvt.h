#pragma once

#include <memory>

namespace fescueledge {

struct Pool;
struct WorkerContext;
struct WorkerRow;

/// Protects the latency of the service on a worker from co-located batch work.
class InterferencePolicy
{
public:
    virtual ~InterferencePolicy() = default;
    /// Reacts to a new measurement; @p ratio is p99 over the target of the pool.
    virtual void onMeasured(WorkerRow *worker, double ratio) = 0;
};

/// Creates the policy that the settings name.
/// @throws Error InvalidSettings if the name is unknown.
std::unique_ptr<InterferencePolicy> makeInterferencePolicy(WorkerContext *context);

} // namespace fescueledge
