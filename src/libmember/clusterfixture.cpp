#include "clusterfixture_pvt.h"

#include "fescueledge/controlstate.h"
#include "fescueledge/error.h"
#include "fescueledge/invariant.h"

#include <algorithm>

namespace fescueledge {

namespace {

constexpr int dataCentreCount = 3;

std::string dataCentreName(int index)
{
    return std::string(1, static_cast<char>('a' + index % dataCentreCount));
}

VmEntry workerEntry(int index)
{
    VmEntry entry;
    entry.name = "w" + std::to_string(index);
    entry.kind = VmEntry::Kind::Worker;
    entry.dataCentre = dataCentreName(index);
    entry.rack = "r" + std::to_string(index / dataCentreCount);
    return entry;
}

std::string describeViolation(const char *what, const ShardId &shard, const std::vector<NodeId> &nodes)
{
    std::string text = what;
    text += " of ";
    text += shard;
    for (const NodeId &node : nodes) {
        text += ' ';
        text += node;
    }
    return text;
}

} // namespace

void FakeControlParser::parse(ControlState *state) const
{
    if (state->routesText == "bad") {
        throw Error(ErrorKind::InvalidSettings, "the table says bad");
    }
}

ClusterProcess::ClusterProcess(SimWorld *world, FakeNetwork *network, MemoryTable *rows,
                               const std::vector<VmEntry> *vmEntries, const NodeIdentity &identity, double clockRate,
                               std::uint64_t seed)
    : identity(identity)
    , loop(world, clockRate)
    , table(world, &loop, rows, seed)
    , vmList(&loop, vmEntries)
    , transport(network, &loop, identity.id)
    , vms(&loop, &vmList)
    , control(
          &loop, &table, &vms, &transport, &parser, identity.id, LeaseTimings(),
          [world] {
              return std::chrono::system_clock::time_point(world->now().time_since_epoch());
          },
          seed + 1)
    , authority(&loop, &table, &vms, &transport, &control, identity, LeaseTimings(), seed + 2)
{
    control.addApplyHook([this](const std::shared_ptr<const ControlState> &state) {
        appliedVersion = state->version;
    });
}

ClusterFixture::ClusterFixture(std::uint64_t seed, int nodes)
    : network(&world, seed)
    , random(seed)
    , m_current(static_cast<std::size_t>(nodes), nullptr)
    , m_replacements(static_cast<std::size_t>(nodes), 0)
{
    for (int i = 0; i < nodes; ++i) {
        boot(i);
    }
}

ClusterFixture::~ClusterFixture() = default;

NodeIdentity ClusterFixture::identityOf(int index) const
{
    const int replacement = m_replacements[static_cast<std::size_t>(index)];
    const std::string suffix = replacement == 0 ? "" : "-" + std::to_string(replacement);
    const std::string name = "n" + std::to_string(index) + suffix;
    return NodeIdentity{name, dataCentreName(index), name + ":1", name + ":2"};
}

void ClusterFixture::boot(int index)
{
    const double clockRate = 0.99 + 0.02 * random.unit();
    m_processes.push_back(std::make_unique<ClusterProcess>(&world, &network, &rows, &m_vmEntries, identityOf(index),
                                                           clockRate, random.below(1U << 30U)));
    ClusterProcess *process = m_processes.back().get();
    m_current[static_cast<std::size_t>(index)] = process;
    process->table.faults = m_faults;
    publishVms();
    process->vms.start();
    process->loop.post([process] {
        process->authority.start();
    });
}

void ClusterFixture::kill(int index)
{
    node(index).loop.kill();
}

void ClusterFixture::pause(int index, bool paused)
{
    ClusterProcess &process = node(index);
    process.paused = paused;
    paused ? process.loop.pause() : process.loop.resume();
}

void ClusterFixture::replace(int index)
{
    kill(index);
    ++m_replacements[static_cast<std::size_t>(index)];
    boot(index);
}

void ClusterFixture::run(Duration span)
{
    runUntil(
        [] {
            return false;
        },
        span);
}

bool ClusterFixture::runUntil(const std::function<bool()> &done, Duration limit)
{
    const TimePoint end = world.now() + limit;
    world.at(end, [] {});
    return world.runUntil(
        [this, &done] {
            observe();
            return done();
        },
        limit);
}

void ClusterFixture::heal()
{
    setStoreFaults(FakeTableService::Faults());
    freezeVmList(false);
    network.loss = 0;
    for (int i = 0; i < size(); ++i) {
        network.setIsolated(node(i).identity.id, false);
        for (int j = 0; j < size(); ++j) {
            network.setCut(node(i).identity.id, node(j).identity.id, false);
        }
        if (node(i).authority.isDraining()) {
            kill(i);
        }
        if (!node(i).isAlive()) {
            boot(i);
        } else if (node(i).paused) {
            pause(i, false);
        }
    }
}

ClusterProcess &ClusterFixture::node(int index)
{
    return *m_current[static_cast<std::size_t>(index)];
}

int ClusterFixture::size() const
{
    return static_cast<int>(m_current.size());
}

bool ClusterFixture::isUp(int index) const
{
    const ClusterProcess *process = m_current[static_cast<std::size_t>(index)];
    return process->isAlive() && !process->paused;
}

void ClusterFixture::setStoreDown(bool down)
{
    FakeTableService::Faults faults = m_faults;
    faults.down = down;
    setStoreFaults(faults);
}

void ClusterFixture::setStoreFaults(const FakeTableService::Faults &faults)
{
    m_faults = faults;
    for (ClusterProcess *process : m_current) {
        process->table.faults = faults;
    }
}

void ClusterFixture::isolateDataCentre(const DataCentreId &dataCentre, bool isolated)
{
    for (int i = 0; i < size(); ++i) {
        for (int j = 0; j < size(); ++j) {
            const bool crosses =
                (node(i).identity.dataCentre == dataCentre) != (node(j).identity.dataCentre == dataCentre);
            if (crosses) {
                network.setCut(node(i).identity.id, node(j).identity.id, isolated);
            }
        }
    }
}

void ClusterFixture::freezeVmList(bool frozen)
{
    m_isVmListFrozen = frozen;
    publishVms();
}

void ClusterFixture::publishVms()
{
    if (m_isVmListFrozen) {
        return;
    }
    m_vmEntries.clear();
    for (const ClusterProcess *process : m_current) {
        if (process != nullptr) {
            VmEntry entry;
            entry.name = process->identity.id;
            entry.kind = VmEntry::Kind::Entry;
            entry.dataCentre = process->identity.dataCentre;
            entry.address = process->identity.peerAddress;
            m_vmEntries.push_back(entry);
        }
    }
    for (int i = 0; i < dataCentreCount; ++i) {
        m_vmEntries.push_back(workerEntry(i));
    }
}

std::optional<int> ClusterFixture::actingNode(const ShardId &shard) const
{
    for (std::size_t i = 0; i < m_current.size(); ++i) {
        const ClusterProcess *process = m_current[i];
        if (process->isAlive() && !process->paused && process->authority.ownedEpoch(shard).has_value()) {
            return static_cast<int>(i);
        }
    }
    return std::nullopt;
}

std::vector<ShardId> ClusterFixture::allShards() const
{
    std::vector<ShardId> shards;
    shards.reserve(queuePartitions + dataCentreCount);
    for (int i = 0; i < queuePartitions; ++i) {
        shards.push_back(queueShard(i));
    }
    for (int i = 0; i < dataCentreCount; ++i) {
        shards.push_back(rackShard(dataCentreName(i), "r0"));
    }
    return shards;
}

bool ClusterFixture::allOwned() const
{
    for (const ShardId &shard : allShards()) {
        if (!actingNode(shard).has_value()) {
            return false;
        }
    }
    return true;
}

void ClusterFixture::recordInForce(ControlVersion version)
{
    m_inForceVersion = std::max(m_inForceVersion, version);
}

void ClusterFixture::observe()
{
    m_actingNodes.clear();
    for (int i = 0; i < size(); ++i) {
        if (node(i).isAlive()) {
            observeNode(i);
        }
    }
}

void ClusterFixture::observeNode(int index)
{
    ClusterProcess &process = node(index);
    const NodeAuthority &authority = process.authority;
    if (process.loop.now() >= authority.actUntil()) {
        return;
    }
    const std::string name = process.identity.id;
    const ControlVersion version = authority.control()->version;
    if (version < m_inForceVersion || process.appliedVersion != version) {
        violations.push_back("old version: " + name + " acts on " + std::to_string(version));
    }
    for (const ShardId &shard : authority.ownedShards()) {
        const std::optional<Epoch> epoch = authority.ownedEpoch(shard);
        if (!epoch.has_value()) {
            continue;
        }
        const auto [it, isFirst] = m_actingNodes.emplace(shard, index);
        if (!isFirst) {
            violations.push_back(describeViolation("two owners", shard, {name, node(it->second).identity.id}));
        }
        Epoch &latest = m_epochs[shard];
        if (*epoch < latest) {
            violations.push_back(describeViolation("old epoch", shard, {name}));
        }
        latest = std::max(latest, *epoch);
    }
}

} // namespace fescueledge
