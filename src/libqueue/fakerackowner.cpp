#include "fakerackowner_pvt.h"

#include "fescueledge/authority.h"
#include "jobrecord_pvt.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace fescueledge {

namespace {

constexpr Milliseconds tickInterval{100};
constexpr Milliseconds holdTimeout{3000};
constexpr Milliseconds callTimeout{800};
constexpr std::size_t maxStaleReports = 64;

} // namespace

FakeRackOwner::FakeRackOwner(Loop *loop, PeerTransport *transport, Authority *authority, FakeWorkers *workers,
                             std::uint64_t seed)
    : m_loop(loop)
    , m_transport(transport)
    , m_authority(authority)
    , m_workers(workers)
    , m_random(seed)
{
}

void FakeRackOwner::start()
{
    m_transport->setReceiver(
        "reserve", [this](const NodeId &, const PeerMessage &message, const PeerTransport::Responder &respond) {
            ReserveReply reply;
            for (const TaskOffer &it : message.body.get<ReserveRequest>().offers) {
                reply.reservations.push_back(reserve(it));
            }
            respond(PeerMessage{"reserve", reply});
        });
    m_transport->setReceiver(
        "start", [this](const NodeId &, const PeerMessage &message, const PeerTransport::Responder &respond) {
            for (const Reservation &it : message.body.get<StartRequest>().claims) {
                onClaim(it);
            }
            respond(PeerMessage{"start", nlohmann::json::object()});
        });
    m_transport->setReceiver(
        "control", [this](const NodeId &, const PeerMessage &message, const PeerTransport::Responder &respond) {
            for (const ControlRequest::Item &it : message.body.get<ControlRequest>().items) {
                m_workers->stop(m_workers->workers[it.worker], it.task, it.attempt, it.checkpoint);
            }
            respond(PeerMessage{"control", nlohmann::json::object()});
        });
    m_loop->post([this] {
        tick();
    });
}

void FakeRackOwner::tick()
{
    startDue();
    sendOutcomes();
    if (m_ticks++ % 10 == 0) {
        sendCapacity();
    }
    m_loop->postAfter(tickInterval, [this] {
        tick();
    });
}

std::vector<FakeWorkers::Worker *> FakeRackOwner::ownWorkers()
{
    std::vector<FakeWorkers::Worker *> result;
    for (auto &[id, worker] : m_workers->workers) {
        if (worker.up && m_authority->ownedEpoch(worker.rack)) {
            result.push_back(&worker);
        }
    }
    return result;
}

Resources FakeRackOwner::freeResources(const FakeWorkers::Worker &worker) const
{
    Resources result = worker.size - m_workers->used(worker);
    for (const auto &[key, hold] : m_holds) {
        if (hold.worker == worker.id && hold.until > m_loop->now()) {
            result -= hold.offer.resources;
        }
    }
    for (const auto &[id, offer] : m_toStart) {
        if (id == worker.id) {
            result -= offer.resources;
        }
    }
    return result;
}

Reservation FakeRackOwner::reserve(const TaskOffer &offer)
{
    Reservation reservation;
    reservation.task = offer.task;
    reservation.attempt = offer.attempt;
    reservation.reason = "no room";
    // Releases the hold that evictFor() made for this task, so that its capacity counts as free.
    m_holds.erase({offer.task, offer.attempt});
    for (const bool avoid : {true, false}) {
        for (FakeWorkers::Worker *worker : ownWorkers()) {
            const bool avoided = std::count(offer.avoid.begin(), offer.avoid.end(), worker->id) != 0;
            if ((avoid && avoided) || !offer.resources.fitsIn(freeResources(*worker))) {
                continue;
            }
            reservation.granted = true;
            reservation.worker = worker->id;
            reservation.shard = worker->rack;
            reservation.epoch = *m_authority->ownedEpoch(worker->rack);
            reservation.shardRowVersion = *m_authority->ownedRowVersion(worker->rack);
            m_holds[{offer.task, offer.attempt}] = Hold{worker->id, offer, m_loop->now() + holdTimeout};
            return reservation;
        }
    }
    if (offer.taskClass == TaskClass::LatencyCritical) {
        evictFor(offer);
    }
    return reservation;
}

void FakeRackOwner::evictFor(const TaskOffer &offer)
{
    for (FakeWorkers::Worker *worker : ownWorkers()) {
        for (auto &[task, runs] : worker->runs) {
            for (auto &[attempt, run] : runs) {
                const bool evictable = !run.report.isTerminal() && run.offer.taskClass == TaskClass::Batch;
                if (evictable && offer.resources.fitsIn(run.offer.resources)) {
                    m_workers->stop(*worker, task, attempt, true);
                    m_holds[{offer.task, offer.attempt}] = Hold{worker->id, offer, m_loop->now() + holdTimeout};
                    return;
                }
            }
        }
    }
}

