#pragma once

#include "fescueledge/types.h"

#include <map>
#include <string>
#include <vector>

namespace fescueledge::load {

/// Decides whether the store has gone silent, so that a write sent now would not be answered in time.
///
/// Responds to a store that answers no call. Any answer to this node shows that the store is not silent: one that is
/// slow, loses some answers, or refuses calls, is not. Reports of other nodes shorten the wait for the evidence of this
/// node, and never replace it.
class StoreHealth
{
public:
    /// A call has been sent.
    void recordSent(TimePoint now);
    /// A call was answered.
    void recordAnswer(TimePoint now);
    /// The call that was sent at @p sentAt has ended without an answer. If it ended soon, its connection was refused,
    /// which says nothing about the store.
    void recordFailure(TimePoint sentAt, TimePoint now);
    /// Node @p reporter has reported that @p silentNodes nodes, itself included, find the store silent.
    void recordReport(const std::string &reporter, int silentNodes, TimePoint now);

    /// The store answers no call of this node; writes would not be answered.
    bool isSilent(TimePoint now) const;
    /// There is a sign that the store may be silent, so a call should be sent to find out.
    bool isInDoubt(TimePoint now) const;
    /// How many other nodes have found the store silent, by the reports that are still valid.
    int othersSilent(TimePoint now, const std::string &except = std::string()) const;
    /// For how long no call has been answered.
    Duration unansweredFor(TimePoint now) const;

private:
    struct Report
    {
        int silentNodes = 0;
        TimePoint at{};
    };

    std::vector<TimePoint> m_unanswered; ///< When the calls were sent that none has been answered since.
    std::map<std::string, Report> m_reports; ///< The last one, by node.
};

} // namespace fescueledge::load
