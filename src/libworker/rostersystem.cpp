#include "rostersystem_pvt.h"

#include "fescueledge/authority.h"
#include "fescueledge/controlstate.h"
#include "fescueledge/loop.h"
#include "fescueledge/vmdirectory.h"
#include "workercontext_pvt.h"

#include <glog/logging.h>
#include <optional>
#include <vector>

namespace fescueledge {

RosterSystem::RosterSystem(WorkerContext *context)
    : m_context(context)
{
}

void RosterSystem::run()
{
    const std::vector<ShardId> shards = m_context->authority->ownedShards();
    const std::set<ShardId> owned(shards.begin(), shards.end());
    refreshAcquired(owned);
    removeLost(owned);
    for (const VmEntry &vm : m_context->vmDirectory->entries()) {
        const ShardId shard = rackShard(vm.dataCentre, vm.rack);
        if (vm.kind == VmEntry::Kind::Worker && owned.count(shard) > 0) {
            refresh(vm, shard);
        }
    }
    refreshPools();
}

void RosterSystem::refreshAcquired(const std::set<ShardId> &owned)
{
    std::map<ShardId, std::pair<Epoch, TimePoint>> &acquired = m_context->acquired;
    for (auto it = acquired.begin(); it != acquired.end();) {
        it = owned.count(it->first) == 0 ? acquired.erase(it) : std::next(it);
    }
    for (const ShardId &shard : owned) {
        const std::optional<Epoch> epoch = m_context->authority->ownedEpoch(shard);
        const auto it = acquired.find(shard);
        if (epoch.has_value() && (it == acquired.end() || it->second.first != *epoch)) {
            acquired[shard] = {*epoch, m_context->loop->now()};
        }
    }
}

void RosterSystem::removeLost(const std::set<ShardId> &owned)
{
    std::vector<WorkerId> lost;
    std::map<WorkerId, WorkerRow> &workers = m_context->tables.workers;
    for (auto it = workers.begin(); it != workers.end(); ++it) {
        WorkerRow &row = it->second;
        row.gone = m_context->vmDirectory->vanishedAt(it->first).has_value();
        const bool empty = m_context->tables.keysOn(it->first).empty();
        if (owned.count(row.shard) == 0 || (row.gone && empty)) {
            lost.push_back(it->first);
        }
    }
    for (const WorkerId &worker : lost) {
        LOG(INFO) << "worker_released worker=" << worker;
        m_context->tables.removeWorker(worker);
    }
}

void RosterSystem::refresh(const VmEntry &vm, const ShardId &shard)
{
    const std::optional<Epoch> epoch = m_context->authority->ownedEpoch(shard);
    WorkerTables &tables = m_context->tables;
    WorkerRow *row = tables.findWorker(vm.name);
    if (row != nullptr && (!epoch.has_value() || (row->epoch == *epoch && row->shard == shard))) {
        row->vm = vm;
        return;
    }
    if (!epoch.has_value()) {
        return;
    }
    tables.removeWorker(vm.name);
    WorkerRow fresh;
    fresh.vm = vm;
    fresh.shard = shard;
    fresh.epoch = *epoch;
    fresh.acquiredAt = m_context->acquired.at(shard).second;
    fresh.lastReply = m_context->loop->now();
    fresh.renewLimit = fresh.acquiredAt;
    fresh.urgent = true;
    fresh.serial = m_nextSerial++;
    tables.workers[vm.name] = fresh;
    LOG(INFO) << "worker_acquired worker=" << vm.name << " shard=" << shard << " epoch=" << *epoch;
}

void RosterSystem::refreshPools()
{
    const std::shared_ptr<const ControlState> control = m_context->authority->control();
    std::map<WorkerId, WorkerRow> &workers = m_context->tables.workers;
    for (auto it = workers.begin(); it != workers.end(); ++it) {
        const Pool *pool = control->poolOfWorker(it->first);
        it->second.pool = pool == nullptr ? std::string() : pool->name;
    }
}

} // namespace fescueledge
