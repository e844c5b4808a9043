#include "dispatchsystem_pvt.h"

#include "fescueledge/authority.h"
#include "fescueledge/controlstate.h"
#include "fescueledge/loop.h"
#include "fescueledge/peertransport.h"

#include "partitionset_pvt.h"
#include "queuecontext_pvt.h"
#include "queuepartition_pvt.h"
#include "teamusage_pvt.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace fescueledge {

namespace {

constexpr int maxOffersPerTick = 256;
constexpr int maxOutstandingOffers = 1024;
constexpr int maxSkippedJobsPerTeam = 32;
constexpr std::size_t maxOffersPerMessage = 64;
constexpr Milliseconds reserveTimeout{1000};
constexpr Milliseconds firstRefusalDelay{50};
constexpr int maxRefusalDoublings = 5;
constexpr int maxUrgentRefusalDoublings = 1;
/// An urgent task is offered this many times to the node that refused it, which may be evicting for it, before other
/// nodes are considered.
constexpr int offersToSameNode = 6;
constexpr Milliseconds unansweredOfferDelay{200};
constexpr Milliseconds staleClaimDelay{100};

/// Narrows @p candidates to those of @p node, unless there are none.
void preferNode(std::vector<CapacityTable::Candidate> &candidates, const NodeId &node)
{
    std::vector<CapacityTable::Candidate> preferred;
    for (const CapacityTable::Candidate &it : candidates) {
        if (it.node == node) {
            preferred.push_back(it);
        }
    }
    if (!preferred.empty()) {
        candidates = std::move(preferred);
    }
}

} // namespace

DispatchSystem::DispatchSystem(QueueContext *context, PartitionSet *partitions, TeamUsageSystem *usage,
                               CapacityTable *capacity, ClaimedHandler onClaimed)
    : m_context(context)
    , m_partitions(partitions)
    , m_usage(usage)
    , m_capacity(capacity)
    , m_onClaimed(std::move(onClaimed))
    , m_order(makeStartOrder(context->policy.order))
    , m_nodeChoice(makeNodeChoice(context->policy.nodeChoice))
{
}

void DispatchSystem::tick()
{
    m_offersLeft = std::min(maxOffersPerTick, maxOutstandingOffers - m_outstanding);
    m_capacity->expire(m_context->loop->now());
    for (const std::shared_ptr<QueuePartition> &it : m_partitions->active()) {
        it->jobs().releaseDue(m_context->loop->now());
    }
    offerClass(TaskClass::LatencyCritical);
    offerClass(TaskClass::Batch);
    sendOffers();
}

std::vector<TeamQueue> DispatchSystem::collectTeams(TaskClass taskClass) const
{
    std::map<std::string, TeamQueue> teams;
    for (const std::shared_ptr<QueuePartition> &partition : m_partitions->active()) {
        for (const auto &[name, jobs] : partition->jobs().runnable(taskClass)) {
            teams[name].addJobs(partition, jobs);
        }
    }
    const std::shared_ptr<const ControlState> control = m_context->authority->control();
    std::vector<TeamQueue> result;
    for (auto &[name, team] : teams) {
        const TeamQuota *quota = control->findTeam(name);
        team.team = name;
        team.weight = quota == nullptr ? 1.0 : quota->weight;
        team.used = m_usage->usage(name);
        if (team.head() != nullptr) {
            result.push_back(std::move(team));
        }
    }
    return result;
}

void DispatchSystem::offerClass(TaskClass taskClass)
{
    m_unplaceable.clear();
    const std::shared_ptr<const ControlState> control = m_context->authority->control();
    std::vector<TeamQueue> teams = collectTeams(taskClass);
    const Resources total = m_capacity->totalFree() + m_usage->total();
    while (!teams.empty() && m_offersLeft > 0) {
        const std::size_t n = m_order->next(teams, total);
        TeamQueue &team = teams[n];
        const bool keepTeam = offerHead(team, *control);
        if (!keepTeam || team.head() == nullptr) {
            teams[n] = std::move(teams.back());
            teams.pop_back();
        }
    }
}

bool DispatchSystem::offerHead(TeamQueue &team, const ControlState &control)
{
    Job &job = *team.head();
    const JobSpec &spec = job.record.spec;
    const TeamQuota *quota = control.findTeam(team.team);
    if (quota != nullptr && !m_usage->admits(*quota, spec.resources)) {
        skip(team, "quota of the team");
        return team.skipped() < maxSkippedJobsPerTeam;
    }
    const bool urgent = spec.taskClass == TaskClass::LatencyCritical;
    Offer offer;
    offer.offer.pool = spec.pool;
    offer.offer.resources = spec.resources;
    std::vector<CapacityTable::Candidate> candidates;
    if (!isKnownUnplaceable(job)) {
        // A rack owner may evict batch tasks for an urgent task, so it is asked even if it reported that it is full.
        candidates = m_capacity->candidates(offer.offer, control.dataCentresOut, urgent);
    }
    if (candidates.empty()) {
        m_unplaceable.push_back({spec.pool, spec.resources});
        skip(team, "room on a worker");
        return team.skipped() < maxSkippedJobsPerTeam;
    }
    if (urgent && job.consecutiveRefusals % offersToSameNode != 0) {
        preferNode(candidates, job.lastRefusedBy);
    }
    const std::shared_ptr<QueuePartition> partition = team.headPartition();
    offer.partition = partition;
    offer.job = job.id;
    offer.candidate = m_nodeChoice->choose(candidates, m_context->random);
    offer.index = partition->jobs().takeForOffer(job);
    offer.offer = job.offer(offer.index);
    partition->jobs().reindex(job);
    m_capacity->recordOffer(offer.candidate, spec.resources);
    m_usage->recordOffer(team.team, spec.resources);
    team.used += spec.resources;
    job.waitReason.clear();
    --m_offersLeft;
    m_offers[offer.candidate.node].push_back(std::move(offer));
    team.updateHead();
    return true;
}