void FakeRackOwner::onClaim(const Reservation &claim)
{
    if (!m_authority->ownedEpoch(claim.shard)) {
        return;
    }
    FakeWorkers::Worker &worker = m_workers->workers[claim.worker];
    const auto runs = worker.runs.find(claim.task);
    const bool has = runs != worker.runs.end() && runs->second.count(claim.attempt) != 0;
    const bool waits = std::any_of(m_toStart.begin(), m_toStart.end(), [&claim](const auto &it) {
        return it.second.task == claim.task && it.second.attempt == claim.attempt;
    });
    const Key key{claim.task, claim.attempt};
    if (has || waits || m_ownOutcomes.count(key) != 0) {
        return;
    }
    const auto hold = m_holds.find(key);
    const bool held = hold != m_holds.end() && hold->second.worker == claim.worker && hold->second.until > m_loop->now()
        && *m_authority->ownedEpoch(claim.shard) == claim.epoch;
    if (!worker.up || !held) {
        refuse(claim, !worker.up || m_workers->losses.count(key) != 0);
        return;
    }
    m_toStart.emplace_back(claim.worker, hold->second.offer);
    m_holds.erase(hold);
    if (maxStartsPerSecond == 0) {
        startDue();
    }
}

void FakeRackOwner::refuse(const Reservation &claim, bool workerLost)
{
    OutcomeReport::Item item;
    item.report.task = claim.task;
    item.report.attempt = claim.attempt;
    item.report.state = workerLost ? TaskReport::State::Stopped : TaskReport::State::Refused;
    item.worker = claim.worker;
    item.epoch = claim.epoch;
    item.workerLost = workerLost;
    m_ownOutcomes[{claim.task, claim.attempt}] = item;
}

void FakeRackOwner::startDue()
{
    std::size_t n = maxStartsPerSecond == 0 ? m_toStart.size() : static_cast<std::size_t>(maxStartsPerSecond / 10);
    n = std::min(n, m_toStart.size());
    std::vector<std::pair<WorkerId, TaskOffer>> due(m_toStart.begin(),
                                                    m_toStart.begin() + static_cast<std::ptrdiff_t>(n));
    m_toStart.erase(m_toStart.begin(), m_toStart.begin() + static_cast<std::ptrdiff_t>(n));
    for (const auto &[id, offer] : due) {
        FakeWorkers::Worker &worker = m_workers->workers[id];
        if (worker.up && m_authority->ownedEpoch(worker.rack)) {
            m_workers->start(worker, offer);
        }
    }
}

void FakeRackOwner::sendCapacity()
{
    CapacityNotice::Item item;
    item.dataCentre = "dc";
    for (FakeWorkers::Worker *worker : ownWorkers()) {
        const Resources free = freeResources(*worker);
        item.free += free;
        item.largest.milliCores = std::max(item.largest.milliCores, free.milliCores);
        item.largest.memoryMb = std::max(item.largest.memoryMb, free.memoryMb);
        item.largestVm = worker->size;
    }
    CapacityNotice notice;
    if (item.largestVm != Resources()) {
        notice.items.push_back(item);
    }
    for (const NodeId &it : m_authority->liveNodes()) {
        m_transport->call(it, PeerMessage{"capacity", notice}, callTimeout, [](const PeerResult &) {});
    }
}

void FakeRackOwner::sendOutcomes()
{
    std::map<NodeId, OutcomeReport> reports;
    const auto add = [this, &reports](const OutcomeReport::Item &item) {
        const NodeId owner = m_authority->ownerOf(queueShard(partitionOfJob(jobOfTask(item.report.task))));
        if (!owner.empty()) {
            reports[owner].items.push_back(item);
        }
    };
    for (FakeWorkers::Worker *worker : ownWorkers()) {
        for (const auto &[task, runs] : worker->runs) {
            for (const auto &[attempt, run] : runs) {
                if (run.report.isTerminal() || m_ticks % 20 == 0) {
                    add({run.report, worker->id, *m_authority->ownedEpoch(worker->rack), false});
                }
            }
        }
    }
    for (const auto &[key, loss] : m_workers->losses) {
        if (loss.reportedUnprompted && m_authority->ownedEpoch(loss.rack)) {
            OutcomeReport::Item item;
            item.report.task = key.first;
            item.report.attempt = key.second;
            item.worker = loss.worker;
            item.workerLost = true;
            add(item);
        }
    }
    for (const auto &[key, item] : m_ownOutcomes) {
        add(item);
    }
    if (!m_staleReports.empty() && m_random.chance(staleReportChance)) {
        add(m_staleReports[m_random.below(m_staleReports.size())]);
    }
    for (const auto &[node, report] : reports) {
        for (const OutcomeReport::Item &it : report.items) {
            if (it.report.isTerminal() && staleReportChance > 0) {
                m_staleReports.push_back(it);
            }
        }
        m_transport->call(node, PeerMessage{"outcome", report}, callTimeout, [this](const PeerResult &result) {
            if (result.answered) {
                onSettled(result.reply.body.get<OutcomeReply>());
            }
        });
    }
    if (m_staleReports.size() > maxStaleReports) {
        m_staleReports.erase(m_staleReports.begin(), m_staleReports.end() - maxStaleReports);
    }
}

void FakeRackOwner::onSettled(const OutcomeReply &reply)
{
    for (const OutcomeReply::Item &it : reply.settled) {
        m_ownOutcomes.erase({it.task, it.attempt});
        m_workers->losses.erase({it.task, it.attempt});
        for (FakeWorkers::Worker *worker : ownWorkers()) {
            m_workers->acknowledge(*worker, it.task, it.attempt);
        }
    }
}

} // namespace fescueledge
