#pragma once

#include "fescueledge/authority.h"
#include "fescueledge/controlstate.h"
#include "fescueledge/endpointdirectory.h"
#include "fescueledge/requestdispatcher.h"
#include "fescueledge/testing/fakeendpoints.h"
#include "fescueledge/testing/fakenetwork.h"
#include "fescueledge/testing/fakepeertransport.h"
#include "fescueledge/testing/faketableservice.h"
#include "fescueledge/testing/memorytable.h"
#include "fescueledge/testing/simloop.h"
#include "fescueledge/testing/simworld.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace fescueledge {

/// Ownership of shards; every simulated node sees changes immediately. Tests write it directly.
struct RequestOwnership
{
    struct Shard
    {
        NodeId owner; ///< Empty if every node owns the shard, which only baselines use.
        Epoch epoch = 1;
    };

    std::map<ShardId, Shard> shards;
    std::vector<EndpointEntry> endpoints;
    std::shared_ptr<ControlState> control = std::make_shared<ControlState>();
    std::set<NodeId> live;
    std::set<NodeId> mayNotAct;
    std::map<WorkerId, int> inheritedRequests;
};

/// The authority of one simulated node, and the endpoints that it owns.
class RequestRights : public Authority, public EndpointDirectory
{
public:
    RequestRights(const RequestOwnership *ownership, const Loop *loop, const NodeId &self, Incarnation incarnation);

    NodeId self() const override;
    Incarnation incarnation() const override;
    TimePoint actUntil() const override;
    std::optional<Epoch> ownedEpoch(const ShardId &shard) const override;
    std::optional<RowVersion> ownedRowVersion(const ShardId &shard) const override;
    std::vector<ShardId> ownedShards() const override;
    NodeId ownerOf(const ShardId &shard) const override;
    std::shared_ptr<const ControlState> control() const override;
    std::vector<NodeId> liveNodes() const override;
    std::vector<EndpointEntry> endpointsOf(const std::string &pool) const override;

private:
    const RequestOwnership *m_ownership;
    const Loop *m_loop;
    NodeId m_self;
    Incarnation m_incarnation;
};

/// A transport that sometimes answers a call with the reply to an earlier call of the same kind.
class CrossingTransport : public PeerTransport
{
public:
    CrossingTransport(PeerTransport *transport, std::uint64_t seed);
    void call(const NodeId &to, const PeerMessage &message, Milliseconds timeout, ReplyHandler handler) override;
    void setReceiver(const std::string &kind, Receiver receiver) override;

    double crossing = 0; ///< Probability that a call gets the reply to another call.
    double twice = 0; ///< Probability that a call is delivered twice.

private:
    PeerTransport *m_transport;
    Random m_random;
    std::map<std::string, PeerMessage> m_lastReplies;
};

/// One simulated node with the real request dispatcher. Its process can be killed.
struct RequestNode
{
    RequestNode(class RequestWorld *world, const NodeId &name, Incarnation incarnation, const RequestPolicy &policy,
                std::uint64_t seed);

    void dispatch(const ServiceRequest &request, const RequestDispatcher::Handler &handler);

    NodeId name;
    SimLoop loop;
    FakePeerTransport links;
    CrossingTransport transport;
    FakeTableService table;
    FakeEndpointClient client;
    RequestRights rights;
    RequestDispatcher dispatcher;
};

/// Simulates several nodes, endpoints, a table service and links in virtual time. Equal seeds give equal runs.
class RequestWorld
{
public:
    explicit RequestWorld(std::uint64_t seed);

    /// Adds a rack with @p workers endpoints named `<rack>w<n>` in pool `shop`, owned by @p owner.
    void addRack(const std::string &rack, int workers, const NodeId &owner, const DataCentreId &dataCentre = "a");
    RequestNode &addNode(const NodeId &name, const RequestPolicy &policy = RequestPolicy());
    /// Kills the process of @p name and drops its events. Other nodes see it as removed.
    void kill(const NodeId &name);
    /// Kills the process, if it runs, and starts a new one with the next incarnation.
    RequestNode &restart(const NodeId &name);
    RequestNode &node(const NodeId &name);
    /// Moves @p shard to @p owner with the next epoch; @p inheritedRequests requests may run on each of its workers.
    void moveShard(const ShardId &shard, const NodeId &owner, int inheritedRequests);
    Route &route(const std::string &name);
    Pool &pool();

    SimWorld world;
    FakeNetwork network;
    FakeEndpoints endpoints;
    MemoryTable rows;
    RequestOwnership ownership;
    FakeTableService::Faults storeFaults; ///< For nodes added later.

private:
    std::uint64_t m_seed;
    std::uint64_t m_nodesStarted = 0;
    std::map<NodeId, std::unique_ptr<RequestNode>> m_nodes;
    std::vector<std::unique_ptr<RequestNode>> m_dead; ///< Kept because late events may still refer to them.
};

/// The requests of callers and their answers.
class RequestHistory
{
public:
    struct Entry
    {
        ServiceRequest request;
        NodeId node; ///< The node that received the request.
        int answers = 0;
        DispatchResult result;
    };

    /// Sends @p request through @p node with a unique id. The returned entry stays valid.
    Entry &ask(RequestNode &node, const ServiceRequest &request);
    const std::vector<std::unique_ptr<Entry>> &entries() const;

private:
    std::vector<std::unique_ptr<Entry>> m_entries;
};

/// A request to the idempotent route `get` of a RequestWorld.
ServiceRequest previewRequest(const std::string &body);
/// A request to its non-idempotent route `order`.
ServiceRequest orderRequest(const std::string &body, const std::string &key);

} // namespace fescueledge
