#include "fescueledge/testing/faketaskqueue.h"

#include "fescueledge/loop.h"
#include "fescueledge/peertransport.h"
#include "fescueledge/testing/fakerackauthority.h"

#include <algorithm>

namespace fescueledge {

namespace {

constexpr Milliseconds tickInterval{200};
constexpr Milliseconds callTimeout{1000};
constexpr Milliseconds startResendTimeout{12000};
constexpr std::size_t maxOffersPerCall = 16;

} // namespace

FakeTaskQueue::FakeTaskQueue(Loop *loop, PeerTransport *transport, FakeOwnership *ownership)
    : m_loop(loop)
    , m_transport(transport)
    , m_ownership(ownership)
{
}

void FakeTaskQueue::start()
{
    m_transport->setReceiver(
        "outcome", [this](const NodeId &, const PeerMessage &message, const PeerTransport::Responder &respond) {
            respond({message.kind, onOutcome(message.body.get<OutcomeReport>())});
        });
    tick();
}

void FakeTaskQueue::add(const TaskOffer &offer)
{
    Task &task = m_tasks[offer.task];
    task.offer = offer;
    task.offer.attempt = 0;
    requeue(&task);
}

int FakeTaskQueue::pending() const
{
    return static_cast<int>(m_urgent.size() + m_batch.size());
}

int FakeTaskQueue::claimed() const
{
    int claimed = 0;
    for (auto it = m_tasks.begin(); it != m_tasks.end(); ++it) {
        claimed += it->second.claimed ? 1 : 0;
    }
    return claimed;
}

void FakeTaskQueue::tick()
{
    reserve();
    resendStarts();
    m_loop->postAfter(tickInterval, [this] {
        tick();
    });
}

void FakeTaskQueue::requeue(Task *task)
{
    task->claimed = false;
    ++task->offer.attempt;
    std::deque<TaskId> &queue = task->offer.taskClass == TaskClass::Batch ? m_batch : m_urgent;
    queue.push_back(task->offer.task);
}

void FakeTaskQueue::reserve()
{
    for (std::size_t asked = 0; asked < m_ownership->nodes.size() && pending() > 0; ++asked) {
        auto node = m_ownership->nodes.begin();
        std::advance(node, m_nextNode++ % m_ownership->nodes.size());
        if (m_asking[node->first]) {
            continue;
        }
        ReserveRequest request;
        std::vector<TaskId> tasks;
        while (tasks.size() < maxOffersPerCall && pending() > 0) {
            std::deque<TaskId> &queue = m_urgent.empty() ? m_batch : m_urgent;
            tasks.push_back(queue.front());
            request.offers.push_back(m_tasks.at(queue.front()).offer);
            queue.pop_front();
        }
        m_asking[node->first] = true;
        const NodeId to = node->first;
        m_transport->call(to, {"reserve", request}, callTimeout, [this, to, tasks](const PeerResult &result) {
            m_asking[to] = false;
            onReserved(tasks, result.answered ? result.reply.body.get<ReserveReply>() : ReserveReply());
        });
    }
}

void FakeTaskQueue::onReserved(const std::vector<TaskId> &tasks, const ReserveReply &reply)
{
    std::map<NodeId, StartRequest> starts;
    for (std::size_t i = tasks.size(); i > 0; --i) {
        Task &task = m_tasks.at(tasks[i - 1]);
        const Reservation reservation = i <= reply.reservations.size() ? reply.reservations[i - 1] : Reservation();
        const auto shard = m_ownership->shards.find(reservation.shard);
        if (!reservation.granted || shard == m_ownership->shards.end()
            || shard->second.version != reservation.shardRowVersion) {
            std::deque<TaskId> &queue = task.offer.taskClass == TaskClass::Batch ? m_batch : m_urgent;
            queue.push_front(task.offer.task);
            continue;
        }
        task.claimed = true;
        task.claim = reservation;
        task.heard = m_loop->now();
        starts[shard->second.owner].claims.push_back(reservation);
    }
    for (auto it = starts.begin(); it != starts.end(); ++it) {
        m_transport->call(it->first, {"start", it->second}, callTimeout, [](const PeerResult &) {});
    }
}

void FakeTaskQueue::resendStarts()
{
    std::map<NodeId, StartRequest> starts;
    for (auto it = m_tasks.begin(); it != m_tasks.end(); ++it) {
        Task &task = it->second;
        if (task.claimed && m_loop->now() - task.heard > startResendTimeout) {
            task.heard = m_loop->now();
            starts[m_ownership->shards.at(task.claim.shard).owner].claims.push_back(task.claim);
        }
    }
    for (auto it = starts.begin(); it != starts.end(); ++it) {
        m_transport->call(it->first, {"start", it->second}, callTimeout, [](const PeerResult &) {});
    }
}

OutcomeReply FakeTaskQueue::onOutcome(const OutcomeReport &report)
{
    OutcomeReply reply;
    for (const OutcomeReport::Item &item : report.items) {
        const auto it = m_tasks.find(item.report.task);
        const bool current =
            it != m_tasks.end() && it->second.claimed && it->second.claim.attempt == item.report.attempt;
        if (!current) {
            reply.settled.push_back({item.report.task, item.report.attempt, true});
            continue;
        }
        it->second.heard = m_loop->now();
        if (item.report.isTerminal() || item.workerLost) {
            onEnded(&it->second, item);
            reply.settled.push_back({item.report.task, item.report.attempt, false});
        }
    }
    return reply;
}

bool FakeTaskQueue::onEnded(Task *task, const OutcomeReport::Item &item)
{
    const TaskReport::State state = item.report.state;
    lost += item.workerLost ? 1 : 0;
    refused += state == TaskReport::State::Refused ? 1 : 0;
    evicted += state == TaskReport::State::Checkpointed ? 1 : 0;
    task->offer.checkpoint = state == TaskReport::State::Checkpointed ? item.report.checkpoint : task->offer.checkpoint;
    if (state == TaskReport::State::Failed) {
        ++task->failures;
        task->offer.avoid.push_back(item.worker);
    }
    if (state == TaskReport::State::Finished || task->failures >= maxAttemptsPerTask) {
        task->claimed = false;
        (state == TaskReport::State::Finished ? done : givenUp).insert(task->offer.task);
        return true;
    }
    requeue(task);
    return false;
}

} // namespace fescueledge
