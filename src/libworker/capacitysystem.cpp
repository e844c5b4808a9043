#include "capacitysystem_pvt.h"

#include "fescueledge/authority.h"
#include "fescueledge/controlstate.h"
#include "fescueledge/dispatchmessages.h"
#include "fescueledge/loop.h"
#include "fescueledge/peertransport.h"
#include "placementsystem_pvt.h"
#include "workercontext_pvt.h"

#include <algorithm>
#include <map>
#include <utility>

namespace fescueledge {

namespace {

Resources componentMax(const Resources &a, const Resources &b)
{
    return {std::max(a.milliCores, b.milliCores), std::max(a.memoryMb, b.memoryMb),
            std::max(a.accelerators, b.accelerators)};
}

} // namespace

CapacitySystem::CapacitySystem(WorkerContext *context, const PlacementSystem *placement)
    : m_context(context)
    , m_placement(placement)
{
}

void CapacitySystem::run()
{
    const TimePoint now = m_context->loop->now();
    if (m_context->tables.workers.empty() || now - m_lastNotice < m_context->timings.capacityInterval) {
        return;
    }
    m_lastNotice = now;
    const PeerMessage message{"capacity", buildNotice()};
    for (const NodeId &node : m_context->authority->liveNodes()) {
        m_context->transport->call(node, message, m_context->timings.callTimeout, [](const PeerResult &) {});
    }
}

CapacityNotice CapacitySystem::buildNotice() const
{
    std::map<std::pair<std::string, DataCentreId>, CapacityNotice::Item> items;
    const std::shared_ptr<const ControlState> control = m_context->authority->control();
    const std::map<WorkerId, WorkerRow> &workers = m_context->tables.workers;
    for (auto it = workers.begin(); it != workers.end(); ++it) {
        const WorkerRow &worker = it->second;
        if (worker.pool.empty()) {
            continue;
        }
        CapacityNotice::Item &item = items[{worker.pool, worker.vm.dataCentre}];
        item.pool = worker.pool;
        item.dataCentre = worker.vm.dataCentre;
        item.largestVm = componentMax(item.largestVm, taskCapacity(worker, true, *control));
        if (m_placement->acceptsNewAttempts(worker)) {
            const Resources available =
                componentMax(m_context->tables.available(worker, TaskClass::Batch, *control), Resources());
            item.free += available;
            item.largest = componentMax(item.largest, available);
        }
    }
    CapacityNotice notice;
    for (auto it = items.begin(); it != items.end(); ++it) {
        notice.items.push_back(it->second);
    }
    return notice;
}

} // namespace fescueledge
