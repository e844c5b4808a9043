#include "progresswriter_pvt.h"

#include "fescueledge/tableservice.h"
#include "rows_pvt.h"
#include "workerrecord_pvt.h"

#include <algorithm>

namespace fescueledge::workflow {

namespace {

/// Limits on the rows of one transaction: together with the fixed ones they stay below the store's limit of 100
/// entries.
constexpr std::size_t maxJobsPerWrite = 60;
constexpr std::size_t maxRemovalsPerWrite = 30;
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
{
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

bool ProgressWriter::fillRecord(Transaction *transaction, Batch *batch)
{
    const std::string record = encodeWorkerRecord(m_context->fleet);
    if (record == m_recordWritten) {
        return false;
    }
    transaction->puts.push_back({rows::occupiedWorkers(), record});
    for (const auto &[id, worker] : m_context->fleet.all()) {
        batch->recorded[id] = namesRuns(*worker);
        // Blocks starts from the moment that the record may be written.
        worker->recordNamesRuns = worker->recordNamesRuns || namesRuns(*worker);
    }
    batch->hasRecord = true;
    m_recordWritten = record;
    return true;
}

void ProgressWriter::fillModel(Transaction *transaction)
{
    if (m_context->now() < m_modelAt + modelInterval) {
        return;
    }
    m_modelAt = m_context->now();
    const std::string model = m_context->interference.encode();
    if (model != m_modelWritten) {
        transaction->puts.push_back({rows::interference(), model});
        m_modelWritten = model;
    }
}

bool ProgressWriter::fillTransaction(Transaction *transaction, Batch *batch)
{
    Context &context = *m_context;
    bool any = fillRecord(transaction, batch);
    for (Job *job : context.jobs.takeDirty(maxJobsPerWrite)) {
        transaction->puts.push_back({rows::progress(job->id), JobTable::encodeProgress(*job)});
        batch->written.push_back(job->id);
        if (job->ended()) {
            batch->ended.push_back(job->id);
        }
        any = true;
    }
    if (!context.jobs.hasDirty()) {
        for (const auto &[id, worker] : context.fleet.all()) {
            if (worker->endsApplied > worker->endsDurable) {
                batch->ends[id] = worker->endsApplied;
            }
        }
    }
    while (!m_removals.empty() && batch->removed.size() < maxRemovalsPerWrite) {
        const JobId id = m_removals.back();
        m_removals.pop_back();
        transaction->removals.push_back(rows::progress(id));
        batch->removed.push_back(id);
        any = true;
    }
    return any;
}

void ProgressWriter::flush()
{
    const std::shared_ptr<Batch> batch = std::make_shared<Batch>();
    Transaction transaction;
    transaction.writeId = m_random.uniqueId();
    transaction.conditions.push_back({rows::coordinator(), m_chainVersion});
    transaction.puts.push_back({rows::coordinator(), m_chainValue});
    if (!fillTransaction(&transaction, batch.get())) {
        applyCommitted(*batch); // Run ends that change no durable state can be acknowledged without a write.
        return;
    }
    fillModel(&transaction);
    m_inFlight = true;
    m_lastWriteAt = m_context->now();
    m_lastWriteSentAt = m_context->sinceBoot();
    const std::shared_ptr<Context> shared = m_context;
    m_resolver.commit(transaction, commitTimeout, [this, shared, batch](const CommitResult &result) {
        if (!shared->ended) {
            onCommit(batch, result);
        }
    });
}

void ProgressWriter::onCommit(const std::shared_ptr<Batch> &batch, const CommitResult &result)
{
    m_inFlight = false;
    if (result.status == CommitStatus::Committed) {
        m_chainVersion = result.version;
        ++commits;
        storeReachable(true);
        termConfirmed(m_lastWriteSentAt);
        applyCommitted(*batch);
        if (m_context->jobs.hasDirty() || !m_removals.empty()) {
            wake();
        }
        return;
    }
    if (result.status == CommitStatus::Unavailable) {
        storeReachable(false);
        requeue(*batch);
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

void ProgressWriter::applyCommitted(const Batch &batch)
{
    Context &context = *m_context;
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
        context.jobs.erase(id);
    }
    for (const auto &[id, number] : batch.ends) {
        Worker *worker = context.fleet.find(id);
        if (worker != nullptr && number <= worker->endsApplied) {
            worker->endsDurable = std::max(worker->endsDurable, number);
        }
    }
    for (const auto &[id, runsNamed] : batch.recorded) {
        Worker *worker = context.fleet.find(id);
        if (worker != nullptr) {
            worker->recorded = true;
            worker->recordNamesRuns = runsNamed;
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
    if (batch.hasRecord) {
        m_recordWritten.clear();
    }
}

} // namespace fescueledge::workflow
