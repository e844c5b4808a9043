#pragma once

#include "fescueledge/workflow/workergateway.h"

#include <functional>
#include <vector>

namespace fescueledge::workflow {

/// An update of the list of workers.
struct FleetUpdate
{
    bool complete = false; ///< `present` lists all workers; otherwise those added or changed.
    std::vector<WorkerEntry> present;
    std::vector<WorkerId> removed; ///< No longer listed; their tasks may still run.
};

/// The platform's list of workers.
class FleetSource
{
public:
    using Handler = std::function<void(const FleetUpdate &)>;

    virtual ~FleetSource() = default;
    /// Starts following the list; the first update is complete. Replaces an earlier handler.
    virtual void follow(Handler handler) = 0;
    /// Stops following.
    virtual void stop() = 0;
    /// The updates so far show the list as it was at this time since boot, or later; zero before the first.
    virtual Duration confirmedAt() const = 0;
};

} // namespace fescueledge::workflow
