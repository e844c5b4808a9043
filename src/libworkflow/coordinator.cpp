#include "coordinator_pvt.h"

#include "jobrow_pvt.h"
#include "placequery_pvt.h"
#include "rows_pvt.h"
#include "workerrecord_pvt.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace fescueledge::workflow {

namespace {

/// How often timeouts, due occurrences and expired leases are checked.
constexpr Milliseconds tickInterval{50};
/// If the store has not confirmed the term for this long, it is asked. A watch that is answered confirms it sooner.
constexpr Milliseconds confirmInterval{1200};
/// How often ended jobs and unlisted workers are removed.
constexpr Milliseconds cleanupInterval{2000};
/// Tasks that become startable within this time are placed together.
constexpr Milliseconds dispatchDelay{5};
/// After a run the dispatch pauses for as long as the run took, so that the loop gets to other work, but for at most
/// this time.
constexpr Milliseconds maxDispatchDelay{50};
/// Delay before the next watch of the jobs, in which changes accumulate.
constexpr Milliseconds jobWatchDelay{30};
constexpr const char *cancelSuffix = ".cancel";

bool endsWith(const std::string &text, const std::string &end)
{
    return text.size() >= end.size() && text.compare(text.size() - end.size(), end.size(), end) == 0;
}

} // namespace

Coordinator::Coordinator(std::shared_ptr<Context> context, WatchableTable *table, FleetSource *fleet,
                         const TermStart &start, std::uint64_t seed)
    : m_context(std::move(context))
    , m_fleetSource(fleet)
    , m_crashes(m_context)
    , m_orders(m_context)
    , m_observations(m_context, &m_orders, &m_crashes)
    , m_placement(m_context)
    , m_dispatch(m_context, &m_orders, &m_placement, &m_observations, &m_crashes)
    , m_waitReport(m_context, &m_placement, &m_observations, &m_dispatch.accounts())
    , m_accountReport(m_context)
    , m_pacing(m_context, &m_orders)
    , m_writer(m_context, table, start.chainVersion, start.chainValue, seed)
    , m_jobFollower(m_context->loop, table, "job", m_context->settings.watchTimeout)
    , m_freshness(m_context, fleet)
    , m_loadReport(m_context, &m_orders, &m_placement, tickInterval)
    , m_loader(m_context, table)
    , m_leaseKeeper(m_context)
    , m_cancellations(m_context, table, seed + 1)
{
    m_context->term = start.term;
    m_termStartVersion = start.chainVersion;
    m_context->tookOverAt = m_context->now();
    m_orders.wakeObservation = [this](Worker *worker) {
        m_observations.wake(worker);
    };
    m_orders.observe = [this](Worker *worker) {
        m_observations.observe(worker);
    };
    m_orders.workerEnded = [this](Worker *worker, const LifeEnd &end) {
        return m_crashes.recordCrash(worker, end);
    };
    m_observations.observed = [this](Worker *worker) {
        m_pacing.observe(worker);
        m_placement.invalidateHeadroom(worker);
        m_context->fleet.candidates().markEased(worker);
    };
    m_pacing.hasBetterPlace = [this](const Task &task) {
        return m_placement.hasPlaceElsewhere(task);
    };
    m_context->jobsConfirmedAt = [this] {
        return m_jobFollower.confirmedAt();
    };
    m_context->wakeDispatch = [this] {
        scheduleDispatch();
    };
    m_context->wakeWriter = [this] {
        m_writer.wake();
    };
    m_writer.committed = [this] {
        for (const auto &[id, worker] : m_context->fleet.all()) {
            if (worker->life.endsDurable > worker->life.endsAcknowledged) {
                m_observations.observe(worker.get());
            }
        }
        scheduleDispatch();
    };
    m_writer.storeReachable = [this](bool reachable) {
        reportStoreContact(reachable);
    };
    m_writer.termConfirmed = [this](Duration at) {
        reportTermConfirmed(at);
    };
    m_loader.storeReachable = [this](bool reachable) {
        reportStoreContact(reachable);
    };
    m_loader.workersRead = [this](const std::vector<Row> &record) {
        readWorkerRecord(record);
        if (!m_recordedWorkers.empty() && !m_jobsRead) {
            m_leaseKeeper.renew(m_recordedWorkers);
        }
    };
    m_loader.start([this](TermState state) {
        applyTermState(std::move(state));
    });
    followJobs();
    m_fleetSource->follow([this, shared = m_context](const FleetUpdate &update) {
        if (!shared->ended) {
            onFleetUpdate(update);
        }
    });
}

