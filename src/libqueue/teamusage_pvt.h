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

/// Resources that the claimed and offered tasks of each team use on all partitions, as far as this node knows.
///
/// Partition owners send each other their own sums several times a second. In each round an owner starts, for a team
/// with a limit, at most an equal share of half of the limit left at the beginning of the round, or one task. So with n
/// owners a limit is exceeded by at most what the n - 1 others may start within the two rounds that a notice may lag:
/// 2 (n - 1) times the larger of one task and 1/(2 n) of what was left. Tasks of a partition without an owner are not
/// counted until its next owner has loaded it. A known excess is logged.
class TeamUsageSystem
{
public:
    TeamUsageSystem(QueueContext *context, PartitionSet *partitions);

    void start();
    /// Starts a round when it is due: sends the sums of this node and resets the allowances.
    void tick();
    /// Known usage of @p team on all partitions.
    Resources usage(const std::string &team) const;
    /// Known usage of all teams.
    Resources total() const;
    /// True if one more task of @p need stays within @p quota and the allowance of this round.
    bool admits(const TeamQuota &quota, const Resources &need) const;
    /// Records the offer of a task of @p need for @p team.
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
    UsageByTeam m_usageAtRoundStart; ///< Usage known when the round began.
    UsageByTeam m_offeredInRound;
    TimePoint m_lastRound;
    bool m_lastSentNonEmpty = false;
};

} // namespace fescueledge
