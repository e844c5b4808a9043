#include "quarantinesystem_pvt.h"

#include "fescueledge/authority.h"
#include "fescueledge/loop.h"
#include "workercontext_pvt.h"

#include <algorithm>
#include <glog/logging.h>

namespace fescueledge {

namespace {

/// A job that failed on this many workers and succeeded on none counts as failing everywhere.
constexpr std::size_t failedWorkersOfBadJob = 3;
constexpr std::size_t maxOutcomesPerWorker = 50;

} // namespace

QuarantineSystem::QuarantineSystem(WorkerContext *context)
    : m_context(context)
{
}

void QuarantineSystem::onAttemptEnded(const AttemptRow &row)
{
    const bool failed = row.report.state == TaskReport::State::Failed;
    const bool succeeded = row.report.state == TaskReport::State::Finished;
    if (row.workerLost || (!failed && !succeeded)) {
        return;
    }
    const TimePoint now = m_context->loop->now();
    const JobId job = jobOfTask(row.task);
    JobRecord &jobRecord = m_jobs[job];
    jobRecord.lastEndedAt = now;
    jobRecord.succeeded = jobRecord.succeeded || succeeded;
    if (failed) {
        jobRecord.failedOn.insert(row.worker);
    }
    WorkerRecord &record = m_workers[row.worker];
    record.outcomes.push_back(Outcome{now, job, failed});
    if (record.outcomes.size() > maxOutcomesPerWorker) {
        record.outcomes.pop_front();
    }
    if (succeeded) {
        release(row.worker, &record);
    } else if (!failsEverywhere(job) && (record.quarantined || exceedsFailureLimits(record))) {
        enter(row.worker, &record);
    }
}

void QuarantineSystem::release(const WorkerId &worker, WorkerRecord *record)
{
    if (!record->quarantined) {
        return;
    }
    LOG(INFO) << "worker_released_from_quarantine worker=" << worker;
    record->quarantined = false;
    record->backoff = Duration::zero();
    record->outcomes.clear();
}

void QuarantineSystem::enter(const WorkerId &worker, WorkerRecord *record)
{
    const WorkerPolicy &policy = m_context->policy;
    const Duration doubled = std::min<Duration>(record->backoff * 2, policy.quarantineBackoffMax);
    record->backoff = std::max<Duration>(doubled, policy.quarantineBackoff);
    record->quarantined = true;
    record->probeAfter = m_context->loop->now() + record->backoff;
    LOG(WARNING) << "worker_quarantined worker=" << worker
                 << " backoff_ms=" << std::chrono::duration_cast<Milliseconds>(record->backoff).count();
}

bool QuarantineSystem::failsEverywhere(const JobId &job) const
{
    const auto it = m_jobs.find(job);
    return it != m_jobs.end() && !it->second.succeeded && it->second.failedOn.size() >= failedWorkersOfBadJob;
}

bool QuarantineSystem::exceedsFailureLimits(const WorkerRecord &record) const
{
    const TimePoint oldest = m_context->loop->now() - m_context->policy.quarantineWindow;
    std::set<JobId> jobs;
    int failures = 0;
    int counted = 0;
    for (const Outcome &ended : record.outcomes) {
        if (ended.when < oldest || (ended.failed && failsEverywhere(ended.job))) {
            continue;
        }
        ++counted;
        if (ended.failed) {
            ++failures;
            jobs.insert(ended.job);
        }
    }
    const WorkerPolicy &policy = m_context->policy;
    return failures >= policy.quarantineFailures && static_cast<int>(jobs.size()) >= policy.quarantineJobs
        && failures >= policy.quarantineShare * counted;
}

bool QuarantineSystem::isQuarantined(const WorkerId &worker) const
{
    const auto it = m_workers.find(worker);
    return it != m_workers.end() && it->second.quarantined;
}

bool QuarantineSystem::admits(const WorkerRow &worker) const
{
    const auto it = m_workers.find(worker.vm.name);
    if (it == m_workers.end() || !it->second.quarantined) {
        return true;
    }
    if (m_context->loop->now() < it->second.probeAfter) {
        return false;
    }
    for (const AttemptRow *row : m_context->tables.attemptsOn(worker.vm.name)) {
        if (row->usesCapacity()) {
            return false;
        }
    }
    return true;
}

void QuarantineSystem::run()
{
    const TimePoint oldest = m_context->loop->now() - m_context->policy.quarantineWindow;
    for (auto it = m_workers.begin(); it != m_workers.end(); ++it) {
        WorkerRecord &record = it->second;
        // A failed probe confirms the quarantine; before that it lasts only while the failures that caused it count.
        const bool first = record.backoff <= m_context->policy.quarantineBackoff;
        if (first && !exceedsFailureLimits(record)) {
            release(it->first, &record);
        }
    }
    for (auto it = m_jobs.begin(); it != m_jobs.end();) {
        it = it->second.lastEndedAt < oldest ? m_jobs.erase(it) : std::next(it);
    }
}

} // namespace fescueledge
