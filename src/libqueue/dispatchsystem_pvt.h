#pragma once

#include "capacitytable_pvt.h"
#include "nodechoice_pvt.h"
#include "startorder_pvt.h"

#include <functional>
#include <memory>

namespace fescueledge {

class PartitionSet;
class TeamUsageSystem;
struct ControlState;
struct PeerResult;
struct QueueContext;

/// Each tick, takes the tasks that are next in order, offers them to nodes with room and claims what is granted.
class DispatchSystem
{
public:
    /// Told of each attempt whose claim is durable.
    using ClaimedHandler = std::function<void(const JobId &job, int index)>;

    DispatchSystem(QueueContext *context, PartitionSet *partitions, TeamUsageSystem *usage, CapacityTable *capacity,
                   ClaimedHandler onClaimed);

    void tick();

private:
    /// One task on its way to a node.
    struct Offer
    {
        std::weak_ptr<QueuePartition> partition;
        JobId job;
        int index = 0;
        CapacityTable::Candidate candidate;
        TaskOffer offer;
    };
    /// A need for which no room was found in this tick.
    struct Unplaceable
    {
        std::string pool;
        Resources need;
    };

    void offerClass(TaskClass taskClass);
    std::vector<TeamQueue> collectTeams(TaskClass taskClass) const;
    bool offerHead(TeamQueue &team, const ControlState &control);
    bool isKnownUnplaceable(const Job &job) const;
    void skip(TeamQueue &team, const char *waitsFor);
    void sendOffers();
    void send(const NodeId &node, const std::vector<Offer> &offers);
    void onReply(const std::vector<Offer> &offers, const PeerResult &result);
    void onReservation(const Offer &offer, const Reservation &reservation);
    void onRefusal(const Offer &offer, Job &job, QueuePartition &partition, const std::string &reason);
    void claim(const Offer &offer, Job &job, QueuePartition &partition, const Reservation &reservation);
    void requeue(const Offer &offer, Duration delay);

    QueueContext *m_context;
    PartitionSet *m_partitions;
    TeamUsageSystem *m_usage;
    CapacityTable *m_capacity;
    ClaimedHandler m_onClaimed;
    std::unique_ptr<StartOrder> m_order;
    std::unique_ptr<NodeChoiceStrategy> m_nodeChoice;
    std::map<NodeId, std::vector<Offer>> m_offers; ///< Offers of this tick.
    std::vector<Unplaceable> m_unplaceable;
    int m_outstanding = 0; ///< Offers sent whose answer has not come.
    int m_offersLeft = 0; ///< Offers that this tick may still make.
};

} // namespace fescueledge
