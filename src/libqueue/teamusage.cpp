#include "teamusage_pvt.h"

#include "fescueledge/account/fairshare.h"
#include "fescueledge/authority.h"
#include "fescueledge/controlstate.h"
#include "fescueledge/loop.h"
#include "fescueledge/peertransport.h"

#include "partitionset_pvt.h"
#include "queuecontext_pvt.h"
#include "queuepartition_pvt.h"

#include <algorithm>
#include <glog/logging.h>
#include <nlohmann/json.hpp>

namespace fescueledge {

namespace {

constexpr Milliseconds roundInterval{250};
constexpr Milliseconds remoteUsageTimeout{3000};
constexpr Milliseconds callTimeout{1000};

Resources usageOf(const std::map<std::string, Resources> &sums, const std::string &team)
{
    const auto it = sums.find(team);
    return it == sums.end() ? Resources() : it->second;
}

bool exceeds(const Resources &used, const Resources &limit)
{
    return (limit.milliCores > 0 && used.milliCores > limit.milliCores)
        || (limit.memoryMb > 0 && used.memoryMb > limit.memoryMb)
        || (limit.accelerators > 0 && used.accelerators > limit.accelerators);
}

/// True if @p offered plus @p need is one task, or stays within an equal share of half of what @p used leaves of
/// @p limit.
bool isWithinAllowance(std::int64_t offered, std::int64_t need, std::int64_t limit, std::int64_t used,
                       std::int64_t owners)
{
    return limit <= 0 || offered == 0 || offered + need <= std::max<std::int64_t>(0, limit - used) / (2 * owners);
}

} // namespace

TeamUsageSystem::TeamUsageSystem(QueueContext *context, PartitionSet *partitions)
    : m_context(context)
    , m_partitions(partitions)
{
}

void TeamUsageSystem::start()
{
    m_context->transport->setReceiver(
        "team-usage", [this](const NodeId &from, const PeerMessage &message, const PeerTransport::Responder &respond) {
            onNotice(from, message.body);
            respond(PeerMessage{"team-usage", nlohmann::json::object()});
        });
}

void TeamUsageSystem::onNotice(const NodeId &from, const nlohmann::json &body)
{
    RemoteUsage remote;
    remote.receivedAt = m_context->loop->now();
    for (const nlohmann::json &it : body.at("teams")) {
        remote.sums[it.at("team").get<std::string>()] = it.at("used").get<Resources>();
    }
    m_remoteUsage[from] = remote;
}

void TeamUsageSystem::refresh()
{
    m_localUsage.clear();
    for (const std::shared_ptr<QueuePartition> &partition : m_partitions->active()) {
        for (const auto &[team, used] : partition->jobs().usage()) {
            m_localUsage[team] += used;
        }
    }
}

void TeamUsageSystem::tick()
{
    const TimePoint now = m_context->loop->now();
    refresh();
    if (now - m_lastRound < roundInterval) {
        return;
    }
    m_lastRound = now;
    expire(now);
    send();
    logExcess();
    m_offeredInRound.clear();
    m_usageAtRoundStart = m_localUsage;
    for (const auto &[node, remote] : m_remoteUsage) {
        for (const auto &[team, used] : remote.sums) {
            m_usageAtRoundStart[team] += used;
        }
    }
}

void TeamUsageSystem::expire(TimePoint now)
{
    for (auto it = m_remoteUsage.begin(); it != m_remoteUsage.end();) {
        it = now - it->second.receivedAt > remoteUsageTimeout ? m_remoteUsage.erase(it) : std::next(it);
    }
}

void TeamUsageSystem::send()
{
    if (m_localUsage.empty() && !m_lastSentNonEmpty) {
        return;
    }
    m_lastSentNonEmpty = !m_localUsage.empty();
    nlohmann::json teams = nlohmann::json::array();
    for (const auto &[team, used] : m_localUsage) {
        teams.push_back({{"team", team}, {"used", used}});
    }
    const PeerMessage message{"team-usage", {{"teams", teams}}};
    for (const NodeId &node : m_context->authority->liveNodes()) {
        if (node != m_context->authority->self()) {
            m_context->transport->call(node, message, callTimeout, [](const PeerResult &) {});
        }
    }
}

void TeamUsageSystem::logExcess() const
{
    for (const TeamQuota &quota : m_context->authority->control()->teams) {
        const Resources used = usage(quota.team);
        if (exceeds(used, quota.limit)) {
            LOG(WARNING) << "team_quota_exceeded team=" << quota.team << " milli_cores=" << used.milliCores
                         << " memory_mb=" << used.memoryMb << " accelerators=" << used.accelerators;
        }
    }
}

Resources TeamUsageSystem::usage(const std::string &team) const
{
    Resources used = usageOf(m_localUsage, team);
    for (const auto &[node, remote] : m_remoteUsage) {
        used += usageOf(remote.sums, team);
    }
    return used;
}

Resources TeamUsageSystem::total() const
{
    Resources used;
    for (const auto &[team, own] : m_localUsage) {
        used += own;
    }
    for (const auto &[node, remote] : m_remoteUsage) {
        for (const auto &[team, other] : remote.sums) {
            used += other;
        }
    }
    return used;
}

bool TeamUsageSystem::admits(const TeamQuota &quota, const Resources &need) const
{
    if (!account::isWithinLimit(usage(quota.team), need, quota.limit)) {
        return false;
    }
    const auto owners = static_cast<std::int64_t>(std::max<std::size_t>(1, m_context->authority->liveNodes().size()));
    if (owners == 1) {
        return true;
    }
    const Resources added = usageOf(m_offeredInRound, quota.team);
    const Resources used = usageOf(m_usageAtRoundStart, quota.team);
    return isWithinAllowance(added.milliCores, need.milliCores, quota.limit.milliCores, used.milliCores, owners)
        && isWithinAllowance(added.memoryMb, need.memoryMb, quota.limit.memoryMb, used.memoryMb, owners)
        && isWithinAllowance(added.accelerators, need.accelerators, quota.limit.accelerators, used.accelerators,
                             owners);
}

void TeamUsageSystem::recordOffer(const std::string &team, const Resources &need)
{
    m_localUsage[team] += need;
    m_offeredInRound[team] += need;
}

} // namespace fescueledge
