#pragma once

#include <memory>

namespace fescueledge {

struct Pool;
struct WorkerContext;
struct WorkerRow;

/// Defends the service on a worker against the batch work beside it.
class InterferencePolicy
{
public:
    virtual ~InterferencePolicy() = default;
    /// Acts on a fresh measurement: @p ratio is p99 over the target of the pool.
    virtual void onMeasured(WorkerRow *worker, double ratio) = 0;
};

/// The policy that the settings name.
/// @throws Error InvalidSettings if the name is unknown.
std::unique_ptr<InterferencePolicy> makeInterferencePolicy(WorkerContext *context);

} // namespace fescueledge
