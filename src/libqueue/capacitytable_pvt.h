#pragma once

#include "fescueledge/dispatchmessages.h"

#include <map>
#include <set>
#include <utility>

namespace fescueledge {

/// What the rack owners said that they have free, corrected by what this node did since.
class CapacityTable
{
public:
    /// A node that could take an offer.
    struct Candidate
    {
        NodeId node;
        std::size_t cell = 0; ///< Which of the node's rooms.
        double room = 0; ///< How many such tasks fit by the last notice and the offers since.
    };

    /// Takes the notice of @p node in place of its last one.
    void update(const NodeId &node, const CapacityNotice &notice, TimePoint now);
    /// Forgets notices older than a few seconds.
    void expire(TimePoint now);
    /// Nodes with room for @p offer outside of @p dataCentresOut. With @p evenIfFull also nodes without room now.
    std::vector<Candidate> candidates(const TaskOffer &offer, const std::set<DataCentreId> &dataCentresOut,
                                      bool evenIfFull) const;
    /// An offer of @p need goes to @p candidate.
    void offered(const Candidate &candidate, const Resources &need);
    /// The answer to that offer came: granted, refused, or none.
    void granted(const Candidate &candidate, const Resources &need);
    void refused(const Candidate &candidate, const Resources &need);
    void unanswered(const Candidate &candidate, const Resources &need);
    /// An attempt that used @p freed at @p node ended in @p pool of @p dataCentre.
    void ended(const NodeId &node, const std::string &pool, const DataCentreId &dataCentre, const Resources &freed);
    /// True if some VM seen lately could hold @p need in @p pool when empty, or if too little was seen to say so.
    bool couldEverHold(const std::string &pool, const Resources &need, TimePoint now) const;
    /// True if a VM of @p pool was seen lately; of any pool if it is empty.
    bool knowsPool(const std::string &pool) const;
    /// Sum of what is free.
    Resources totalFree() const;

private:
    struct Cell
    {
        std::string pool;
        DataCentreId dataCentre;
        Resources free;
        Resources largest;
        Resources largestVm;
        Resources outstanding; ///< Offered and not answered.
        std::vector<Resources> refusals; ///< Needs refused since the last notice.
    };
    struct NodeRoom
    {
        TimePoint heard;
        std::vector<Cell> cells;
    };
    struct SeenVm
    {
        Resources largest;
        TimePoint firstSeen;
        TimePoint lastSeen;
    };

    Cell *cellOf(const Candidate &candidate);
    static double roomFor(const Cell &cell, const TaskOffer &offer);

    std::map<NodeId, NodeRoom> m_nodes;
    std::map<std::pair<std::string, DataCentreId>, SeenVm> m_seen;
};

} // namespace fescueledge
