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
        double freeSlots = 0; ///< How many such tasks fit by the last notice and the offers since.
    };

    /// Takes the notice of @p node in place of its last one.
    void update(const NodeId &node, const CapacityNotice &notice, TimePoint now);
    /// Forgets notices older than a few seconds.
    void expire(TimePoint now);
    /// Nodes with room for @p offer outside of @p dataCentresOut. With @p evenIfFull also nodes without room now.
    std::vector<Candidate> candidates(const TaskOffer &offer, const std::set<DataCentreId> &excludedDataCentres,
                                      bool includeFull) const;
    /// An offer of @p need goes to @p candidate.
    void recordOffer(const Candidate &candidate, const Resources &need);
    /// The answer to that offer came: granted, refused, or none.
    void recordGrant(const Candidate &candidate, const Resources &need);
    void recordRefusal(const Candidate &candidate, const Resources &need);
    void recordNoAnswer(const Candidate &candidate, const Resources &need);
    /// An attempt that used @p freed at @p node ended in @p pool of @p dataCentre.
    void recordFreed(const NodeId &node, const std::string &pool, const DataCentreId &dataCentre,
                     const Resources &freed);
    /// True if some VM seen lately could hold @p need in @p pool when empty, or if too little was seen to say so.
    bool mayEverFit(const std::string &pool, const Resources &need, TimePoint now) const;
    /// True if a VM of @p pool was seen lately; of any pool if it is empty.
    bool hasSeenPool(const std::string &pool) const;
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
    struct NodeCapacity
    {
        TimePoint receivedAt;
        std::vector<Cell> cells;
    };
    struct ObservedVmSize
    {
        Resources largest;
        TimePoint firstSeen;
        TimePoint lastSeen;
    };

    Cell *findCell(const Candidate &candidate);
    static double slotsFor(const Cell &cell, const TaskOffer &offer);

    std::map<NodeId, NodeCapacity> m_nodes;
    std::map<std::pair<std::string, DataCentreId>, ObservedVmSize> m_observedVmSizes;
};

} // namespace fescueledge
