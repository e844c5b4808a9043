#include "queueworld_pvt.h"

#include "fakerackowner_pvt.h"
#include "storedjob_pvt.h"

#include <utility>

namespace fescueledge {

namespace {

constexpr Milliseconds ownerUpdateDelay{300};
constexpr Milliseconds resubmitDelay{200};

NodeId nodeName(int i)
{
    return "n" + std::to_string(i);
}

} // namespace

FakeShardAssignments::FakeShardAssignments(MemoryTable *rows)
    : m_rows(rows)
{
}

void FakeShardAssignments::assign(const ShardId &shard, const NodeId &to, Incarnation incarnation)
{
    Ownership &ownership = ownerships[shard];
    Transaction transaction;
    transaction.puts.push_back({shardKey(shard), to});
    ownership.version = m_rows->commit(transaction).version;
    ownership.owner = to;
    ownership.incarnation = incarnation;
    ++ownership.epoch;
}

void FakeShardAssignments::revoke(const ShardId &shard)
{
    ownerships[shard].owner.clear();
}

FakeAuthority::FakeAuthority(SimWorld *world, FakeShardAssignments *assignments, const std::set<NodeId> *live,
                             const std::shared_ptr<const ControlState> *control, const NodeId &self,
                             Incarnation incarnation)
    : m_world(world)
    , m_assignments(assignments)
    , m_live(live)
    , m_control(control)
    , m_self(self)
    , m_incarnation(incarnation)
{
}

NodeId FakeAuthority::self() const
{
    return m_self;
}

Incarnation FakeAuthority::incarnation() const
{
    return m_incarnation;
}

TimePoint FakeAuthority::actUntil() const
{
    return m_world->now() + std::chrono::seconds(1);
}

const FakeShardAssignments::Ownership *FakeAuthority::findOwnership(const ShardId &shard) const
{
    const auto it = m_assignments->ownerships.find(shard);
    const bool isOwn =
        it != m_assignments->ownerships.end() && it->second.owner == m_self && it->second.incarnation == m_incarnation;
    return isOwn ? &it->second : nullptr;
}

std::optional<Epoch> FakeAuthority::ownedEpoch(const ShardId &shard) const
{
    const FakeShardAssignments::Ownership *ownership = findOwnership(shard);
    return ownership == nullptr ? std::nullopt : std::optional<Epoch>(ownership->epoch);
}

std::optional<RowVersion> FakeAuthority::ownedRowVersion(const ShardId &shard) const
{
    const FakeShardAssignments::Ownership *ownership = findOwnership(shard);
    return ownership == nullptr ? std::nullopt : std::optional<RowVersion>(ownership->version);
}

std::vector<ShardId> FakeAuthority::ownedShards() const
{
    std::vector<ShardId> result;
    for (const auto &[shard, ownership] : m_assignments->ownerships) {
        if (findOwnership(shard) != nullptr) {
            result.push_back(shard);
        }
    }
    return result;
}

NodeId FakeAuthority::ownerOf(const ShardId &shard) const
{
    if (m_knownOwners.empty() || m_world->now() - m_ownersReadAt > ownerUpdateDelay) {
        m_ownersReadAt = m_world->now();
        for (const auto &[name, ownership] : m_assignments->ownerships) {
            m_knownOwners[name] = ownership.owner;
        }
    }
    return m_knownOwners[shard];
}

std::shared_ptr<const ControlState> FakeAuthority::control() const
{
    return *m_control;
}

std::vector<NodeId> FakeAuthority::liveNodes() const
{
    return {m_live->begin(), m_live->end()};
}

QueueNode::QueueNode(SimWorld *world, FakeNetwork *network, MemoryTable *rows, FakeAuthority authorityOf,
                     FakeWorkers *workers, std::uint64_t seed, const QueuePolicy &policy)
    : loop(world)
    , table(world, &loop, rows, seed + 1)
    , transport(network, &loop, authorityOf.self())
    , authority(std::move(authorityOf))
    , queue(&loop, &table, &transport, &authority, seed + 2, policy)
    , rack(std::make_unique<FakeRackOwner>(&loop, &transport, &authority, workers, seed + 3))
{
    queue.start();
    rack->start();
}

QueueNode::~QueueNode() = default;

QueueWorld::QueueWorld(std::uint64_t seed, int nodes, int racks, int workersPerRack, const Resources &size,
                       const QueuePolicy &policy)
    : network(&world, seed)
    , random(seed + 1)
    , currentControl(std::make_shared<ControlState>())
    , assignments(&rows)
    , workers(&world, &rows, seed + 2)
    , m_policy(policy)
{
    for (int i = 0; i < nodes; ++i) {
        m_nodes.push_back(nullptr);
        startNode(i);
    }
    for (int i = 0; i < queuePartitions; ++i) {
        m_shards.push_back(queueShard(i));
    }
    for (int i = 0; i < racks; ++i) {
        const ShardId rack = rackShard("dc", std::to_string(i));
        m_shards.push_back(rack);
        for (int k = 0; k < workersPerRack; ++k) {
            workers.add("w" + std::to_string(i) + "-" + std::to_string(k), rack, size);
        }
    }
    for (std::size_t i = 0; i < m_shards.size(); ++i) {
        const int to = static_cast<int>(i) % nodes;
        assignments.assign(m_shards[i], nodeName(to), node(to).authority.incarnation());
    }
}

QueueWorld::~QueueWorld()
{
    for (const std::unique_ptr<QueueNode> &it : m_nodes) {
        it->loop.kill();
    }
}

QueueNode &QueueWorld::node(int i)
{
    return *m_nodes[static_cast<std::size_t>(i)];
}

int QueueWorld::nodeCount() const
{
    return static_cast<int>(m_nodes.size());
}

void QueueWorld::startNode(int i)
{
    const Incarnation incarnation = ++m_lastIncarnation;
    live.insert(nodeName(i));
    FakeAuthority authority(&world, &assignments, &live, &currentControl, nodeName(i), incarnation);
    m_nodes[static_cast<std::size_t>(i)] =
        std::make_unique<QueueNode>(&world, &network, &rows, authority, &workers, random.below(1U << 30), m_policy);
    node(i).table.faults = m_faults;
}

void QueueWorld::kill(int i)
{
    node(i).loop.kill();
    live.erase(nodeName(i));
    for (auto &[shard, ownership] : assignments.ownerships) {
        if (ownership.owner == nodeName(i)) {
            assignments.revoke(shard);
        }
    }
}

void QueueWorld::restart(int i)
{
    m_killed.push_back(std::move(m_nodes[static_cast<std::size_t>(i)]));
    startNode(i);
}

void QueueWorld::move(const ShardId &shard, int to, Duration gap)
{
    assignments.revoke(shard);
    world.after(gap, [this, shard, to] {
        if (assignments.ownerships[shard].owner.empty() && node(to).loop.isAlive()) {
            assignments.assign(shard, nodeName(to), node(to).authority.incarnation());
        }
    });
}

std::vector<ShardId> QueueWorld::shards() const
{
    return m_shards;
}

void QueueWorld::setFaults(const FakeTableService::Faults &faults)
{
    m_faults = faults;
    for (const std::unique_ptr<QueueNode> &it : m_nodes) {
        it->table.faults = faults;
    }
}

JobSpec QueueWorld::spec(const std::string &team, const std::string &key, int tasks, std::int64_t milliCores) const
{
    JobSpec spec;
    spec.customer = "c";
    spec.team = team;
    spec.key = key;
    spec.name = key;
    spec.kind = "k";
    spec.taskCount = tasks;
    spec.resources = Resources{milliCores, milliCores, 0};
    return spec;
}

void QueueWorld::submit(int nodeIndex, const JobSpec &spec)
{
    const int to = node(nodeIndex).loop.isAlive() ? nodeIndex : (nodeIndex + 1) % nodeCount();
    const auto answered = std::make_shared<bool>(false);
    node(to).queue.submit(spec, [this, spec, to, answered](const JobQueue::SubmitResult &result) {
        *answered = true;
        if (!result.error) {
            m_accepted[spec.key] = result.job;
            return;
        }
        world.after(resubmitDelay, [this, to, spec] {
            submit((to + 1) % nodeCount(), spec);
        });
    });
    // The node may be killed before it answers.
    world.after(std::chrono::seconds(10), [this, to, spec, answered] {
        if (!*answered) {
            submit((to + 1) % nodeCount(), spec);
        }
    });
}

const std::map<std::string, JobId> &QueueWorld::accepted() const
{
    return m_accepted;
}

bool QueueWorld::allEnded() const
{
    for (const auto &[key, job] : m_accepted) {
        if (rows.read({doneRowKey(job)}).rows.empty()) {
            return false;
        }
    }
    return true;
}

JobStatus QueueWorld::endedStatus(const JobId &job) const
{
    return decodeDoneRow(rows.read({doneRowKey(job)}).rows.at(0))->status();
}

QueueCounters QueueWorld::counters() const
{
    QueueCounters sum;
    for (const std::unique_ptr<QueueNode> &it : m_nodes) {
        const QueueCounters one = it->queue.counters();
        sum.transactions += one.transactions;
        sum.rowsWritten += one.rowsWritten;
        sum.conflicts += one.conflicts;
        sum.offers += one.offers;
        sum.refusals += one.refusals;
        sum.claims += one.claims;
        sum.finishes += one.finishes;
        sum.evictions += one.evictions;
        sum.losses += one.losses;
        sum.openJobs += one.openJobs;
        sum.pendingTasks += one.pendingTasks;
        sum.claimedTasks += one.claimedTasks;
    }
    return sum;
}

} // namespace fescueledge