Coordinator::~Coordinator()
{
    m_context->ended = true;
    m_fleetSource->stop();
}

void Coordinator::followJobs()
{
    m_jobFollower.setWatchDelay(jobWatchDelay);
    m_jobFollower.setClock(m_context->sinceBoot);
    m_jobFollower.setContactHandler([this](bool answered) {
        reportStoreContact(answered);
        reportTermConfirmed(m_jobFollower.confirmedAt()); // The marker of a later term would have been among the rows.
    });
    m_jobFollower.start(
        [this](const std::vector<Row> &rows) {
            m_jobsRead = true;
            onJobRows(rows);
        },
        [this](const std::vector<WatchResult::Change> &changes) {
            onJobChanges(changes);
        });
}

void Coordinator::applyTermState(TermState state)
{
    m_stateLoaded = true;
    m_state = std::move(state);
    if (!m_state.interference.empty() && !m_context->interference.decode(m_state.interference)) {
        m_context->log->write(LogLine("interference_unreadable").with("outcome", "learnt anew"));
    }
    startIfLoaded();
}

void Coordinator::startIfLoaded()
{
    if (m_jobsLoaded || !m_stateLoaded || !m_jobsRead) {
        return;
    }
    for (const Row &row : m_earlyJobRows) {
        applyJobRow(row);
        if (m_context->ended) {
            return; // One of the rows was the marker of a later term.
        }
    }
    m_earlyJobRows.clear();
    m_jobsLoaded = true;
    m_jobsAppliedUpTo = m_jobFollower.seenUpTo();
    markExcessJobs();
    for (const auto &[id, progress] : m_state.progress) {
        if (m_context->jobs.find(id) == nullptr) {
            m_writer.removeProgress(id); // The removal of the job was interrupted.
        }
    }
    m_state.progress.clear();
    onJobsLoaded();
}

void Coordinator::onJobRows(const std::vector<Row> &rows)
{
    const ActivityMeter::Scope scope(&m_context->activities, Activity::Jobs);
    if (!m_jobsLoaded) {
        m_earlyJobRows.insert(m_earlyJobRows.end(), rows.begin(), rows.end());
        startIfLoaded();
        return;
    }
    for (const Row &row : rows) {
        if (m_context->ended) {
            return;
        }
        applyJobRow(row);
    }
    m_jobsAppliedUpTo = m_jobFollower.seenUpTo();
    scheduleDispatch();
}

void Coordinator::onJobChanges(const std::vector<WatchResult::Change> &changes)
{
    std::vector<Row> rows;
    for (const WatchResult::Change &change : changes) {
        if (!change.removed) {
            rows.push_back(change.row);
        }
    }
    onJobRows(rows);
}

void Coordinator::applyJobRow(const Row &row)
{
    if (row.key == rows::termMarker()) {
        if (static_cast<Term>(std::atoll(row.value.c_str())) > m_context->term) {
            m_context->superseded();
        }
        return;
    }
    const std::string name = row.key.substr(row.key.rfind('/') + 1);
    if (endsWith(name, cancelSuffix)) {
        cancel(name.substr(0, name.size() - std::string(cancelSuffix).size()), row.version);
        return;
    }
    if (m_context->jobs.find(name) != nullptr) {
        return;
    }
    if (row.version <= m_jobsAppliedUpTo) {
        // Read before the job was removed, and answered after it.
        m_context->log->write(
            LogLine("job_row_old").with("job", name).with("version", static_cast<std::int64_t>(row.version)));
        return;
    }
    try {
        const JobRow accepted = decodeJobRow(row.value);
        const QueuePolicy *policy =
            m_context->catalog == nullptr ? nullptr : m_context->catalog->queue(accepted.policy.name);
        const TimePoint now = m_context->now();
        Job *job = m_context->jobs.add(name, accepted.spec, policy == nullptr ? accepted.policy : *policy,
                                       accepted.acceptedAt, now, m_context->wallClock());
        job->account = accepted.account;
        job->isExcess = m_jobsLoaded && isExcess(*job);
        job->rowVersion = row.version;
        // An earlier coordinator that has not seen this term may have been notified of the job.
        job->fromEarlierTerm = m_acceptedThisTerm.erase(name) == 0 && !m_earlierRunsKnown;
        const auto it = m_state.progress.find(name);
        if (it != m_state.progress.end()) {
            m_context->jobs.applyProgress(job, it->second, now, m_context->wallClock());
        }
        if (m_cancellations.take(name)) {
            cancel(name, 0);
        }
    } catch (const nlohmann::json::exception &error) {
        m_context->log->write(LogLine("job_row_unreadable").with("job", name).with("detail", error.what()));
    }
}

