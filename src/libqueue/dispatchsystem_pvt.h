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

/// Each tick, offers the next tasks in order to nodes with free capacity and claims those that are granted.
class DispatchSystem
{
public:
    /// Called for each attempt whose claim is durable.
    using ClaimedHandler = std::function<void(const JobId &job, int index)>;

    DispatchSystem(QueueContext *context, PartitionSet *partitions, TeamUsageSystem *usage, CapacityTable *capacity,
                   ClaimedHandler onClaimed);

    void tick();

private:
    /// The offer of one task to a node.
    struct Offer
    {
        std::weak_ptr<QueuePartition> partition;
        JobId job;
        int index = 0;
        CapacityTable::Candidate candidate;
        TaskOffer offer;
    };
    /// Resources for which this tick found no candidate.
    struct Unplaceable
    {
        std::string pool;
        Resources need;
    };

    void offerClass(TaskClass taskClass);
    std::vector<TeamQueue> collectTeams(TaskClass taskClass) const;
    bool offerHead(TeamQueue &team, const ControlState &control);
    bool isKnownUnplaceable(const Job &job) const;
    void skip(TeamQueue &team, const char *waitReason);
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
    std::map<NodeId, std::vector<Offer>> m_offers; ///< Offers of this tick, not sent yet.
    std::vector<Unplaceable> m_unplaceable;
    int m_outstanding = 0; ///< Offers sent and not answered yet.
    int m_offersLeft = 0; ///< Offers that this tick may still send.
};

} // namespace fescueledge
