#include "progresswriter_pvt.h"

#include "fescueledge/tableservice.h"
#include "rows_pvt.h"
#include "workerrecord_pvt.h"

#include <algorithm>
#include <array>

namespace fescueledge::workflow {

namespace {

/// Limits on the rows of one kind in a transaction, so that no kind has to wait for all rows of another.
constexpr std::size_t maxPartsPerWrite = 48;
constexpr std::size_t maxJobsPerWrite = 60;
constexpr std::size_t maxRemovalsPerWrite = 30;
/// Rows for the interference model and what else is written along.
constexpr std::size_t spareEntries = 2;
/// Room in a row of the record for the write id.
constexpr std::size_t writeIdBytes = 64;
/// How long the outcome of a write is looked up before the term ends.
constexpr Milliseconds commitTimeout{60000};
/// The interference model is written along with other rows, at most this often.
constexpr Milliseconds modelInterval{2000};

} // namespace

ProgressWriter::ProgressWriter(std::shared_ptr<Context> context, TableService *table, RowVersion chainVersion,
                               std::string chainValue, std::uint64_t seed)
    : m_context(std::move(context))
    , m_resolver(m_context->loop, table)
    , m_table(table)
    , m_random(seed)
    , m_chainVersion(chainVersion)
    , m_chainValue(std::move(chainValue))
    , m_maxRows(m_context->settings.tableLimits.entries)
{
}

void ProgressWriter::replaceWholeRecord()
{
    m_removeWholeRecord = true;
    wake();
}

void ProgressWriter::removeJob(Job *job)
{
    if (job->removing) {
        return;
    }
    job->removing = true;
    // The row of the job itself goes first, in its own partition: a progress row without it has no meaning.
    Transaction transaction;
    transaction.writeId = m_random.uniqueId();
    transaction.conditions.push_back({rows::job(job->id), job->rowVersion});
    transaction.removals.push_back(rows::job(job->id));
    transaction.removals.push_back(rows::cancellation(job->id));
    const std::shared_ptr<Context> shared = m_context;
    m_table->commit(transaction, [this, shared, id = job->id](const CommitResult &result) {
        Job *removed = shared->ended ? nullptr : shared->jobs.find(id);
        if (removed == nullptr) {
            return;
        }
        if (result.status == CommitStatus::Committed || result.status == CommitStatus::Conflict) {
            removeProgress(id); // A conflict means that an earlier attempt has taken effect.
        } else {
            removed->removing = false; // Retried at the next cleanup.
        }
    });
}

void ProgressWriter::removeProgress(const JobId &id)
{
    m_removals.push_back(id);
    wake();
}

void ProgressWriter::confirmTerm()
{
    m_confirmTerm = true;
    wake();
}

Duration ProgressWriter::pendingWriteAge() const
{
    return m_inFlight ? m_context->now() - m_lastWriteAt : Duration::zero();
}

void ProgressWriter::wake()
{
    if (m_scheduled || m_inFlight) {
        return;
    }
    m_scheduled = true;
    const TimePoint now = m_context->now();
    const Duration delay = std::max(Duration(Milliseconds(2)), m_lastWriteAt + m_context->settings.writeInterval - now);
    const std::shared_ptr<Context> shared = m_context;
    m_context->loop->postAfter(delay, [this, shared] {
        if (!shared->ended) {
            m_scheduled = false;
            flush();
        }
    });
}

void ProgressWriter::setRecorded(Worker *worker, const RecordedState &state)
{
    worker->recorded = true;
    worker->recordNamesRuns = state.runs;
    worker->recordNamesLeaseEnd = state.leaseEnd;
}

void ProgressWriter::updateLeaseEnds(RecordPart *part) const
{
    const Context &context = *m_context;
    for (Worker *worker : part->workers) {
        if (!namesLeaseEnd(*worker)) {
            worker->leaseEndForRecord = Milliseconds::zero();
        } else if (worker->leaseEndForRecord == Milliseconds::zero() && context.serviceClock.isKnown()) {
            const Duration left = std::max(Duration::zero(), worker->life.leaseExpiresAt - context.now());
            worker->leaseEndForRecord = context.serviceClock.latest(context.sinceBoot())
                + std::chrono::ceil<Milliseconds>(left * (1 + clockDrift));
        }
    }
}

void ProgressWriter::forgetUnrecordedLeaseEnds(RecordPart *part)
{
    for (Worker *worker : part->workers) {
        if (!worker->recordNamesLeaseEnd) {
            worker->leaseEndForRecord = Milliseconds::zero(); // The lease may be extended before the next write.
        }
    }
}

bool ProgressWriter::fillRecordPart(std::size_t index, TransactionBuilder *transaction, Batch *batch)
{
    RecordPart &part = m_context->fleet.recordParts().at(index);
    const std::size_t maxBytes = m_context->settings.tableLimits.rowBytes - writeIdBytes;
    updateLeaseEnds(&part);
    const EncodedRecordPart encoded = encodeRecordPart(part, maxBytes);
    const auto stateOf = [&encoded](const Worker &worker) {
        RecordedState state;
        state.runs = namesRuns(worker) && encoded.withoutRuns.count(worker.id) == 0;
        state.leaseEnd = worker.leaseEndForRecord != Milliseconds::zero();
        return state;
    };
    const bool tooLong = encoded.value.empty() || !encoded.withoutRuns.empty();
    if (tooLong && !m_partTooLong.test(index)) {
        m_context->log->write(LogLine("record_part_too_long")
                                  .with("part", static_cast<std::int64_t>(index))
                                  .with("workers", static_cast<std::int64_t>(part.workers.size()))
                                  .with("without_runs", static_cast<std::int64_t>(encoded.withoutRuns.size()))
                                  .with("outcome", encoded.value.empty() ? "kept as it was" : "written without runs"));
    }
    m_partTooLong.set(index, tooLong);
    // A row that can't be written stays: it names every worker that has ever got a start.
    if (encoded.value.empty()) {
        part.changed = false;
        return true;
    }
    if (encoded.value == part.written) {
        part.changed = false;
        for (Worker *worker : part.workers) { // One may have been forgotten and listed again since the row was written.
            setRecorded(worker, stateOf(*worker));
        }
        return true;
    }
    if (transaction->addPut(rows::workerRecordPart(index), encoded.value) != TransactionBuilder::Added::Yes) {
        forgetUnrecordedLeaseEnds(&part);
        return false;
    }
    part.written = encoded.value;
    part.changed = false;
    for (Worker *worker : part.workers) {
        const RecordedState state = stateOf(*worker);
        batch->recorded[worker->id] = state;
        // Blocks starts and leases from the moment that the record may be written.
        worker->recordNamesRuns = worker->recordNamesRuns || namesRuns(*worker);
        worker->recordNamesLeaseEnd = worker->recordNamesLeaseEnd || state.leaseEnd;
    }
    batch->parts.push_back(index);
    ++batch->rows;
    return true;
}

void ProgressWriter::fillRecord(TransactionBuilder *transaction, Batch *batch)
{
    const std::array<RecordPart, recordPartCount> &parts = m_context->fleet.recordParts();
    const TimePoint now = m_context->now();
    for (std::size_t i = 0; i < parts.size() && batch->parts.size() < maxPartsPerWrite && batch->rows < m_maxRows;
         ++i) {
        if (parts.at(i).isDue(now) && !fillRecordPart(i, transaction, batch)) {
            return;
        }
    }
    const bool complete = std::none_of(parts.begin(), parts.end(), [](const RecordPart &part) {
        return part.changed;
    });
    // In a transaction of its own, because the parts have to be durable before.
    if (m_removeWholeRecord && complete && batch->parts.empty()) {
        transaction->addRemoval(rows::wholeWorkerRecord());
        batch->wholeRecordRemoved = true;
    }
}

void ProgressWriter::fillModel(TransactionBuilder *transaction)
{
    if (m_context->now() < m_modelAt + modelInterval) {
        return;
    }
    m_modelAt = m_context->now();
    const std::string model = m_context->interference.encode();
    if (model == m_modelWritten) {
        return;
    }
    m_modelWritten = model;
    if (transaction->addPut(rows::interference(), model) == TransactionBuilder::Added::RowTooLong) {
        m_context->log->write(LogLine("row_too_long")
                                  .with("row", rows::interference())
                                  .with("bytes", static_cast<std::int64_t>(model.size()))
                                  .with("outcome", "kept as it was"));
    }
}

TransactionBuilder::Added ProgressWriter::addProgress(const Job &job, TransactionBuilder *transaction) const
{
    const std::string key = rows::progress(job.id);
    const std::string whole = JobTable::encodeProgress(job);
    TransactionBuilder::Added added = transaction->addPut(key, whole);
    if (added != TransactionBuilder::Added::RowTooLong) {
        return added;
    }
    added = transaction->addPut(key, JobTable::encodeProgress(job, JobTable::Checkpoints::LeftOut));
    m_context->log->write(
        LogLine("row_too_long")
            .with("row", key)
            .with("job", job.id)
            .with("bytes", static_cast<std::int64_t>(whole.size()))
            .with("outcome",
                  added == TransactionBuilder::Added::RowTooLong ? "kept as it was" : "written without checkpoints"));
    return added;
}

void ProgressWriter::fillProgress(TransactionBuilder *transaction, Batch *batch)
{
    const std::size_t room = transaction->entriesLeft() - std::min(transaction->entriesLeft(), spareEntries);
    const std::size_t rowsLeft = m_maxRows - std::min(m_maxRows, batch->rows);
    for (Job *job : m_context->jobs.takeDirty(std::min({maxJobsPerWrite, room, rowsLeft}))) {
        switch (addProgress(*job, transaction)) {
        case TransactionBuilder::Added::Yes:
            m_unwritten.erase(job->id);
            batch->written.push_back(job->id);
            batch->crashes[job->id] = job->crashesCounted;
            ++batch->rows;
            if (job->ended()) {
                batch->ended.push_back(job->id);
            }
            break;
        case TransactionBuilder::Added::TransactionFull:
            m_context->jobs.markDirty(job);
            break;
        case TransactionBuilder::Added::RowTooLong:
            m_unwritten.insert(job->id);
            job->crashesDurable = job->crashesCounted; // They can't be, and its suspects don't wait for ever.
            break;
        }
    }
}

bool ProgressWriter::isWritten(const JobId &id) const
{
    const Job *job = m_context->jobs.find(id);
    return job == nullptr || (!job->dirty && m_unwritten.count(id) == 0);
}

void ProgressWriter::collectEnds(Batch *batch) const
{
    // The end of a run may be acknowledged only if the progress of its job is durable. Ends are acknowledged in their
    // order, so one that may not holds up the later ones of its worker.
    for (const auto &[id, worker] : m_context->fleet.all()) {
        const WorkerLife &life = worker->life;
        const auto held = std::find_if(life.pendingEnds.begin(), life.pendingEnds.end(), [this](const PendingEnd &end) {
            return !isWritten(end.task.job);
        });
        const std::uint64_t last = held == life.pendingEnds.end() ? life.endsApplied : held->number - 1;
        if (last > life.endsDurable) {
            batch->ends[id] = last;
        }
    }
}

void ProgressWriter::fillRemovals(TransactionBuilder *transaction, Batch *batch)
{
    while (!m_removals.empty() && batch->removed.size() < maxRemovalsPerWrite && batch->rows < m_maxRows) {
        const JobId id = m_removals.back();
        if (transaction->addRemoval(rows::progress(id)) != TransactionBuilder::Added::Yes) {
            return;
        }
        m_removals.pop_back();
        batch->removed.push_back(id);
        ++batch->rows;
    }
}

bool ProgressWriter::fillTransaction(TransactionBuilder *transaction, Batch *batch)
{
    fillRecord(transaction, batch);
    fillProgress(transaction, batch);
    collectEnds(batch);
    fillRemovals(transaction, batch);
    return batch->rows > 0 || batch->wholeRecordRemoved;
}

void ProgressWriter::flush()
{
    const ActivityMeter::Scope scope(&m_context->activities, Activity::Writes);
    const std::shared_ptr<Batch> batch = std::make_shared<Batch>();
    TransactionBuilder transaction(m_context->settings.tableLimits, m_random.uniqueId());
    transaction.addCondition(rows::coordinator(), m_chainVersion);
    transaction.addPut(rows::coordinator(), m_chainValue);
    if (!fillTransaction(&transaction, batch.get()) && !m_confirmTerm) {
        applyCommitted(*batch); // Run ends that change no durable state can be acknowledged without a write.
        return;
    }
    m_confirmTerm = false;
    fillModel(&transaction);
    m_inFlight = true;
    m_lastWriteAt = m_context->now();
    m_lastWriteSentAt = m_context->sinceBoot();
    const std::shared_ptr<Context> shared = m_context;
    m_resolver.commit(transaction.transaction(), commitTimeout, [this, shared, batch](const CommitResult &result) {
        if (!shared->ended) {
            onCommit(batch, result);
        }
    });
}

bool ProgressWriter::hasMore() const
{
    const std::array<RecordPart, recordPartCount> &parts = m_context->fleet.recordParts();
    return m_context->jobs.hasDirty() || !m_removals.empty() || m_removeWholeRecord
        || std::any_of(parts.begin(), parts.end(), [now = m_context->now()](const RecordPart &part) {
               return part.isDue(now);
           });
}

void ProgressWriter::onRejected(const Batch &batch)
{
    m_context->log->write(LogLine("progress_rejected")
                              .with("rows", static_cast<std::int64_t>(batch.rows))
                              .with("outcome", batch.rows > 1 ? "split" : "kept as it was"));
    if (batch.rows > 1) {
        m_maxRows = batch.rows / 2;
        requeue(batch);
    } else {
        m_unwritten.insert(batch.written.begin(), batch.written.end());
        applyCrashes(batch);
        for (const std::size_t index : batch.parts) {
            m_context->fleet.recordParts().at(index).written.clear(); // The store has an earlier value or none.
        }
        m_maxRows = m_context->settings.tableLimits.entries;
    }
}

void ProgressWriter::onCommit(const std::shared_ptr<Batch> &batch, const CommitResult &result)
{
    const ActivityMeter::Scope scope(&m_context->activities, Activity::Writes);
    m_inFlight = false;
    if (result.status == CommitStatus::Committed) {
        m_chainVersion = result.version;
        ++commits;
        m_context->serviceClock.record(result.serviceTime, m_lastWriteSentAt, m_context->sinceBoot());
        storeReachable(true);
        termConfirmed(m_lastWriteSentAt);
        if (batch->wholeRecordRemoved) {
            m_removeWholeRecord = false;
        }
        applyCommitted(*batch);
        if (hasMore()) {
            wake();
        }
        return;
    }
    if (result.status == CommitStatus::Unavailable || result.status == CommitStatus::Rejected) {
        storeReachable(result.status == CommitStatus::Rejected);
        if (result.status == CommitStatus::Rejected) {
            onRejected(*batch);
        } else {
            requeue(*batch);
        }
        const std::shared_ptr<Context> shared = m_context;
        m_context->loop->postAfter(m_context->settings.orderRetryDelay, [this, shared] {
            if (!shared->ended) {
                wake();
            }
        });
        return;
    }
    m_context->superseded();
}

void ProgressWriter::logEnd(const Job &job) const
{
    const TimePoint now = m_context->now();
    m_context->log->write(LogLine("job_end")
                              .with("job", job.id)
                              .with("queue", job.policy.name)
                              .with("outcome", job.phase == JobPhase::Complete ? "complete" : "failed")
                              .with("late", job.endedAt > job.objective ? 1 : 0)
                              .with("took_ms", std::chrono::duration_cast<Milliseconds>(now - job.acceptedAt)));
}

void ProgressWriter::applyCrashes(const Batch &batch)
{
    for (const auto &[id, counted] : batch.crashes) {
        Job *job = m_context->jobs.find(id);
        if (job != nullptr) {
            job->crashesDurable = std::max(job->crashesDurable, counted);
        }
    }
}

void ProgressWriter::applyCommitted(const Batch &batch)
{
    Context &context = *m_context;
    applyCrashes(batch);
    for (const JobId &id : batch.ended) {
        Job *job = context.jobs.find(id);
        if (job != nullptr && job->ended()) {
            if (!job->phaseDurable) {
                logEnd(*job);
            }
            job->phaseDurable = true;
            JobTable::releaseEndedJob(job);
        }
    }
    for (const JobId &id : batch.removed) {
        m_unwritten.erase(id);
        context.jobs.erase(id);
    }
    for (const auto &[id, number] : batch.ends) {
        Worker *worker = context.fleet.find(id);
        if (worker != nullptr && number <= worker->life.endsApplied) {
            FleetTable::setEndsDurable(worker, number);
        }
    }
    for (const auto &[id, state] : batch.recorded) {
        Worker *worker = context.fleet.find(id);
        if (worker != nullptr) {
            setRecorded(worker, state);
        }
    }
    if (committed) {
        committed();
    }
}

void ProgressWriter::requeue(const Batch &batch)
{
    for (const JobId &id : batch.written) {
        Job *job = m_context->jobs.find(id);
        if (job != nullptr) {
            m_context->jobs.markDirty(job);
        }
    }
    m_removals.insert(m_removals.end(), batch.removed.begin(), batch.removed.end());
    for (const std::size_t index : batch.parts) {
        RecordPart &part = m_context->fleet.recordParts().at(index);
        part.changed = true;
        part.written.clear(); // So it is written again whatever it holds.
    }
}

} // namespace fescueledge::workflow
