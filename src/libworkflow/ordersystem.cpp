#include "ordersystem_pvt.h"

#include "runevidence_pvt.h"

#include <algorithm>
#include <array>

namespace fescueledge::workflow {

namespace {

/// Run numbers that one term may use for a task; runs of a later term are always higher.
constexpr RunNumber runsPerTerm = 1000;
/// After a refusal for lack of room; the next observation shows what runs there. Doubled with each further refusal.
constexpr Milliseconds noRoomBackoff{150};
constexpr int maxNoRoomDoublings = 4; ///< 2.4 s, less than a task may wait while a worker has room for it.
/// After a worker reported itself unhealthy or could not be reached.
constexpr Milliseconds unhealthyBackoff{500};

const char *runsOverName(RunsOver reason)
{
    static constexpr std::array<const char *, 3> names{"lease-over", "other-life", "new-life"};
    return names.at(static_cast<std::size_t>(reason));
}

const char *phaseName(TaskPhase phase)
{
    static constexpr std::array<const char *, 6> names{"idle", "starting", "uncertain", "running", "stopping", "done"};
    return names.at(static_cast<std::size_t>(phase));
}

/// For logs: how long before @p now @p time was; -1 if it is not known.
Milliseconds ageOf(TimePoint time, TimePoint now)
{
    const bool isKnown = time != TimePoint{} && time != TimePoint::max();
    return isKnown ? std::chrono::duration_cast<Milliseconds>(now - time) : Milliseconds{-1};
}

WorkerRef refOf(const Worker &worker)
{
    return WorkerRef{worker.id, worker.entry.address};
}

} // namespace

OrderSystem::OrderSystem(std::shared_ptr<Context> context)
    : m_context(std::move(context))
{
}

RunNumber OrderSystem::nextRun(const Task &task) const
{
    return std::max(task.run, (m_context->term - 1) * runsPerTerm) + 1;
}

void OrderSystem::start(Task *task, Worker *worker, int pace)
{
    Context &context = *m_context;
    const TimePoint now = context.now();
    task->run = nextRun(*task);
    task->pace = pace;
    FleetTable::place(task, worker);
    context.jobs.setPhase(task, TaskPhase::Starting, now);
    task->orderedAt = now;
    task->percentAtWork = 0;
    task->progressAt = now;
    task->seenOnWorker = false;
    task->stopConfirmed = false;
    task->hasUnlistedEnd = false;
    task->hasStartedUp = false;
    task->atWorkSince = TimePoint{};
    task->lasted = false;
    StartOrder order;
    order.task = keyOf(*task);
    order.run = task->run;
    order.payload = task->step->occurrence->job->spec.payload;
    order.checkpoint = task->checkpoint;
    order.leaseUntil = FleetTable::clockAt(*worker, now) + context.settings.workerLease;
    order.term = context.term;
    order.incarnation = worker->life.incarnation;
    FleetTable::recordLease(worker, order.leaseUntil);
    window.recordSent();
    ++startsSent;
    const RunRef ref{order.task, order.run, worker->id};
    const std::int64_t incarnation = order.incarnation;
    const bool isElsewhere = isListedAsOther(*worker);
    const std::shared_ptr<Context> shared = m_context;
    const ActivityMeter::Scope scope(&context.activities, Activity::Starts);
    context.gateway->start(refOf(*worker), order, context.settings.orderTimeout,
                           [this, shared, ref, incarnation, now, isElsewhere](OrderResult result) {
                               if (shared->ended) {
                                   return;
                               }
                               if (result.outcome == OrderOutcome::OtherIncarnation && isElsewhere) {
                                   result = OrderResult{OrderOutcome::NotSent}; // Not to the worker.
                               }
                               noteAnswer(shared->fleet.find(ref.worker), incarnation, result);
                               onStarted(ref, now, result);
                           });
}

void OrderSystem::doubtLife(Worker *worker, const char *reason) const
{
    worker->life.doubtedAt = m_context->now();
    if (worker->life.isDoubted) {
        return;
    }
    worker->life.isDoubted = true;
    m_context->log->write(LogLine("worker_life_doubted")
                              .with("worker", worker->id)
                              .with("life", worker->life.incarnation)
                              .with("listed", worker->entry.incarnation)
                              .with("reason", reason));
    wakeObservation(worker);
}

Task *OrderSystem::findCurrentTask(const RunRef &ref) const
{
    Task *task = m_context->jobs.findTask(ref.task);
    if (task == nullptr || task->run != ref.run || task->worker == nullptr || task->worker->id != ref.worker) {
        return nullptr;
    }
    return task;
}

void OrderSystem::noteAnswer(Worker *worker, std::int64_t incarnation, const OrderResult &result) const
{
    const bool isOfKnownLife = worker != nullptr && worker->life.incarnation == incarnation;
    if (!isOfKnownLife || result.workerClock.count() == 0 || result.outcome == OrderOutcome::OtherIncarnation) {
        return;
    }
    const TimePoint now = m_context->now();
    worker->lastAnswerAt = now;
    if (FleetTable::isOfOtherLife(*worker, result.workerClock, now)) {
        doubtLife(worker, "clock");
    } else {
        FleetTable::setClock(worker, result.workerClock, now);
    }
}

void OrderSystem::onStarted(const RunRef &ref, TimePoint sentAt, const OrderResult &result)
{
    Context &context = *m_context;
    const ActivityMeter::Scope scope(&context.activities, Activity::Answers);
    const TimePoint now = context.now();
    context.log->write(LogLine("run_start")
                           .with("job", ref.task.job)
                           .with("task", toString(ref.task))
                           .with("run", static_cast<std::int64_t>(ref.run))
                           .with("worker", ref.worker)
                           .with("term", static_cast<std::int64_t>(context.term))
                           .with("outcome", orderOutcomeName(result.outcome))
                           .with("took_ms", std::chrono::duration_cast<Milliseconds>(now - sentAt)));
    const bool wasFull = window.room() == 0;
    window.recordAnswer(now - sentAt, now);
    if (wasFull && window.room() > 0) {
        context.wakeDispatch();
    }
    Worker *worker = context.fleet.find(ref.worker);
    if (result.outcome == OrderOutcome::StaleTerm) {
        context.superseded();
        return;
    }
    Task *task = findCurrentTask(ref);
    if (task == nullptr) {
        settleEarlierRun(worker, ref, result.outcome);
        return;
    }
    if (task->phase != TaskPhase::Starting && task->phase != TaskPhase::Uncertain) {
        return;
    }
    if (result.outcome == OrderOutcome::Done) {
        worker->life.roomBackoff = RoomBackoff();
        markRunning(task);
        if (task->step->occurrence->job->ended()) {
            stop(task);
        }
        observe(worker);
        return;
    }
    if (result.outcome == OrderOutcome::NoAnswer) {
        context.jobs.setPhase(task, TaskPhase::Uncertain, now);
        ++worker->life.unansweredCalls;
        blockStarts(worker, context.settings.orderRetryDelay);
    } else {
        onRefused(task, worker, result);
    }
    wakeObservation(worker);
}

void OrderSystem::settleEarlierRun(Worker *worker, const RunRef &ref, OrderOutcome outcome)
{
    EarlierRun *run = worker == nullptr ? nullptr : FleetTable::findEarlierRun(worker, ref.task, ref.run);
    if (run == nullptr || run->startOrder != StartOrderState::Pending) {
        return;
    }
    switch (outcome) {
    case OrderOutcome::NoAnswer:
        run->startOrder = StartOrderState::Unanswered;
        break;
    case OrderOutcome::Done:
        run->startOrder = StartOrderState::Settled; // Which incarnation has carried it out is not known.
        recordLongestLease(worker);
        break;
    default: // It was refused or not sent, so the run has never begun.
        m_context->fleet.dropEarlierRun(worker, ref.task, ref.run);
        m_context->wakeDispatch();
        return;
    }
    run->changedAt = m_context->now();
    wakeObservation(worker);
}

void OrderSystem::recordLongestLease(Worker *worker) const
{
    FleetTable::recordForeignLease(worker, m_context->settings.maxWorkerLease, m_context->now());
}

void OrderSystem::markRunning(Task *task)
{
    m_context->jobs.setPhase(task, TaskPhase::Running, m_context->now());
    task->progressAt = m_context->now();
    task->seenOnWorker = true;
    if (task->pace != fullPace) {
        resendPace(task); // A start order can't carry a pace.
    }
}

void OrderSystem::blockStarts(Worker *worker, Milliseconds backoff) const
{
    worker->life.blockedUntil = std::max(worker->life.blockedUntil, m_context->now() + Duration(backoff));
}

void OrderSystem::waitForRoom(Worker *worker) const
{
    const TimePoint now = m_context->now();
    RoomBackoff &backoff = worker->life.roomBackoff;
    if (now < backoff.until) {
        return; // The start was sent before the wait began.
    }
    const Milliseconds wait = noRoomBackoff * (1 << std::min(backoff.refusals, maxNoRoomDoublings));
    backoff.until = now + Duration(wait);
    ++backoff.refusals;
    m_context->log->write(
        LogLine("worker_without_room")
            .with("worker", worker->id)
            .with("refusals", backoff.refusals)
            .with("used", worker->used.milliCores)
            .with("capacity", worker->entry.capacity.milliCores)
            .with("observed_ago_ms", std::chrono::duration_cast<Milliseconds>(now - worker->observedAt))
            .with("wait_ms", wait));
}

void OrderSystem::onRefused(Task *task, Worker *worker, const OrderResult &result)
{
    Context &context = *m_context;
    const TimePoint now = context.now();
    ++startsRefused;
    FleetTable::release(task);
    context.jobs.setIdle(task);
    switch (result.outcome) {
    case OrderOutcome::InsufficientCapacity:
        waitForRoom(worker);
        break;
    case OrderOutcome::Rejected:
        context.jobs.countFailure(task, task->run, now);
        if (task->step->occurrence->job->ended()) {
            stopJob(task->step->occurrence->job);
        }
        break;
    case OrderOutcome::Unhealthy:
        blockStarts(worker, unhealthyBackoff);
        break;
    case OrderOutcome::NotSent:
        ++worker->life.unansweredCalls;
        blockStarts(worker, unhealthyBackoff);
        doubtLife(worker, "not-sent"); // It has ended, or another incarnation is there.
        break;
    case OrderOutcome::OtherIncarnation:
        markTasksLost(worker, LifeEnd{RunsOver::OtherLife, FleetTable::earliestBegin(result.workerClock, now)});
        FleetTable::setContact(worker, WorkerContact::Lost);
        break;
    default:
        blockStarts(worker, context.settings.orderRetryDelay);
        break;
    }
    context.wakeDispatch();
}

void OrderSystem::stop(Task *task)
{
    if (task->worker == nullptr || task->phase == TaskPhase::Stopping || task->phase == TaskPhase::Starting) {
        return; // A pending start is stopped when it is answered.
    }
    m_context->jobs.setPhase(task, TaskPhase::Stopping, m_context->now());
    sendStop(RunRef{keyOf(*task), task->run, task->worker->id});
}

void OrderSystem::sendStop(const RunRef &ref)
{
    const Worker *worker = m_context->fleet.find(ref.worker);
    if (worker == nullptr || !m_context->maySendOrders()) {
        onStopped(ref, OrderResult{});
        return;
    }
    const std::shared_ptr<Context> shared = m_context;
    const ActivityMeter::Scope scope(&m_context->activities, Activity::Stops);
    m_context->gateway->stop(refOf(*worker), ref.task, ref.run, m_context->term, m_context->settings.orderTimeout,
                             [this, shared, ref](const OrderResult &result) {
                                 if (!shared->ended) {
                                     onStopped(ref, result);
                                 }
                             });
}

void OrderSystem::onStopped(const RunRef &ref, const OrderResult &result)
{
    Context &context = *m_context;
    const ActivityMeter::Scope scope(&context.activities, Activity::Answers);
    if (result.outcome == OrderOutcome::StaleTerm) {
        context.superseded();
        return;
    }
    Task *task = findCurrentTask(ref);
    if (task == nullptr || task->phase != TaskPhase::Stopping) {
        return;
    }
    if (result.outcome == OrderOutcome::Done) {
        // The worker refuses this run from now on. The next observation shows whether it has ended there.
        context.jobs.setPhase(task, TaskPhase::Stopping, context.now());
        task->stopConfirmed = true;
        wakeObservation(task->worker);
        return;
    }
    const std::shared_ptr<Context> shared = m_context;
    context.loop->postAfter(context.settings.orderRetryDelay, [this, shared, ref] {
        if (!shared->ended && findCurrentTask(ref) != nullptr && findCurrentTask(ref)->phase == TaskPhase::Stopping) {
            sendStop(ref);
        }
    });
}

void OrderSystem::stopUnknownRun(Worker *worker, const TaskKey &key, RunNumber run)
{
    m_context->log->write(LogLine("run_stop_unknown")
                              .with("job", key.job)
                              .with("task", toString(key))
                              .with("run", static_cast<std::int64_t>(run))
                              .with("worker", worker->id));
    const std::shared_ptr<Context> shared = m_context;
    const ActivityMeter::Scope scope(&m_context->activities, Activity::Stops);
    m_context->gateway->stop(refOf(*worker), key, run, m_context->term, m_context->settings.orderTimeout,
                             [shared](const OrderResult &result) {
                                 if (!shared->ended && result.outcome == OrderOutcome::StaleTerm) {
                                     shared->superseded();
                                 }
                             });
}

bool OrderSystem::stopUnsettledRuns(Worker *worker)
{
    bool isAwaiting = false;
    if (worker->contact != WorkerContact::Adopted || !m_context->maySendOrders()) {
        return isAwaiting;
    }
    for (EarlierRun &run : worker->earlierRuns) {
        if (run.startOrder == StartOrderState::Settled
            || (run.stopConfirmed && run.startOrder == StartOrderState::Unanswered)) {
            continue;
        }
        isAwaiting = true;
        if (!run.stopSent && !run.stopConfirmed) {
            run.stopSent = true;
            sendConfirmedStop(worker, RunRef{run.task, run.run, worker->id});
        }
    }
    return isAwaiting;
}

void OrderSystem::sendConfirmedStop(Worker *worker, const RunRef &ref)
{
    m_context->log->write(LogLine("run_stop_unsettled")
                              .with("job", ref.task.job)
                              .with("task", toString(ref.task))
                              .with("run", static_cast<std::int64_t>(ref.run))
                              .with("worker", worker->id)
                              .with("life", worker->life.incarnation));
    const std::int64_t incarnation = worker->life.incarnation;
    const std::shared_ptr<Context> shared = m_context;
    const ActivityMeter::Scope scope(&m_context->activities, Activity::Stops);
    m_context->gateway->stop(refOf(*worker), ref.task, ref.run, m_context->term, m_context->settings.orderTimeout,
                             [this, shared, ref, incarnation](const OrderResult &result) {
                                 if (!shared->ended) {
                                     onStopConfirmed(ref, incarnation, result.outcome);
                                 }
                             });
}

void OrderSystem::onStopConfirmed(const RunRef &ref, std::int64_t incarnation, OrderOutcome outcome)
{
    const ActivityMeter::Scope scope(&m_context->activities, Activity::Answers);
    if (outcome == OrderOutcome::StaleTerm) {
        m_context->superseded();
        return;
    }
    Worker *worker = m_context->fleet.find(ref.worker);
    EarlierRun *run = worker == nullptr ? nullptr : FleetTable::findEarlierRun(worker, ref.task, ref.run);
    if (run == nullptr || worker->life.incarnation != incarnation) {
        return;
    }
    run->stopSent = false; // Unless it was confirmed, it is sent again after the next observation.
    if (outcome == OrderOutcome::Done) {
        run->stopConfirmed = true;
        run->changedAt = m_context->now();
        recordLongestLease(worker);
        wakeObservation(worker);
    }
}

void OrderSystem::stopJob(Job *job)
{
    for (const auto &[number, occurrence] : job->open) {
        for (Step &step : occurrence->steps) {
            for (Task &task : step.tasks) {
                if (task.worker != nullptr) {
                    stop(&task);
                }
            }
        }
    }
}

void OrderSystem::orderPace(Task *task, int percent)
{
    if (task->worker == nullptr || task->pace == percent || !m_context->maySendOrders()) {
        return;
    }
    FleetTable::setPace(task, percent);
    sendPace(task);
}

void OrderSystem::sendPace(Task *task)
{
    const ActivityMeter::Scope scope(&m_context->activities, Activity::Paces);
    const int percent = task->pace;
    task->pacedAt = m_context->now();
    const RunRef ref{keyOf(*task), task->run, task->worker->id};
    m_context->log->write(LogLine("run_pace")
                              .with("job", ref.task.job)
                              .with("task", toString(ref.task))
                              .with("worker", ref.worker)
                              .with("percent", percent));
    const std::shared_ptr<Context> shared = m_context;
    m_context->gateway->pace(refOf(*task->worker), ref.task, ref.run, percent, m_context->term,
                             m_context->settings.orderTimeout, [this, shared, ref, percent](const OrderResult &result) {
                                 if (shared->ended) {
                                     return;
                                 }
                                 if (result.outcome == OrderOutcome::StaleTerm) {
                                     shared->superseded();
                                     return;
                                 }
                                 onPaced(findCurrentTask(ref), percent, result.outcome);
                             });
}

void OrderSystem::onPaced(Task *task, int percent, OrderOutcome outcome) const
{
    const ActivityMeter::Scope scope(&m_context->activities, Activity::Answers);
    if (task == nullptr || outcome == OrderOutcome::Done) {
        return;
    }
    if (outcome == OrderOutcome::NoAnswer) {
        task->latePaceOrdersUntil = m_context->now() + lateOrderWindow;
    }
    if (task->pace == percent) {
        FleetTable::setPace(task, unknownPace); // The next pacing decision sends it again.
    }
}

void OrderSystem::resendPace(Task *task)
{
    if (task->pace != unknownPace && m_context->maySendOrders()) {
        sendPace(task);
    }
}

void OrderSystem::markTasksLost(Worker *worker, const LifeEnd &end)
{
    const TaskSet tasks = worker->tasks;
    const TimePoint now = m_context->now();
    const std::vector<Job *> givenUp = workerEnded(worker, end);
    for (Task *task : tasks) {
        m_context->log->write(LogLine("run_lost")
                                  .with("job", task->step->occurrence->job->id)
                                  .with("task", toString(keyOf(*task)))
                                  .with("run", static_cast<std::int64_t>(task->run))
                                  .with("worker", worker->id)
                                  .with("reason", runsOverName(end.reason))
                                  .with("phase", phaseName(task->phase))
                                  .with("seen", task->seenOnWorker ? 1 : 0)
                                  .with("stop_confirmed", task->stopConfirmed ? 1 : 0)
                                  .with("ordered_ago_ms", ageOf(task->orderedAt, now))
                                  .with("life", worker->life.incarnation)
                                  .with("next_life_ago_ms", ageOf(end.nextBegan, now)));
        FleetTable::release(task);
        const bool isOrderedHere = task->orderedAt != TimePoint{}; // Not in an earlier term.
        if (isStartUnderWay(*task) || (isOrderedHere && !canTellOf(*task, end.askedAt))) {
            m_context->fleet.addEarlierRun(worker, asEarlierRun(*task, now), task->step);
        }
        m_context->jobs.setIdle(task);
    }
    for (Job *job : givenUp) {
        m_context->jobs.end(job, JobPhase::Failed, m_context->now());
        stopJob(job);
    }
    const bool dropped = endEarlierRuns(worker, end);
    if (!tasks.empty() || dropped) {
        m_context->wakeDispatch();
    }
}

bool OrderSystem::endEarlierRuns(Worker *worker, const LifeEnd &end) const
{
    for (EarlierRun &run : worker->earlierRuns) {
        run.stopSent = false;
        run.stopConfirmed = false; // The next incarnation does not know of it.
    }
    const TimePoint now = m_context->now();
    return m_context->fleet.dropEarlierRuns(worker, [worker, &end, now](const EarlierRun &run) {
        return end.reason == RunsOver::NewLife
            ? run.startOrder == StartOrderState::Settled && end.askedAt > run.changedAt
            : !mayReachNextLife(run, *worker, now);
    });
}

} // namespace fescueledge::workflow
