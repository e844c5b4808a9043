#include "waitreport_pvt.h"

#include "accountgate_pvt.h"
#include "dispatchsystem_pvt.h"
#include "observationsystem_pvt.h"
#include "placement_pvt.h"

#include <algorithm>
#include <array>

namespace fescueledge::workflow {

namespace {

/// A step is logged after it has waited for this long, and again each time its wait has doubled.
constexpr Milliseconds firstReportDelay{1000};
/// Waiting steps are checked this often, and at most this many are logged each time, because each needs a pass over all
/// workers.
constexpr Milliseconds reportInterval{1000};
constexpr int maxReportsPerInterval = 4;

/// How long @p job has had no task on any worker.
Milliseconds idleFor(const Job &job, TimePoint now)
{
    return job.idleSince == TimePoint{} ? Milliseconds{0}
                                        : std::chrono::duration_cast<Milliseconds>(now - job.idleSince);
}

} // namespace

WaitReport::WaitReport(std::shared_ptr<Context> context, Placement *placement, const ObservationSystem *observations,
                       const AccountGate *accounts)
    : m_context(std::move(context))
    , m_placement(placement)
    , m_observations(observations)
    , m_accounts(accounts)
{
}

void WaitReport::run()
{
    const TimePoint now = m_context->now();
    if (now < m_ranAt + reportInterval || m_context->catalog == nullptr) {
        return;
    }
    m_ranAt = now;
    m_placement->dropStale();
    int left = maxReportsPerInterval;
    for (Step *step : m_context->jobs.openSteps()) {
        if (step->idleTasks == 0 || step->waitingSince == TimePoint{} || step->occurrence->job->ended()) {
            continue;
        }
        const TimePoint since = std::max(step->waitingSince, step->waitLoggedAt);
        const Duration waitedBefore = std::max(Duration::zero(), step->waitLoggedAt - step->waitingSince);
        if (now - since < std::max<Duration>(firstReportDelay, waitedBefore)) {
            continue;
        }
        if (left-- == 0) {
            return;
        }
        report(step);
    }
}

void WaitReport::report(Step *step)
{
    const TimePoint now = m_context->now();
    step->waitLoggedAt = now;
    const Job &job = *step->occurrence->job;
    std::array<std::int64_t, placeVerdictCount> workers{};
    for (const auto &[id, worker] : m_context->fleet.all()) {
        ++workers.at(static_cast<std::size_t>(m_placement->verdict(*worker, *step)));
    }
    const bool held = !DispatchSystem::mayStart(*step, m_observations->knowsEarlierRuns());
    const auto awaiting = std::count_if(step->tasks.begin(), step->tasks.end(), [this](const Task &task) {
        return task.phase == TaskPhase::Idle && m_context->fleet.isAwaited(keyOf(task));
    });
    const std::uint32_t together = step->spec->gang ? step->idleTasks : 1;
    const bool isOverLimit = !m_accounts->mayStart(*step, together);
    const auto most = std::max_element(workers.begin(), workers.end());
    const PlaceVerdict reason = static_cast<PlaceVerdict>(most - workers.begin());
    LogLine line("step_waits");
    line.with("job", job.id)
        .with("task", toString(keyOf(step->tasks.front())))
        .with("idle", static_cast<std::int64_t>(step->idleTasks))
        .with("of", static_cast<std::int64_t>(step->spec->count))
        .with("job_idle_ms", idleFor(job, now))
        .with("waited_ms", std::chrono::duration_cast<Milliseconds>(now - step->waitingSince))
        .with("outcome",
              held                              ? "earlier_runs_unknown"
                  : awaiting == step->idleTasks ? "earlier_run"
                  : job.suspects > 0            ? "suspects"
                  : isOverLimit                 ? "account_limit"
                                                : placeVerdictName(reason));
    if (!job.account.empty()) {
        line.with("account", job.account).with("excess", job.isExcess ? 1 : 0);
    }
    const Worker *awaited = held ? m_observations->awaitedWorker() : nullptr;
    if (awaited != nullptr) {
        line.with("awaits_worker", awaited->id)
            .with("awaits_ms", std::chrono::duration_cast<Milliseconds>(awaited->life.leaseExpiresAt - now));
    }
    if (awaiting > 0) {
        line.with("earlier_run", static_cast<std::int64_t>(awaiting));
    }
    for (std::size_t i = 0; i < workers.size(); ++i) {
        if (workers.at(i) > 0) {
            line.with(placeVerdictName(static_cast<PlaceVerdict>(i)), workers.at(i));
        }
    }
    m_context->log->write(line);
}

} // namespace fescueledge::workflow
