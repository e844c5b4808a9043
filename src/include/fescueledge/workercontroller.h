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

/// Manages the workers of the racks that this node owns: adopts them, tracks their capacity, renews their leases,
/// starts the attempts that queue owners claim, reports ended attempts, and protects the services on the workers from
/// interference.
///
/// It answers the calls `reserve`, `start` and `control`, and sends `outcome` and `capacity`. All calls on the control
/// loop; the object must outlive the loop's last event.
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
