#include "inventorysystem_pvt.h"

#include "fescueledge/authority.h"
#include "fescueledge/controlstate.h"
#include "fescueledge/loop.h"
#include "fescueledge/vmdirectory.h"
#include "workercontext_pvt.h"

#include <glog/logging.h>
#include <optional>
#include <vector>

namespace fescueledge {

InventorySystem::InventorySystem(WorkerContext *context)
    : m_context(context)
{
}

void InventorySystem::run()
{
    const std::vector<ShardId> shards = m_context->authority->ownedShards();
    const std::set<ShardId> owned(shards.begin(), shards.end());
    updateAcquisitions(owned);
    removeReleased(owned);
    for (const VmEntry &vm : m_context->vmDirectory->entries()) {
        const ShardId shard = rackShard(vm.dataCentre, vm.rack);
        if (vm.kind == VmEntry::Kind::Worker && owned.count(shard) > 0) {
            updateWorker(vm, shard);
        }
    }
    updatePools();
}

void InventorySystem::updateAcquisitions(const std::set<ShardId> &owned)
{
    std::map<ShardId, std::pair<Epoch, TimePoint>> &acquired = m_context->acquisitions;
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

void InventorySystem::removeReleased(const std::set<ShardId> &owned)
{
    std::vector<WorkerId> lost;
    std::map<WorkerId, WorkerRow> &workers = m_context->tables.workers;
    for (auto it = workers.begin(); it != workers.end(); ++it) {
        WorkerRow &row = it->second;
        row.vmRemoved = m_context->vmDirectory->missingSince(it->first).has_value();
        const bool empty = m_context->tables.keysOn(it->first).empty();
        if (owned.count(row.shard) == 0 || (row.vmRemoved && empty)) {
            lost.push_back(it->first);
        }
    }
    for (const WorkerId &worker : lost) {
        LOG(INFO) << "worker_released worker=" << worker;
        m_context->tables.removeWorker(worker);
    }
}

void InventorySystem::updateWorker(const VmEntry &vm, const ShardId &shard)
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
    fresh.acquiredAt = m_context->acquisitions.at(shard).second;
    fresh.lastReply = m_context->loop->now();
    fresh.renewalDeadline = fresh.acquiredAt;
    fresh.exchangeRequested = true;
    fresh.generation = m_nextGeneration++;
    tables.workers[vm.name] = fresh;
    LOG(INFO) << "worker_acquired worker=" << vm.name << " shard=" << shard << " epoch=" << *epoch;
}

void InventorySystem::updatePools()
{
    const std::shared_ptr<const ControlState> control = m_context->authority->control();
    std::map<WorkerId, WorkerRow> &workers = m_context->tables.workers;
    for (auto it = workers.begin(); it != workers.end(); ++it) {
        const Pool *pool = control->poolOfWorker(it->first);
        it->second.pool = pool == nullptr ? std::string() : pool->name;
    }
}

} // namespace fescueledge
