#pragma once

#include "fescueledge/resources.h"
#include "fescueledge/types.h"

#include <map>
#include <nlohmann/json_fwd.hpp>
#include <string>

namespace fescueledge {

class PartitionSet;
struct QueueContext;
struct TeamQuota;

/// What the claimed and offered tasks of each team use on all partitions, as far as this node knows.
///
/// The owners of partitions tell each other their own sums several times a second. Between two rounds an owner
/// starts for a team with a limit no more than an equal part of half of what was left at the beginning of the round, or
/// one task. So with n owners a limit is exceeded by at most what the n - 1 others may start within the two rounds that
/// a notice may lag: 2 (n - 1) times the larger of one task and 1/(2 n) of what was left. Tasks of a partition without
/// an owner are not counted until its next owner has loaded it. An excess that becomes known is logged.
class TeamUsageSystem
{
public:
    TeamUsageSystem(QueueContext *context, PartitionSet *partitions);

    void start();
    /// Begins a round when it is due: sends the sums of this node, and renews the allowances.
    void tick();
    /// All that is known to be used by @p team.
    Resources usage(const std::string &team) const;
    /// Sums over all teams.
    Resources total() const;
    /// True if one more task of @p need keeps @p quota and the allowance of this round.
    bool admits(const TeamQuota &quota, const Resources &need) const;
    /// A task of @p need is offered for @p team.
    void recordOffer(const std::string &team, const Resources &need);
    /// Recomputes the sums of this node.
    void refresh();

private:
    using UsageByTeam = std::map<std::string, Resources>;
    struct RemoteUsage
    {
        TimePoint receivedAt;
        UsageByTeam sums;
    };

    void onNotice(const NodeId &from, const nlohmann::json &body);
    void send();
    void expire(TimePoint now);
    void logExcess() const;

    QueueContext *m_context;
    PartitionSet *m_partitions;
    UsageByTeam m_localUsage;
    std::map<NodeId, RemoteUsage> m_remoteUsage;
    UsageByTeam m_usageAtRoundStart; ///< Use known when the round began.
    UsageByTeam m_offeredInRound;
    TimePoint m_lastRound;
    bool m_lastSentNonEmpty = false;
};

} // namespace fescueledge
