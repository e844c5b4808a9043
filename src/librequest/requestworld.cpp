#include "fescueledge/testing/requestworld.h"

#include "fescueledge/loop.h"

namespace fescueledge {

namespace {

const char *const poolName = "shop";
constexpr std::chrono::seconds authorityWindow{1};

Route makeRoute(const std::string &name, bool idempotent, int maxAttempts)
{
    Route route;
    route.name = name;
    route.pathPrefix = "/" + name;
    route.pool = poolName;
    route.idempotent = idempotent;
    route.maxAttempts = maxAttempts;
    return route;
}

} // namespace

RequestRights::RequestRights(const RequestOwnership *ownership, const Loop *loop, const NodeId &self,
                             Incarnation incarnation)
    : m_ownership(ownership)
    , m_loop(loop)
    , m_self(self)
    , m_incarnation(incarnation)
{
}

NodeId RequestRights::self() const
{
    return m_self;
}

Incarnation RequestRights::incarnation() const
{
    return m_incarnation;
}

TimePoint RequestRights::actUntil() const
{
    const bool mayAct = m_ownership->mayNotAct.count(m_self) == 0;
    return mayAct ? m_loop->now() + authorityWindow : m_loop->now() - authorityWindow;
}

std::optional<Epoch> RequestRights::ownedEpoch(const ShardId &shard) const
{
    const auto it = m_ownership->shards.find(shard);
    const bool isOwner = it != m_ownership->shards.end() && (it->second.owner.empty() || it->second.owner == m_self);
    if (!isOwner || m_ownership->mayNotAct.count(m_self) != 0) {
        return std::nullopt;
    }
    return it->second.epoch;
}

std::optional<RowVersion> RequestRights::ownedRowVersion(const ShardId &shard) const
{
    return ownedEpoch(shard);
}

std::vector<ShardId> RequestRights::ownedShards() const
{
    std::vector<ShardId> shards;
    for (const auto &it : m_ownership->shards) {
        if (it.second.owner.empty() || it.second.owner == m_self) {
            shards.push_back(it.first);
        }
    }
    return shards;
}

NodeId RequestRights::ownerOf(const ShardId &shard) const
{
    const auto it = m_ownership->shards.find(shard);
    return it == m_ownership->shards.end() ? NodeId() : it->second.owner;
}

std::shared_ptr<const ControlState> RequestRights::control() const
{
    return m_ownership->control;
}

std::vector<NodeId> RequestRights::liveNodes() const
{
    return std::vector<NodeId>(m_ownership->live.begin(), m_ownership->live.end());
}

std::vector<EndpointEntry> RequestRights::endpointsOf(const std::string &pool) const
{
    std::vector<EndpointEntry> entries;
    for (const EndpointEntry &it : m_ownership->endpoints) {
        const RequestOwnership::Shard &shard = m_ownership->shards.at(it.shard);
        if (it.pool != pool || !(shard.owner.empty() || shard.owner == m_self)) {
            continue;
        }
        EndpointEntry entry = it;
        entry.epoch = shard.epoch;
        entry.acceptsNewRequests =
            it.acceptsNewRequests && m_ownership->control->dataCentresOut.count(it.dataCentre) == 0;
        const auto inheritedRequests = m_ownership->inheritedRequests.find(it.worker);
        entry.inheritedRequests =
            inheritedRequests == m_ownership->inheritedRequests.end() ? 0 : inheritedRequests->second;
        entries.push_back(entry);
    }
    return entries;
}

CrossingTransport::CrossingTransport(PeerTransport *transport, std::uint64_t seed)
    : m_transport(transport)
    , m_random(seed)
{
}

void CrossingTransport::call(const NodeId &to, const PeerMessage &message, Milliseconds timeout, ReplyHandler handler)
{
    const std::string kind = message.kind;
    if (m_random.chance(twice)) {
        m_transport->call(to, message, timeout, [](const PeerResult &) {});
    }
    m_transport->call(to, message, timeout, [this, kind, handler](const PeerResult &result) {
        PeerResult out = result;
        const auto it = m_lastReplies.find(kind);
        if (result.answered && it != m_lastReplies.end() && m_random.chance(crossing)) {
            out.reply = it->second;
        }
        if (result.answered) {
            m_lastReplies[kind] = result.reply;
        }
        handler(out);
    });
}

void CrossingTransport::setReceiver(const std::string &kind, Receiver receiver)
{
    m_transport->setReceiver(kind, std::move(receiver));
}

RequestNode::RequestNode(RequestWorld *world, const NodeId &name, Incarnation incarnation, const RequestPolicy &policy,
                         std::uint64_t seed)
    : name(name)
    , loop(&world->world)
    , links(&world->network, &loop, name)
    , transport(&links, seed + 2)
    , table(&world->world, &loop, &world->rows, seed)
    , client(&world->endpoints, &loop)
    , rights(&world->ownership, &loop, name, incarnation)
    , dispatcher(&loop, &client, &transport, &table, &rights, &rights, seed + 1)
{
    table.faults = world->storeFaults;
    dispatcher.setPolicy(policy);
    dispatcher.start();
}

void RequestNode::dispatch(const ServiceRequest &request, const RequestDispatcher::Handler &handler)
{
    loop.post([this, request, handler] {
        dispatcher.dispatch(request, std::nullopt, handler);
    });
}

RequestWorld::RequestWorld(std::uint64_t seed)
    : network(&world, seed)
    , endpoints(&world, seed + 1)
    , m_seed(seed)
{
    Pool pool;
    pool.name = poolName;
    ownership.control->version = 1;
    ownership.control->pools = {pool};
    ownership.control->routes = {makeRoute("get", true, 3), makeRoute("order", false, 1)};
}

void RequestWorld::addRack(const std::string &rack, int workers, const NodeId &owner, const DataCentreId &dataCentre)
{
    const ShardId shard = rackShard(dataCentre, rack);
    ownership.shards[shard] = {owner, 1};
    for (int n = 0; n < workers; ++n) {
        EndpointEntry entry;
        entry.worker = rack + "w" + std::to_string(n);
        entry.shard = shard;
        entry.pool = poolName;
        entry.dataCentre = dataCentre;
        entry.address = entry.worker;
        entry.acceptsNewRequests = true;
        ownership.endpoints.push_back(entry);
        endpoints.add(entry.address);
    }
}

RequestNode &RequestWorld::addNode(const NodeId &name, const RequestPolicy &policy)
{
    ownership.live.insert(name);
    const std::uint64_t incarnation = ++m_nodesStarted;
    const std::uint64_t seed = m_seed * 1000 + incarnation * 10;
    m_nodes[name] = std::make_unique<RequestNode>(this, name, incarnation, policy, seed);
    return *m_nodes[name];
}

void RequestWorld::kill(const NodeId &name)
{
    const auto it = m_nodes.find(name);
    if (it == m_nodes.end()) {
        return;
    }
    it->second->loop.kill();
    network.setIsolated(name, true);
    ownership.live.erase(name);
    m_dead.push_back(std::move(it->second));
    m_nodes.erase(it);
}

RequestNode &RequestWorld::restart(const NodeId &name)
{
    kill(name);
    network.setIsolated(name, false);
    return addNode(name);
}

RequestNode &RequestWorld::node(const NodeId &name)
{
    return *m_nodes.at(name);
}

void RequestWorld::moveShard(const ShardId &shard, const NodeId &owner, int inheritedRequests)
{
    ownership.shards[shard].owner = owner;
    ++ownership.shards[shard].epoch;
    for (const EndpointEntry &it : ownership.endpoints) {
        if (it.shard == shard) {
            ownership.inheritedRequests[it.worker] = inheritedRequests;
        }
    }
}

Route &RequestWorld::route(const std::string &name)
{
    for (Route &it : ownership.control->routes) {
        if (it.name == name) {
            return it;
        }
    }
    return ownership.control->routes.front();
}

Pool &RequestWorld::pool()
{
    return ownership.control->pools.front();
}

RequestHistory::Entry &RequestHistory::ask(RequestNode &node, const ServiceRequest &request)
{
    m_entries.push_back(std::make_unique<Entry>());
    Entry *entry = m_entries.back().get();
    entry->request = request;
    entry->request.id = "q" + std::to_string(m_entries.size());
    entry->node = node.name;
    node.dispatch(entry->request, [entry](const DispatchResult &result) {
        ++entry->answers;
        entry->result = result;
    });
    return *entry;
}

const std::vector<std::unique_ptr<RequestHistory::Entry>> &RequestHistory::entries() const
{
    return m_entries;
}

ServiceRequest previewRequest(const std::string &body)
{
    ServiceRequest request;
    request.method = "GET";
    request.path = "/get/preview";
    request.body = body;
    request.customer = "kilima";
    return request;
}

ServiceRequest orderRequest(const std::string &body, const std::string &key)
{
    ServiceRequest request;
    request.method = "POST";
    request.path = "/order/restock";
    request.body = body;
    request.customer = "nadelwerk";
    request.key = key;
    return request;
}

} // namespace fescueledge
