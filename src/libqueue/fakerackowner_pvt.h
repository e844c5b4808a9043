#pragma once

#include "fakeworkers_pvt.h"

#include "fescueledge/authority.h"
#include "fescueledge/loop.h"
#include "fescueledge/peertransport.h"

#include <utility>

namespace fescueledge {

/// A simple rack owner for tests: it answers `reserve`, `start` and `control`, and sends `outcome` and `capacity`.
class FakeRackOwner
{
public:
    FakeRackOwner(Loop *loop, PeerTransport *transport, Authority *authority, FakeWorkers *workers, std::uint64_t seed);
    void start();

    double staleReportChance = 0; ///< Probability that an old report is sent again with each message.
    int maxStartsPerSecond = 0; ///< Limit of this node; 0 for none.

private:
    void tick();
    using Key = std::pair<TaskId, Attempt>;
    struct Hold
    {
        WorkerId worker;
        TaskOffer offer;
        TimePoint until;
    };

    std::vector<FakeWorkers::Worker *> ownWorkers();
    Resources freeResources(const FakeWorkers::Worker &worker) const;
    Reservation reserve(const TaskOffer &offer);
    void evictFor(const TaskOffer &offer);
    void onClaim(const Reservation &claim);
    void startDue();
    void sendCapacity();
    void sendOutcomes();
    void onSettled(const OutcomeReply &reply);
    void refuse(const Reservation &claim, bool workerLost);

    Loop *m_loop;
    PeerTransport *m_transport;
    Authority *m_authority;
    FakeWorkers *m_workers;
    Random m_random;
    std::map<Key, Hold> m_holds;
    std::vector<std::pair<WorkerId, TaskOffer>> m_toStart;
    std::map<Key, OutcomeReport::Item> m_ownOutcomes; ///< Outcomes that the rack owner itself determined.
    std::vector<OutcomeReport::Item> m_staleReports;
    int m_ticks = 0;
};

} // namespace fescueledge
