#pragma once

#include "fescueledge/dispatchmessages.h"

#include <map>
#include <set>
#include <utility>

namespace fescueledge {

/// Free capacity as last reported by the rack owners, corrected by offers and outcomes that this node handled since.
class CapacityTable
{
public:
    /// A node that may accept an offer.
    struct Candidate
    {
        NodeId node;
        std::size_t cell = 0; ///< Index among the node's cells.
        double freeSlots = 0; ///< Tasks of this size that fit by the last notice and the offers since.
    };

    /// Replaces the last notice of @p node.
    void update(const NodeId &node, const CapacityNotice &notice, TimePoint now);
    /// Drops notices older than a few seconds, and VM sizes that were not reported for minutes.
    void expire(TimePoint now);
    /// Nodes with free capacity for @p offer outside of @p excludedDataCentres. With @p includeFull also nodes that are
    /// full now.
    std::vector<Candidate> candidates(const TaskOffer &offer, const std::set<DataCentreId> &excludedDataCentres,
                                      bool includeFull) const;
    /// Records an offer of @p need to @p candidate.
    void recordOffer(const Candidate &candidate, const Resources &need);
    /// Record the result of that offer: granted, refused, or unanswered.
    void recordGrant(const Candidate &candidate, const Resources &need);
    void recordRefusal(const Candidate &candidate, const Resources &need);
    void recordNoAnswer(const Candidate &candidate, const Resources &need);
    /// Records that an attempt ended which used @p freed at @p node, in @p pool of @p dataCentre.
    void recordFreed(const NodeId &node, const std::string &pool, const DataCentreId &dataCentre,
                     const Resources &freed);
    /// True if @p need fits an empty VM that was recently reported in @p pool, or if the pool was not observed for long
    /// enough to tell.
    bool mayEverFit(const std::string &pool, const Resources &need, TimePoint now) const;
    /// True if a VM of @p pool was recently reported, or of any pool if @p pool is empty.
    bool hasSeenPool(const std::string &pool) const;
    /// Sum of the reported free capacity.
    Resources totalFree() const;

private:
    struct Cell
    {
        std::string pool;
        DataCentreId dataCentre;
        Resources free;
        Resources largest;
        Resources largestVm;
        Resources outstanding; ///< Offers not answered yet.
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
