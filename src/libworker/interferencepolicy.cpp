#include "interferencepolicy_pvt.h"

#include "fescueledge/error.h"
#include "fescueledge/loop.h"
#include "workercontext_pvt.h"
#include "workerload_pvt.h"

#include <algorithm>
#include <glog/logging.h>
#include <vector>

namespace fescueledge {

namespace {

/// A batch attempt and its estimated contribution to p99 over target of the service.
struct Contributor
{
    AttemptRow *row = nullptr;
    double contribution = 0;
};

std::vector<Contributor> contributors(WorkerContext *context, const WorkerRow &worker)
{
    std::vector<Contributor> found;
    for (AttemptRow *row : context->tables.attemptsOn(worker.vm.name)) {
        const bool isStopping = row->checkpointRequested || row->stopRequested;
        if (row->phase == AttemptRow::Phase::Running && row->isBatch() && !isStopping) {
            const double slope = context->interference.slope(worker.pool, row->offer.kind);
            found.push_back({row, slope * attemptExposure(*context, worker, *row)});
        }
    }
    std::stable_sort(found.begin(), found.end(), [](const Contributor &a, const Contributor &b) {
        return a.contribution > b.contribution;
    });
    return found;
}

void evict(WorkerContext *context, WorkerRow *worker, AttemptRow *row)
{
    row->checkpointRequested = true;
    worker->exchangeRequested = true;
    worker->lastInterferenceAction = context->loop->now();
    worker->allThrottled = false;
    LOG(INFO) << "attempt_evicted task=" << row->task << " worker=" << row->worker
              << " p99_ms=" << worker->serviceP99.count();
}

class NoInterferencePolicy : public InterferencePolicy
{
public:
    void onMeasured(WorkerRow *, double) override
    {
    }
};

/// Evicts the batch attempt that uses the most processors on each measurement above the target.
class EvictAtOncePolicy : public InterferencePolicy
{
public:
    explicit EvictAtOncePolicy(WorkerContext *context)
        : m_context(context)
    {
    }
    void onMeasured(WorkerRow *worker, double ratio) override
    {
        const std::vector<Contributor> found = contributors(m_context, *worker);
        if (ratio <= 1 || found.empty()) {
            return;
        }
        const auto it = std::max_element(found.begin(), found.end(), [](const Contributor &a, const Contributor &b) {
            return a.row->report.used.milliCores < b.row->report.used.milliCores;
        });
        evict(m_context, worker, it->row);
    }

private:
    WorkerContext *m_context;
};

/// Throttles the batch attempts that interfere most, relaxes their limits with hysteresis, and evicts one if throttling
/// all of them did not help. Two actions on a worker are at least as far apart as a measurement lags.
class ThrottlePolicy : public InterferencePolicy
{
public:
    explicit ThrottlePolicy(WorkerContext *context)
        : m_context(context)
    {
    }
    void onMeasured(WorkerRow *worker, double ratio) override
    {
        const TimePoint now = m_context->loop->now();
        if (now - worker->lastInterferenceAction < m_context->policy.settleDelay) {
            return;
        }
        if (ratio > 1) {
            tighten(worker, ratio);
        } else if (ratio < m_context->policy.relaxRatio) {
            relax(worker, ratio);
        }
    }

private:
    void tighten(WorkerRow *worker, double ratio);
    void relax(WorkerRow *worker, double ratio);
    void setShare(WorkerRow *worker, AttemptRow *row, double share);
    void considerEviction(WorkerRow *worker, const Contributor &largest);

    WorkerContext *m_context;
};

void ThrottlePolicy::tighten(WorkerRow *worker, double ratio)
{
    const double smallest = m_context->policy.minCpuShare;
    double excess = ratio - m_context->policy.relaxRatio;
    bool acted = false;
    const std::vector<Contributor> found = contributors(m_context, *worker);
    for (const Contributor &it : found) {
        if (excess <= 0 || it.row->cpuShare <= smallest || it.contribution <= 0) {
            continue;
        }
        const double kept = std::max(0.0, 1 - excess / it.contribution);
        const double share = std::max(smallest, it.row->cpuShare * kept);
        excess -= it.contribution * (1 - share / it.row->cpuShare);
        setShare(worker, it.row, share);
        acted = true;
    }
    if (!acted && !found.empty()) {
        considerEviction(worker, found.front());
    }
}

void ThrottlePolicy::considerEviction(WorkerRow *worker, const Contributor &largest)
{
    const TimePoint now = m_context->loop->now();
    if (!worker->allThrottled) {
        worker->allThrottled = true;
        worker->throttledSince = now;
    } else if (now - worker->throttledSince >= m_context->policy.evictionDelay) {
        evict(m_context, worker, largest.row);
    }
}

void ThrottlePolicy::relax(WorkerRow *worker, double ratio)
{
    worker->allThrottled = false;
    double slack = 1 - ratio;
    std::vector<Contributor> found = contributors(m_context, *worker);
    std::reverse(found.begin(), found.end());
    for (const Contributor &it : found) {
        if (it.row->cpuShare >= 1 || slack <= 0) {
            continue;
        }
        const double share = std::min(1.0, it.row->cpuShare * 2);
        slack -= it.contribution * (share / it.row->cpuShare - 1);
        setShare(worker, it.row, share);
    }
}

void ThrottlePolicy::setShare(WorkerRow *worker, AttemptRow *row, double share)
{
    row->cpuShare = share;
    worker->exchangeRequested = true;
    worker->allThrottled = false;
    worker->lastInterferenceAction = m_context->loop->now();
    LOG(INFO) << "attempt_throttled task=" << row->task << " worker=" << row->worker << " share=" << share
              << " p99_ms=" << worker->serviceP99.count();
}

} // namespace

std::unique_ptr<InterferencePolicy> makeInterferencePolicy(WorkerContext *context)
{
    const std::string &name = context->policy.interference;
    if (name == "throttle") {
        return std::make_unique<ThrottlePolicy>(context);
    }
    if (name == "none") {
        return std::make_unique<NoInterferencePolicy>();
    }
    if (name == "evict-at-once") {
        return std::make_unique<EvictAtOncePolicy>(context);
    }
    throw Error(ErrorKind::InvalidSettings, "unknown interference policy: " + name);
}

} // namespace fescueledge