bool Coordinator::isExcess(const Job &job)
{
    if (m_context->catalog == nullptr) {
        return false;
    }
    const auto it = m_context->catalog->accounts.find(job.account);
    return it != m_context->catalog->accounts.end()
        && !m_rates.conforms(job.account, it->second.weight, job.acceptedAt);
}

void Coordinator::markExcessJobs()
{
    std::vector<Job *> jobs;
    for (const auto &[id, job] : m_context->jobs.all()) {
        if (!job->account.empty()) {
            jobs.push_back(job.get());
        }
    }
    std::sort(jobs.begin(), jobs.end(), [](const Job *a, const Job *b) {
        return std::tie(a->acceptedAt, a->id) < std::tie(b->acceptedAt, b->id);
    });
    for (Job *job : jobs) {
        job->isExcess = isExcess(*job);
    }
}

void Coordinator::cancel(const JobId &id, RowVersion version)
{
    Job *job = m_context->jobs.find(id);
    if (job == nullptr) {
        m_cancellations.add(id, version);
        return;
    }
    if (job->ended()) {
        return;
    }
    m_context->log->write(LogLine("job_cancelled").with("job", id));
    m_context->jobs.end(job, JobPhase::Cancelled, m_context->now());
    m_orders.stopJob(job);
    m_writer.wake();
    scheduleDispatch();
}

void Coordinator::handleAcceptedJob(const JobId &id, const std::string &value, RowVersion version)
{
    const ActivityMeter::Scope scope(&m_context->activities, Activity::Jobs);
    // Only one coordinator is notified of each job. A job that was accepted in this term, and of which this node was
    // notified, is unknown to earlier coordinators: their watches report this term first.
    const bool acceptedThisTerm = version > m_termStartVersion;
    Job *known = m_context->jobs.find(id);
    if (known != nullptr) {
        known->fromEarlierTerm = known->fromEarlierTerm && !acceptedThisTerm;
        scheduleDispatch();
        return;
    }
    if (acceptedThisTerm && !m_earlierRunsKnown) {
        m_acceptedThisTerm.insert(id);
    }
    // If the watch is past this version and the job is unknown, the job has been removed since.
    if (!m_jobsLoaded || version <= m_jobFollower.seenUpTo()) {
        return;
    }
    Row row;
    row.key = rows::job(id);
    row.value = value;
    row.version = version;
    applyJobRow(row);
    scheduleDispatch();
}

void Coordinator::handleCancellation(const JobId &id)
{
    cancel(id, 0);
}

void Coordinator::onJobsLoaded()
{
    m_context->log->write(LogLine("jobs_loaded")
                              .with("term", static_cast<std::int64_t>(m_context->term))
                              .with("jobs", static_cast<std::int64_t>(m_context->jobs.all().size())));
    for (const FleetUpdate &update : m_earlyFleetUpdates) {
        onFleetUpdate(update);
    }
    m_earlyFleetUpdates.clear();
}

