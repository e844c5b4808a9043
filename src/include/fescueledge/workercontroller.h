#pragma once

#include "fescueledge/endpointdirectory.h"
#include "fescueledge/placementdecision.h"
#include "fescueledge/workerpolicy.h"
#include "fescueledge/workerstatus.h"
#include "fescueledge/workertimings.h"

#include <cstdint>
#include <memory>
#include <vector>

namespace fescueledge {

class Authority;
class Loop;
class PeerTransport;
class VmDirectory;
class WorkerAgent;

/// Runs the workers of the racks that this node owns: adopts them, keeps their capacity, renews their leases, starts
/// what queue owners claim, reports what ended, and defends the services there.
///
/// It answers the calls `reserve`, `start` and `control`, and sends `outcome` and `capacity`. All calls on the control
/// loop. The object must live until the loop runs no more events.
class WorkerController : public EndpointDirectory
{
public:
    WorkerController(Loop *loop, WorkerAgent *agent, PeerTransport *transport, Authority *authority,
                     VmDirectory *vmDirectory, const WorkerTimings &timings, std::uint64_t seed,
                     const WorkerPolicy &policy = WorkerPolicy());
    ~WorkerController() override;
    WorkerController(const WorkerController &) = delete;
    WorkerController &operator=(const WorkerController &) = delete;

    /// Registers the receivers and starts the periodic work. Called once.
    void start();

    std::vector<EndpointEntry> endpointsOf(const std::string &pool) const override;
    /// The workers that this node owns, ordered by name.
    std::vector<WorkerStatus> status() const;
    /// The last decisions about @p task on this node, oldest first.
    std::vector<PlacementDecision> explain(const TaskId &task) const;

private:
    struct Systems;
    std::unique_ptr<Systems> m_systems;
};

} // namespace fescueledge