bool DispatchSystem::isKnownUnplaceable(const Job &job) const
{
    const JobSpec &spec = job.record.spec;
    return std::any_of(m_unplaceable.begin(), m_unplaceable.end(), [&spec](const Unplaceable &it) {
        return it.pool == spec.pool && it.need.fitsIn(spec.resources);
    });
}

void DispatchSystem::skip(TeamQueue &team, const char *waitReason)
{
    team.head()->waitReason = waitReason;
    team.skipHead();
}

void DispatchSystem::sendOffers()
{
    std::map<NodeId, std::vector<Offer>> offers;
    offers.swap(m_offers);
    for (auto &[node, list] : offers) {
        for (std::size_t i = 0; i < list.size(); i += maxOffersPerMessage) {
            const std::size_t end = std::min(list.size(), i + maxOffersPerMessage);
            const auto first = list.begin() + static_cast<std::ptrdiff_t>(i);
            const auto last = list.begin() + static_cast<std::ptrdiff_t>(end);
            send(node, std::vector<Offer>(std::make_move_iterator(first), std::make_move_iterator(last)));
        }
    }
}

void DispatchSystem::send(const NodeId &node, const std::vector<Offer> &offers)
{
    ReserveRequest request;
    for (const Offer &it : offers) {
        request.offers.push_back(it.offer);
    }
    m_outstanding += static_cast<int>(offers.size());
    m_context->counters.offers += offers.size();
    m_context->transport->call(node, PeerMessage{"reserve", request}, reserveTimeout,
                               [this, offers](const PeerResult &result) {
                                   onReply(offers, result);
                               });
}

void DispatchSystem::onReply(const std::vector<Offer> &offers, const PeerResult &result)
{
    m_outstanding -= static_cast<int>(offers.size());
    ReserveReply reply;
    if (result.answered && result.reply.kind == "reserve") {
        reply = result.reply.body.get<ReserveReply>();
    }
    for (std::size_t i = 0; i < offers.size(); ++i) {
        const Offer &offer = offers[i];
        const bool matches = i < reply.reservations.size() && reply.reservations[i].task == offer.offer.task
            && reply.reservations[i].attempt == offer.offer.attempt;
        if (matches) {
            onReservation(offer, reply.reservations[i]);
            continue;
        }
        m_capacity->recordNoAnswer(offer.candidate, offer.offer.resources);
        requeue(offer, m_context->jittered(unansweredOfferDelay));
    }
}

void DispatchSystem::onReservation(const Offer &offer, const Reservation &reservation)
{
    if (reservation.granted) {
        m_capacity->recordGrant(offer.candidate, offer.offer.resources);
    } else {
        m_capacity->recordRefusal(offer.candidate, offer.offer.resources);
    }
    const std::shared_ptr<QueuePartition> partition = offer.partition.lock();
    Job *job = partition ? partition->jobs().find(offer.job) : nullptr;
    if (job == nullptr) {
        return;
    }
    if (!reservation.granted) {
        onRefusal(offer, *job, *partition, reservation.reason);
        return;
    }
    if (job->isClosing || job->record.isClosed() || !partition->mayAct()) {
        requeue(offer, Duration::zero());
        return;
    }
    claim(offer, *job, *partition, reservation);
}

void DispatchSystem::onRefusal(const Offer &offer, Job &job, QueuePartition &partition, const std::string &reason)
{
    ++m_context->counters.refusals;
    job.refusals[offer.candidate.node] = reason;
    job.waitReason = "room on a worker";
    const bool urgent = job.record.spec.taskClass == TaskClass::LatencyCritical;
    const int maxDoublings = urgent ? maxUrgentRefusalDoublings : maxRefusalDoublings;
    const Duration delay = firstRefusalDelay * (1 << std::min(job.consecutiveRefusals, maxDoublings));
    job.lastRefusedBy = offer.candidate.node;
    if (!job.isBackingOff) {
        ++job.consecutiveRefusals;
    }
    const TimePoint notBefore = m_context->loop->now() + m_context->jittered(delay);
    partition.jobs().backOff(job, notBefore);
    partition.jobs().requeueOffer(job, offer.index, notBefore);
}

void DispatchSystem::claim(const Offer &offer, Job &job, QueuePartition &partition, const Reservation &reservation)
{
    Change change;
    change.job = offer.job;
    change.index = offer.index;
    change.next = job.task(offer.index);
    change.next.state = TaskState::Claimed;
    change.next.attempt = offer.offer.attempt;
    change.next.worker = reservation.worker;
    change.next.shard = reservation.shard;
    change.next.epoch = reservation.epoch;
    change.next.shardRowVersion = reservation.shardRowVersion;
    change.urgent = offer.offer.taskClass == TaskClass::LatencyCritical;
    change.done = [this, offer](bool committed) {
        if (committed) {
            ++m_context->counters.claims;
            m_onClaimed(offer.job, offer.index);
        } else {
            requeue(offer, m_context->jittered(staleClaimDelay));
        }
    };
    job.consecutiveRefusals = 0;
    if (!partition.writer().stage(std::move(change))) {
        requeue(offer, m_context->jittered(unansweredOfferDelay));
    }
}

void DispatchSystem::requeue(const Offer &offer, Duration delay)
{
    const std::shared_ptr<QueuePartition> partition = offer.partition.lock();
    Job *job = partition ? partition->jobs().find(offer.job) : nullptr;
    if (job != nullptr) {
        partition->jobs().requeueOffer(*job, offer.index, m_context->loop->now() + delay);
    }
}

} // namespace fescueledge