void Coordinator::readWorkerRecord(const std::vector<Row> &record)
{
    std::map<std::string, RecordPart *> parts;
    for (std::size_t i = 0; i < recordPartCount; ++i) {
        parts[rows::workerRecordPart(i)] = &m_context->fleet.recordParts().at(i);
    }
    const TimePoint forgottenAt = m_context->now() + FleetTable::longestLease(longestForeignLease());
    std::set<WorkerId> known;
    // The parts sort after the record of an earlier version and are newer.
    for (auto row = record.rbegin(); row != record.rend(); ++row) {
        const auto part = parts.find(row->key);
        try {
            for (RecordedWorker &recorded : decodeRecordPart(row->value)) {
                if (known.insert(recorded.entry.id).second) {
                    m_recordedWorkers.push_back(std::move(recorded));
                }
            }
            if (part != parts.end()) {
                part->second->written = row->value;
            }
        } catch (const nlohmann::json::exception &error) {
            m_context->log->write(
                LogLine("worker_record_unreadable").with("row", row->key).with("detail", error.what()));
            m_unreadableUntil = forgottenAt;
            if (part != parts.end()) {
                part->second->keptUntil = forgottenAt;
            }
        }
    }
}

Milliseconds Coordinator::longestForeignLease() const
{
    return m_context->settings.isolationTimeout + m_context->settings.workerLease;
}

void Coordinator::restoreUnknownWorkers()
{
    // Any worker may be one that the unreadable part names. One that is not listed has lost its lease by then.
    m_observations.setEarlierRunsUnknownUntil(m_unreadableUntil);
    for (const auto &[id, worker] : m_context->fleet.all()) {
        worker->recordedInEarlierTerm = true;
    }
    const std::shared_ptr<Context> shared = m_context;
    m_context->loop->postAfter(m_unreadableUntil - m_context->now(), [this, shared] {
        if (!shared->ended) {
            m_writer.wake();
            scheduleDispatch();
        }
    });
}

void Coordinator::restoreLeaseEnd(Worker *worker, Milliseconds leaseEnd)
{
    const ServiceClock &clock = m_context->serviceClock;
    if (leaseEnd == Milliseconds::zero()) {
        return;
    }
    worker->leaseEndForRecord = leaseEnd;
    worker->recordNamesLeaseEnd = true;
    const Duration longest = FleetTable::longestLease(longestForeignLease());
    const Duration left = clock.isKnown() ? Duration(leaseEnd - clock.earliest(m_context->sinceBoot())) : longest;
    const Duration wait =
        std::clamp(std::chrono::duration_cast<Duration>(left * (1 + clockDrift)), Duration::zero(), longest);
    worker->life.leaseExpiresAt = m_context->now() + wait;
}

void Coordinator::restoreRecordedWorkers()
{
    Context &context = *m_context;
    const TimePoint now = context.now();
    if (m_unreadableUntil > now) {
        restoreUnknownWorkers();
    }
    for (const Row &row : m_state.workerRecord) {
        if (row.key == rows::wholeWorkerRecord()) {
            m_writer.replaceWholeRecord();
        }
    }
    for (const RecordedWorker &recorded : m_recordedWorkers) {
        Worker *worker = context.fleet.find(recorded.entry.id);
        if (worker == nullptr) {
            worker = context.fleet.upsert(recorded.entry, now);
            FleetTable::setUnlisted(worker, now);
        }
        worker->recorded = true;
        worker->recordedInEarlierTerm = true;
        worker->recordNamesRuns = recorded.namesRuns;
        restoreLeaseEnd(worker, recorded.leaseEnd);
        for (const auto &[key, run] : recorded.runs) {
            Task *task = context.jobs.findTask(key);
            if (task == nullptr || task->phase == TaskPhase::Done) {
                continue;
            }
            if (run < task->run || (run == task->run && task->worker != nullptr)) {
                context.fleet.addEarlierRun(worker, EarlierRun(key, run), task->step);
                continue;
            }
            if (task->worker != nullptr) {
                context.fleet.addEarlierRun(task->worker, EarlierRun(key, task->run), task->step);
                FleetTable::release(task);
            }
            task->run = run;
            task->pace = unknownPace;
            FleetTable::place(task, worker);
            context.jobs.setPhase(task, TaskPhase::Uncertain, now);
        }
    }
}

