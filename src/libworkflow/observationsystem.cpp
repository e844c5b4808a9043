#include "observationsystem_pvt.h"

#include "crashledger_pvt.h"
#include "ordersystem_pvt.h"
#include "runevidence_pvt.h"

#include <algorithm>
#include <set>

namespace fescueledge::workflow {

namespace {

/// Consecutive failed runs, of more than one job, after which a worker is quarantined.
constexpr int failuresToQuarantine = 3;
/// How long a worker is quarantined before one more run is tried: less than the time for which users accept that
/// nothing of a job runs.
constexpr Milliseconds quarantineTimeout{2000};
/// How often a worker is observed, to renew its lease, while run ends wait to become durable.
constexpr Milliseconds unacknowledgedObserveInterval{400};
/// A late loop pauses this many times its delay before it observes a worker without urgent runs again, up to a limit.
/// Run ends accumulate meanwhile: what an observation costs depends on what runs on the worker, not on how much has
/// ended.
constexpr int pausePerLoopDelay = 4;
constexpr Milliseconds maxPause{300};
/// Weight of each tick in the running average of the loop's delay.
constexpr int loopDelaySmoothing = 8;
/// Upper limit of the retry delay for a silent worker, as a multiple of CoordinatorSettings::orderRetryDelay.
constexpr int maxRetryFactor = 5;
/// Number of failed adoptions of a worker that are retried at once.
constexpr int immediateAdoptionRetries = 3;

} // namespace

ObservationSystem::ObservationSystem(std::shared_ptr<Context> context, OrderSystem *orders, CrashLedger *crashes)
    : m_context(std::move(context))
    , m_orders(orders)
    , m_crashes(crashes)
{
}

bool ObservationSystem::needsObservation(const Worker &worker) const
{
    if (mayHoldUnknownRuns(worker)) {
        return true;
    }
    return worker.life.isDoubted || !worker.tasks.empty() || !worker.earlierRuns.empty()
        || worker.life.endsApplied > worker.life.endsAcknowledged
        || (worker.contact != WorkerContact::Adopted && worker.listed);
}

void ObservationSystem::recordLoopDelay(Duration delay)
{
    m_loopDelay += (std::max(Duration::zero(), delay) - m_loopDelay) / loopDelaySmoothing;
}

Duration ObservationSystem::pauseFor(const Worker &worker) const
{
    const Duration pause = std::min<Duration>(m_loopDelay * pausePerLoopDelay, maxPause);
    const bool hasUrgentRun = std::any_of(worker.tasks.begin(), worker.tasks.end(), [](const Task *task) {
        return !task->step->spec->longRunning && task->step->occurrence->job->policy.priority == 0;
    });
    return hasUrgentRun ? Duration::zero() : pause;
}

void ObservationSystem::wake(Worker *worker)
{
    worker->nextObservationAt = std::min(worker->nextObservationAt, m_context->now());
    observe(worker);
}

void ObservationSystem::checkListedLife(Worker *worker)
{
    const WorkerLife &life = worker->life;
    const std::int64_t listed = worker->entry.incarnation;
    if (listed == 0 || life.incarnation == 0 || listed == life.incarnation || listed == life.formerIncarnation) {
        return;
    }
    m_orders->doubtLife(worker, "list");
}

void ObservationSystem::tick()
{
    const TimePoint now = m_context->now();
    for (const auto &[id, worker] : m_context->fleet.all()) {
        const bool mayHoldRuns = mayHoldUnknownRuns(*worker) || !worker->tasks.empty() || !worker->earlierRuns.empty();
        if (mayHoldRuns && isLeaseOver(*worker, now)) {
            m_orders->markTasksLost(worker.get(), LifeEnd{RunsOver::LeaseOver});
            FleetTable::setContact(worker.get(), WorkerContact::Lost);
            m_context->wakeDispatch();
        } else if (worker->contact == WorkerContact::Lost) {
            forgetLateStarts(worker.get());
        }
        observe(worker.get());
    }
}

void ObservationSystem::forgetLateStarts(Worker *worker)
{
    const TimePoint now = m_context->now();
    if (m_context->fleet.dropEarlierRuns(worker, [worker, now](const EarlierRun &run) {
            return !mayReachNextLife(run, *worker, now);
        })) {
        m_context->wakeDispatch();
    }
}

bool ObservationSystem::knowsEarlierRuns() const
{
    return !mayHaveUnknownWorkers() && awaitedWorker() == nullptr;
}

bool ObservationSystem::mayHoldEarlierRuns(const Worker &worker)
{
    return worker.recordedInEarlierTerm && mayHoldUnknownRuns(worker) && !worker.recordNamesRuns;
}

const Worker *ObservationSystem::awaitedWorker() const
{
    const std::map<WorkerId, std::unique_ptr<Worker>> &workers = m_context->fleet.all();
    const auto it = std::find_if(workers.begin(), workers.end(), [](const auto &entry) {
        return mayHoldEarlierRuns(*entry.second);
    });
    return it == workers.end() ? nullptr : it->second.get();
}

void ObservationSystem::observe(Worker *worker)
{
    Context &context = *m_context;
    const TimePoint now = context.now();
    if (worker->observationPending || now < worker->nextObservationAt || !needsObservation(*worker)
        || !context.maySendOrders()) {
        return;
    }
    const bool hasPendingEnds = worker->life.endsApplied > worker->life.endsDurable;
    if (hasPendingEnds && now < worker->observedAt + unacknowledgedObserveInterval) {
        return;
    }
    ObserveOrder order;
    order.term = context.term;
    order.incarnation = worker->life.incarnation;
    // The lease of a worker that does not answer is not extended, otherwise it would never be known to have expired.
    // Nor are ends acknowledged: another incarnation may be there by now, whose ends have other numbers.
    const bool answers =
        worker->contact == WorkerContact::Adopted && worker->life.unansweredCalls == 0 && !worker->life.isDoubted;
    order.acknowledged = answers ? worker->life.endsDurable : 0;
    order.wait =
        answers && !hasPendingEnds && !hasUnsettledStart(*worker) ? context.settings.observeWait : Milliseconds{0};
    if (answers && !worker->recordNamesLeaseEnd && worker->life.clock.count() > 0 && hasRunsToKeep(*worker)) {
        order.leaseUntil = FleetTable::clockAt(*worker, now) + context.settings.workerLease;
        FleetTable::recordLease(worker, order.leaseUntil);
    }
    const Milliseconds timeout = worker->contact == WorkerContact::Unadopted
        ? context.settings.adoptTimeout
        : order.wait + context.settings.observeTimeout;
    worker->observationPending = true;
    const WorkerId id = worker->id;
    const std::shared_ptr<Context> shared = m_context;
    const ActivityMeter::Scope scope(&context.activities, Activity::Observes);
    const bool isElsewhere = isListedAsOther(*worker);
    context.gateway->observe(WorkerRef{id, worker->entry.address}, order, timeout,
                             [this, shared, id, now, isElsewhere](const Observation &answer) {
                                 if (shared->ended) {
                                     return;
                                 }
                                 const bool isForeign = answer.outcome == OrderOutcome::OtherIncarnation && isElsewhere;
                                 onAnswer(id, now, isForeign ? Observation{} : answer);
                             });
}

void ObservationSystem::onAnswer(const WorkerId &id, TimePoint sentAt, const Observation &answer)
{
    Context &context = *m_context;
    const ActivityMeter::Scope scope(&context.activities, Activity::Observations);
    Worker *worker = context.fleet.find(id);
    if (worker == nullptr) {
        return;
    }
    worker->observationPending = false;
    worker->observedAt = context.now();
    if (answer.outcome == OrderOutcome::StaleTerm) {
        context.superseded();
        return;
    }
    if (answer.outcome != OrderOutcome::Done) {
        onNoAnswer(worker, answer);
        return;
    }
    worker->nextObservationAt = context.now() + pauseFor(*worker);
    if (worker->life.incarnation != answer.incarnation || worker->contact != WorkerContact::Adopted) {
        adopt(worker, sentAt, answer);
    }
    FleetTable::setClock(worker, answer.workerClock, context.now());
    worker->life.unansweredCalls = 0;
    if (sentAt >= worker->life.doubtedAt) {
        worker->life.formerIncarnation = worker->entry.incarnation; // If it is another one, the list is behind.
        if (worker->life.isDoubted) {
            worker->life.isDoubted = false;
            context.wakeDispatch();
        }
    }
    worker->lastAnswerAt = context.now();
    worker->life.endsAcknowledged = std::max(worker->life.endsAcknowledged, answer.acknowledged);
    noteListedEnds(worker, answer);
    if (context.fleet.dropEarlierRuns(worker, [&answer, sentAt](const EarlierRun &earlier) {
            return showsOver(answer, earlier, sentAt);
        })) {
        context.wakeDispatch();
    }
    for (const ActiveRun &run : answer.active) {
        applyActiveRun(worker, run);
    }
    for (const EndedRun &end : answer.ended) {
        if (end.number > worker->life.endsApplied) {
            applyRunEnd(worker, end);
            worker->life.endsApplied = end.number;
        }
    }
    releaseMissingRuns(worker, sentAt, answer);
    if (worker->life.endsApplied > worker->life.endsDurable) {
        context.wakeWriter();
    }
    if (!answer.leased && hasRunsToKeep(*worker)) {
        wake(worker); // Adopted runs have only the lease that an earlier coordinator gave them.
    }
    if (m_orders->stopUnsettledRuns(worker) || awaitsStopOfStart(*worker)) {
        worker->nextObservationAt = context.now() + context.settings.orderRetryDelay; // Sooner once it has confirmed.
    }
    observed(worker);
    observe(worker);
}

void ObservationSystem::noteListedEnds(Worker *worker, const Observation &answer)
{
    WorkerLife &life = worker->life;
    if (answer.endsComplete && !life.hasListedAll) {
        life.hasListedAll = true;
        m_context->wakeDispatch();
    }
    if (life.endsCut == !answer.endsComplete) {
        return;
    }
    life.endsCut = !answer.endsComplete;
    m_context->log->write(LogLine("worker_ends_cut")
                              .with("worker", worker->id)
                              .with("cut", life.endsCut ? 1 : 0)
                              .with("ended", static_cast<std::int64_t>(answer.ended.size()))
                              .with("active", static_cast<std::int64_t>(answer.active.size()))
                              .with("runs", static_cast<std::int64_t>(worker->tasks.size())));
}

void ObservationSystem::onNoAnswer(Worker *worker, const Observation &answer)
{
    const OrderOutcome outcome = answer.outcome;
    Context &context = *m_context;
    const TimePoint now = context.now();
    ++worker->life.unansweredCalls;
    FleetTable::markRecordChanged(worker);
    if (outcome == OrderOutcome::OtherIncarnation) {
        // Another incarnation uses its address, so this one has ended with all its runs.
        m_orders->markTasksLost(worker,
                                LifeEnd{RunsOver::OtherLife, FleetTable::earliestBegin(answer.workerClock, now)});
        FleetTable::setContact(worker, WorkerContact::Lost);
    } else if (worker->contact == WorkerContact::Adopted) {
        context.log->write(LogLine("worker_silent")
                               .with("worker", worker->id)
                               .with("outcome", orderOutcomeName(outcome))
                               .with("runs", static_cast<std::int64_t>(worker->tasks.size())));
        FleetTable::setContact(worker, WorkerContact::Silent);
    }
    // An order to a healthy worker may be lost, so the first retries of an adoption are immediate.
    const int delays = worker->contact == WorkerContact::Unadopted
        ? worker->life.unansweredCalls - immediateAdoptionRetries
        : worker->life.unansweredCalls;
    worker->nextObservationAt = now + std::clamp(delays, 0, maxRetryFactor) * context.settings.orderRetryDelay;
    observe(worker);
}

void ObservationSystem::adopt(Worker *worker, TimePoint sentAt, const Observation &answer)
{
    Context &context = *m_context;
    if (worker->life.incarnation == 0) {
        worker->life.incarnation = answer.incarnation;
    } else if (worker->life.incarnation != answer.incarnation) {
        beginLife(worker, sentAt, answer);
    } else {
        m_crashes->retractCrash(worker); // It was cut off.
    }
    context.log->write(LogLine("worker_adopted")
                           .with("worker", worker->id)
                           .with("life", answer.incarnation)
                           .with("term", static_cast<std::int64_t>(context.term))
                           .with("active", static_cast<std::int64_t>(answer.active.size()))
                           .with("ended", static_cast<std::int64_t>(answer.ended.size())));
    FleetTable::setContact(worker, WorkerContact::Adopted);
    FleetTable::recordForeignLease(worker, context.settings.workerLease, context.now());
    context.wakeDispatch();
}

void ObservationSystem::beginLife(Worker *worker, TimePoint sentAt, const Observation &answer)
{
    const CoordinatorSettings &settings = m_context->settings;
    const TimePoint now = m_context->now();
    const TimePoint begun = FleetTable::earliestBegin(answer.workerClock, now);
    m_orders->markTasksLost(worker, LifeEnd{RunsOver::NewLife, begun, sentAt});
    // A start with a lease on the clock of the former incarnation may reach this one. It may be far off then, and the
    // worker shortens it. An answer to it settles it, but then its run is listed.
    const bool hasBegunRuns = !answer.active.empty() || !answer.ended.empty();
    const bool mayHoldLongLease = hasBegunRuns || hasUnsettledStart(*worker);
    FleetTable::beginLife(worker, answer.incarnation, mayHoldLongLease ? settings.maxWorkerLease : settings.workerLease,
                          now);
}

void ObservationSystem::applyActiveRun(Worker *worker, const ActiveRun &run)
{
    Context &context = *m_context;
    const TimePoint now = context.now();
    Task *task = context.jobs.findTask(run.task);
    const bool current = task != nullptr && task->worker == worker && task->run == run.run;
    if (task != nullptr) {
        m_crashes->retractRun(task, run.run);
    }
    if (task == nullptr && keepUnreadRun(worker, run)) {
        return;
    }
    if (!current && (task == nullptr || task->phase == TaskPhase::Done || !supersedes(*task, run))) {
        awaitEnd(worker, EarlierRun(run.task, run.run), task);
        return;
    }
    if (!current) {
        adoptRun(worker, task, run.run);
    }
    task->seenOnWorker = true;
    task->hasUnlistedEnd = false;
    if (task->phase == TaskPhase::Starting || task->phase == TaskPhase::Uncertain) {
        m_orders->markRunning(task);
    }
    m_crashes->reportAtWork(task);
    if (!run.checkpoint.empty()) {
        task->checkpoint = run.checkpoint;
    }
    if (run.percentAtWork != task->percentAtWork) {
        task->percentAtWork = run.percentAtWork;
        task->progressAt = now;
    }
    task->hasStartedUp = task->hasStartedUp || run.percentAtWork >= fullPace;
    task->gauge = run.gauge;
    if (task->step->occurrence->job->ended()) {
        m_orders->stop(task);
    }
}

bool ObservationSystem::keepUnreadRun(Worker *worker, const ActiveRun &run)
{
    Context &context = *m_context;
    if (context.jobs.find(run.task.job) != nullptr) {
        return false;
    }
    // A job is stored before its tasks start, so it was when the run was first listed.
    const EarlierRun *known = FleetTable::findEarlierRun(worker, run.task, run.run);
    if (known != nullptr) {
        return known->listedWithoutJobAt > context.jobsConfirmedAt();
    }
    EarlierRun kept(run.task, run.run);
    kept.listedWithoutJobAt = context.sinceBoot();
    context.log->write(
        LogLine("run_of_unread_job")
            .with("job", run.task.job)
            .with("task", toString(run.task))
            .with("run", static_cast<std::int64_t>(run.run))
            .with("worker", worker->id)
            .with("jobs_age_ms",
                  std::chrono::duration_cast<Milliseconds>(kept.listedWithoutJobAt - context.jobsConfirmedAt())));
    context.fleet.addEarlierRun(worker, kept, nullptr);
    return true;
}

bool ObservationSystem::hasRunsToKeep(const Worker &worker) const
{
    const Duration confirmedAt = m_context->jobsConfirmedAt();
    return !worker.tasks.empty()
        || std::any_of(worker.earlierRuns.begin(), worker.earlierRuns.end(), [confirmedAt](const EarlierRun &run) {
               return run.listedWithoutJobAt > confirmedAt;
           });
}

bool ObservationSystem::supersedes(const Task &task, const ActiveRun &run)
{
    return run.run > task.run || (run.run == task.run && task.worker == nullptr);
}

void ObservationSystem::awaitEnd(Worker *worker, const EarlierRun &run, const Task *task)
{
    if (worker->contact == WorkerContact::Lost && !mayReachNextLife(run, *worker, m_context->now())) {
        return; // Nothing runs there.
    }
    m_orders->stopUnknownRun(worker, run.task, run.run);
    m_context->fleet.addEarlierRun(worker, run, task == nullptr ? nullptr : task->step);
}

void ObservationSystem::adoptRun(Worker *worker, Task *task, RunNumber run)
{
    Context &context = *m_context;
    const TimePoint now = context.now();
    Worker *before = task->worker;
    const EarlierRun superseded = asEarlierRun(*task, now);
    context.fleet.dropEarlierRun(worker, superseded.task, run);
    if (before != nullptr) {
        context.log->write(LogLine("run_superseded")
                               .with("job", task->step->occurrence->job->id)
                               .with("task", toString(keyOf(*task)))
                               .with("run", static_cast<std::int64_t>(superseded.run))
                               .with("worker", before->id)
                               .with("by_run", static_cast<std::int64_t>(run))
                               .with("by_worker", worker->id));
        FleetTable::release(task);
        // A worker lists all its runs, so one that it does not list is over, unless its start is still under way.
        if (before != worker || superseded.startOrder != StartOrderState::Settled) {
            awaitEnd(before, superseded, task);
        }
    }
    task->run = run;
    task->pace = unknownPace; // An earlier coordinator may have slowed it down.
    FleetTable::place(task, worker);
    context.jobs.setPhase(task, TaskPhase::Running, now);
    task->progressAt = now;
    task->stopConfirmed = false;
    task->hasStartedUp = false;
    task->atWorkSince = TimePoint{};
    task->lasted = false;
}

void ObservationSystem::applyRunEnd(Worker *worker, const EndedRun &end)
{
    Context &context = *m_context;
    context.log->write(LogLine("run_end")
                           .with("job", end.task.job)
                           .with("task", toString(end.task))
                           .with("run", static_cast<std::int64_t>(end.run))
                           .with("worker", worker->id)
                           .with("how", runEndName(end.how)));
    if (context.jobs.find(end.task.job) != nullptr) {
        FleetTable::addPendingEnd(worker, end); // Also if its task is done by another run that is not durable yet.
    }
    Task *task = context.jobs.findTask(end.task);
    if (task == nullptr || task->phase == TaskPhase::Done) {
        return;
    }
    m_crashes->retractRun(task, end.run);
    if (end.how == RunEnd::Done || end.how == RunEnd::Failed) {
        m_crashes->reportRunEnd(task);
    }
    updateQuarantine(worker, *task, end.how);
    task->run = std::max(task->run, end.run);
    if (!end.checkpoint.empty()) {
        task->checkpoint = end.checkpoint;
        if (task->step->spec->checkpoints) {
            context.jobs.markDirty(task->step->occurrence->job);
        }
    }
    if (task->worker == nullptr || (task->worker == worker && task->run == end.run)) {
        finishRun(task, end);
    } else {
        finishEarlierRun(task, end);
    }
    context.wakeDispatch();
}

void ObservationSystem::finishRun(Task *task, const EndedRun &end)
{
    Context &context = *m_context;
    const TimePoint now = context.now();
    Job *job = task->step->occurrence->job;
    FleetTable::release(task);
    if (end.how == RunEnd::Done && !task->step->spec->longRunning) {
        // Of a run that an earlier coordinator started, the beginning is not known.
        const bool isTimed = task->atWorkSince != TimePoint{} && task->orderedAt != TimePoint{};
        if (isTimed && task->pace == fullPace) {
            context.recordEnd(task->step, now - task->atWorkSince);
        }
        finishDone(task, end.run);
    } else {
        context.jobs.setIdle(task);
        if (end.how == RunEnd::Failed) {
            context.jobs.countFailure(task, end.run, now);
        }
    }
    if (job->ended()) {
        m_orders->stopJob(job);
    }
}

void ObservationSystem::finishEarlierRun(Task *task, const EndedRun &end)
{
    // An earlier run of a task that was started again after the lease had expired.
    Context &context = *m_context;
    Job *job = task->step->occurrence->job;
    if (end.how == RunEnd::Done && !task->step->spec->longRunning) {
        finishDone(task, end.run);
    } else if (end.how == RunEnd::Failed) {
        context.jobs.countFailure(task, end.run, context.now());
    }
    if (job->ended()) {
        m_orders->stopJob(job);
    }
}

void ObservationSystem::finishDone(Task *task, RunNumber run)
{
    if (!task->step->spec->gang) {
        setDone(task, run);
        return;
    }
    for (Task &member : task->step->tasks) { // A gang is one run, so this is the end of all of it.
        setDone(&member, run);
    }
}

void ObservationSystem::setDone(Task *task, RunNumber run)
{
    if (task->phase == TaskPhase::Done) {
        return;
    }
    Worker *worker = task->worker;
    const EarlierRun left = asEarlierRun(*task, m_context->now());
    FleetTable::release(task);
    m_context->jobs.setDone(task, m_context->now(), m_context->wallClock());
    if (worker == nullptr || worker->contact == WorkerContact::Lost) {
        return;
    }
    if (left.run != run) {
        awaitEnd(worker, left, task);
    } else { // Its end is still to be listed.
        m_context->fleet.addEarlierRun(worker, left, task->step);
    }
}

void ObservationSystem::updateQuarantine(Worker *worker, const Task &task, RunEnd how)
{
    if (how == RunEnd::Done) {
        worker->life.consecutiveFailures = 0;
        worker->life.failedJobs.clear();
        return;
    }
    if (how != RunEnd::Failed) {
        return;
    }
    ++worker->life.consecutiveFailures;
    worker->life.failedJobs.insert(task.step->occurrence->job->id);
    // A single job that always fails doesn't indicate a faulty worker.
    const bool suspect = worker->life.consecutiveFailures >= failuresToQuarantine && worker->life.failedJobs.size() > 1;
    if (suspect && worker->life.blockedUntil <= m_context->now()) {
        worker->life.blockedUntil = m_context->now() + quarantineTimeout;
        m_context->log->write(LogLine("worker_quarantined")
                                  .with("worker", worker->id)
                                  .with("failures", worker->life.consecutiveFailures)
                                  .with("for_ms", quarantineTimeout));
    }
}

void ObservationSystem::releaseMissingRuns(Worker *worker, TimePoint sentAt, const Observation &answer)
{
    Context &context = *m_context;
    const TaskSet tasks = worker->tasks;
    for (Task *task : tasks) {
        const TaskKey key = keyOf(*task);
        if (!canTellOf(*task, sentAt) || listsActive(answer, key, task->run)) {
            continue;
        }
        if (!showsOver(answer, key, task->run)) {
            task->hasUnlistedEnd = task->seenOnWorker;
            continue;
        }
        if (task->phase == TaskPhase::Uncertain) {
            m_orders->stop(task);
            continue;
        }
        if (!task->seenOnWorker && !task->stopConfirmed) {
            continue; // Its start order may still take effect.
        }
        context.log->write(LogLine("run_missing")
                               .with("job", task->step->occurrence->job->id)
                               .with("task", toString(key))
                               .with("run", static_cast<std::int64_t>(task->run))
                               .with("worker", worker->id));
        FleetTable::release(task);
        context.jobs.setIdle(task);
        context.wakeDispatch();
    }
}

} // namespace fescueledge::workflow
