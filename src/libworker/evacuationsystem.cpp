#include "evacuationsystem_pvt.h"

#include "fescueledge/loop.h"
#include "workercontext_pvt.h"

#include <algorithm>
#include <chrono>
#include <glog/logging.h>

namespace fescueledge {

EvacuationSystem::EvacuationSystem(WorkerContext *context)
    : m_context(context)
{
}

void EvacuationSystem::run()
{
    const TimePoint now = m_context->loop->now();
    const double rate = m_context->policy.evacuationsPerSecond;
    m_allowance =
        std::min(rate, m_allowance + std::chrono::duration<double>(now - m_allowanceUpdatedAt).count() * rate);
    m_allowanceUpdatedAt = now;
    std::map<WorkerId, WorkerRow> &workers = m_context->tables.workers;
    for (auto it = workers.begin(); it != workers.end(); ++it) {
        WorkerRow &worker = it->second;
        const bool leaving = worker.vm.state == VmEntry::State::Leaving;
        if (worker.vmRemoved || (!leaving && !m_context->isDataCentreOut(worker))) {
            continue;
        }
        for (AttemptRow *row : m_context->tables.attemptsOn(it->first)) {
            const bool running = row->phase == AttemptRow::Phase::Running && !row->stopRequested;
            if (!running || row->checkpointRequested || (!leaving && m_allowance < 1)) {
                continue;
            }
            m_allowance -= leaving ? 0 : 1;
            row->checkpointRequested = true;
            worker.exchangeRequested = true;
            LOG(INFO) << "attempt_evacuated task=" << row->task << " worker=" << row->worker;
        }
    }
}

} // namespace fescueledge
