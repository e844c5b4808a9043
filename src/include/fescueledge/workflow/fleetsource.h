#pragma once

#include "fescueledge/workflow/workergateway.h"

#include <functional>
#include <vector>

namespace fescueledge::workflow {

/// News of which workers there are.
struct FleetNews
{
    bool complete = false; ///< The workers given are all there are; otherwise they are those that changed.
    std::vector<WorkerEntry> present;
    std::vector<WorkerId> gone; ///< No longer listed; their tasks may still run.
};

/// The platform's list of workers.
class FleetSource
{
public:
    using Handler = std::function<void(const FleetNews &)>;

    virtual ~FleetSource() = default;
    /// Starts to follow the list; the first news is complete. Replaces an earlier handler.
    virtual void follow(Handler handler) = 0;
    /// Stops following.
    virtual void stop() = 0;
};

} // namespace fescueledge::workflow