void Coordinator::onFleetUpdate(const FleetUpdate &update)
{
    if (!m_jobsLoaded) {
        m_earlyFleetUpdates.push_back(update);
        return;
    }
    Context &context = *m_context;
    const ActivityMeter::Scope scope(&context.activities, Activity::Fleet);
    const TimePoint now = context.now();
    std::set<WorkerId> present;
    for (const WorkerEntry &entry : update.present) {
        present.insert(entry.id);
        const Worker *known = context.fleet.find(entry.id);
        const bool isNew = known == nullptr;
        const bool startsDraining = entry.draining && (isNew || !known->entry.draining);
        Worker *worker = context.fleet.upsert(entry, now);
        if (isNew) {
            FleetTable::recordForeignLease(worker, longestForeignLease(), now);
        }
        m_observations.checkListedLife(worker);
        if (isNew || startsDraining) {
            context.log->write(LogLine("worker_listed")
                                   .with("worker", entry.id)
                                   .with("data_centre", entry.dataCentre)
                                   .with("rack", entry.rack)
                                   .with("draining", entry.draining ? 1 : 0));
        }
    }
    if (update.complete) {
        for (const auto &[id, worker] : context.fleet.all()) {
            if (worker->listed && present.count(id) == 0) {
                FleetTable::setUnlisted(worker.get(), now);
            }
        }
    }
    for (const WorkerId &id : update.removed) {
        Worker *worker = context.fleet.find(id);
        if (worker != nullptr && worker->listed) {
            FleetTable::setUnlisted(worker, now);
            context.log->write(LogLine("worker_unlisted").with("worker", id));
        }
    }
    if (!m_fleetLoaded) {
        m_fleetLoaded = true;
        restoreRecordedWorkers();
        m_writer.confirmTerm(); // Reading the jobs of a slow store may have taken longer than the right to send orders.
        for (const auto &[id, worker] : context.fleet.all()) {
            if (!worker->recordNamesLeaseEnd) {
                FleetTable::recordForeignLease(worker.get(), longestForeignLease(), now);
            }
        }
        tick();
    }
    m_writer.wake();
    for (const WorkerId &id : present) {
        Worker *worker = context.fleet.find(id);
        if (worker->contact == WorkerContact::Unadopted) {
            m_observations.wake(worker); // Of the others, tick() observes those that are due.
        }
    }
}

void Coordinator::tick()
{
    Context &context = *m_context;
    const ActivityMeter::Scope scope(&context.activities, Activity::Tick);
    m_observations.recordLoopDelay(m_loadReport.tick(m_freshness.workersAge()));
    context.jobs.openAllDueOccurrences(context.wallClock());
    m_observations.tick();
    confirmTermIfDue();
    m_crashes.tick();
    if (m_writer.hasMore()) {
        m_writer.wake();
    }
    const TimePoint now = context.now();
    if (now - m_lastCleanupAt > cleanupInterval) {
        m_lastCleanupAt = now;
        removeExpiredJobs();
        removeUnlistedWorkers();
        m_cancellations.removeExpired();
    }
    if (!context.jobs.openSteps().empty()) {
        m_waitReport.run();
        m_accountReport.run();
        scheduleDispatch();
    }
    const std::shared_ptr<Context> shared = m_context;
    context.loop->postAfter(tickInterval, [this, shared] {
        if (!shared->ended) {
            tick();
        }
    });
}

void Coordinator::confirmTermIfDue()
{
    const Duration now = m_context->sinceBoot();
    if (now >= m_termConfirmedAt + confirmInterval && now >= m_confirmAskedAt + m_context->settings.orderRetryDelay) {
        m_confirmAskedAt = now;
        m_writer.confirmTerm(); // Other nodes may not have heard of a later term, and there may be nothing to write.
    }
}

void Coordinator::removeExpiredJobs()
{
    const TimePoint now = m_context->now();
    for (const auto &[id, job] : m_context->jobs.all()) {
        JobTable::releaseEndedJob(job.get());
        if (job->ended() && job->phaseDurable && job->open.empty()
            && now > job->endedAt + m_context->settings.statusRetention) {
            m_writer.removeJob(job.get());
        }
    }
}

void Coordinator::removeUnlistedWorkers()
{
    const TimePoint now = m_context->now();
    std::vector<WorkerId> removable;
    for (const auto &[id, worker] : m_context->fleet.all()) {
        if (!worker->listed && worker->tasks.empty() && worker->earlierRuns.empty() && now > worker->life.leaseExpiresAt
            && !worker->observationPending) {
            removable.push_back(id);
        }
    }
    for (const WorkerId &id : removable) {
        m_context->log->write(LogLine("worker_forgotten").with("worker", id));
        m_context->fleet.erase(id);
    }
    if (!removable.empty()) {
        m_writer.wake();
    }
}

void Coordinator::scheduleDispatch()
{
    if (m_dispatchScheduled || !m_fleetLoaded) {
        return;
    }
    m_dispatchScheduled = true;
    const std::shared_ptr<Context> shared = m_context;
    m_context->loop->postAfter(std::clamp<Duration>(m_lastDispatchDuration, dispatchDelay, maxDispatchDelay),
                               [this, shared] {
                                   if (!shared->ended) {
                                       m_dispatchScheduled = false;
                                       dispatch();
                                   }
                               });
}

void Coordinator::dispatch()
{
    const ActivityMeter::Scope scope(&m_context->activities, Activity::Dispatch);
    if (!m_earlierRunsKnown && m_observations.knowsEarlierRuns()) {
        m_earlierRunsKnown = true;
        m_context->log->write(
            LogLine("earlier_runs_known")
                .with("term", static_cast<std::int64_t>(m_context->term))
                .with("took_ms", std::chrono::duration_cast<Milliseconds>(m_context->now() - m_context->tookOverAt)));
    }
    if (!m_freshness.areCurrent()) {
        return; // A worker may have announced its shutdown, or its data centre be evacuated. The next tick tries again.
    }
    if (m_orders.window.room() == 0) {
        return; // The answers to earlier orders wake the dispatch.
    }
    const TimePoint begun = m_context->now();
    const bool more = m_dispatch.run(m_dispatchBudget.startsPerRun());
    m_lastDispatchDuration = m_context->now() - begun;
    m_dispatchBudget.adjust(m_lastDispatchDuration, more);
    if (more) {
        scheduleDispatch();
    }
}

void Coordinator::reportStoreContact(bool reachable)
{
    if (reachable) {
        m_freshness.recordStoreAnswer();
    }
    if (m_storeContact) {
        m_storeContact(reachable);
    }
}

void Coordinator::setStoreContactHandler(std::function<void(bool)> handler)
{
    m_storeContact = std::move(handler);
}

void Coordinator::reportTermConfirmed(Duration at)
{
    m_termConfirmedAt = std::max(m_termConfirmedAt, at);
    if (m_termConfirmed && !m_context->ended) {
        m_termConfirmed(at);
    }
}

void Coordinator::setTermConfirmedHandler(std::function<void(Duration)> handler)
{
    m_termConfirmed = std::move(handler);
}

void Coordinator::setCatalog(const Catalog *catalog)
{
    m_context->catalog = catalog;
    for (const auto &[id, job] : m_context->jobs.all()) {
        const QueuePolicy *policy = catalog->queue(job->policy.name);
        if (policy != nullptr && !job->ended()) {
            job->policy = *policy;
        }
    }
    scheduleDispatch();
}

std::optional<JobPhase> Coordinator::status(const JobId &id) const
{
    const Job *job = m_context->jobs.find(id);
    if (job == nullptr) {
        return std::nullopt;
    }
    return job->phaseDurable ? job->phase : JobPhase::InProgress;
}

JobOwner Coordinator::ownerOf(const JobId &id) const
{
    const Job *job = m_context->jobs.find(id);
    return job == nullptr ? JobOwner{} : JobOwner{job->account, job->policy.name};
}

std::string Coordinator::explainPlace(const std::string &queue, const std::string &account, const WorkflowSpec &spec)
{
    const QueuePolicy *policy = m_context->catalog == nullptr ? nullptr : m_context->catalog->queue(queue);
    if (!m_jobsLoaded || policy == nullptr) {
        return std::string();
    }
    m_placement.dropStale();
    m_dispatch.updateAccounts();
    // Names come from outside and need not be UTF-8.
    return PlaceQuery(m_context, &m_placement, &m_dispatch.accounts())
        .explain(*policy, account, spec)
        .dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

bool Coordinator::isEnding(const JobId &id) const
{
    const Job *job = m_context->jobs.find(id);
    return job != nullptr && job->ended() && !job->phaseDurable;
}

std::optional<std::size_t> Coordinator::pending(const std::string &queue) const
{
    if (!m_jobsLoaded) {
        return std::nullopt;
    }
    return m_context->jobs.pending(queue);
}

} // namespace fescueledge::workflow
