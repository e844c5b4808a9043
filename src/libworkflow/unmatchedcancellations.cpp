#include "unmatchedcancellations_pvt.h"

#include "fescueledge/tableservice.h"
#include "rows_pvt.h"

#include <algorithm>

namespace fescueledge::workflow {

namespace {

/// Rows in one transaction, each of which also needs a condition.
constexpr std::size_t maxRowsPerRemoval = 40;

const char *removalName(CommitStatus status)
{
    switch (status) {
    case CommitStatus::Committed:
        return "removed";
    case CommitStatus::Conflict:
        return "changed";
    default:
        return "failed";
    }
}

} // namespace

UnmatchedCancellations::UnmatchedCancellations(std::shared_ptr<Context> context, TableService *table,
                                               std::uint64_t seed)
    : m_context(std::move(context))
    , m_table(table)
    , m_random(seed)
    , m_maxRows(maxRowsPerRemoval)
{
}

void UnmatchedCancellations::add(const JobId &job, RowVersion version)
{
    Entry &entry = m_entries[job];
    if (entry.since == TimePoint{}) {
        entry.since = m_context->now();
    }
    entry.version = std::max(entry.version, version);
}

bool UnmatchedCancellations::take(const JobId &job)
{
    return m_entries.erase(job) > 0;
}

std::map<JobId, RowVersion> UnmatchedCancellations::expiredBatch()
{
    const TimePoint now = m_context->now();
    std::map<JobId, RowVersion> batch;
    for (auto it = m_entries.begin(); it != m_entries.end();) {
        const auto &[job, entry] = *it;
        const bool isExpired = now > entry.since + m_context->settings.statusRetention;
        if (isExpired && entry.version == 0) {
            it = m_entries.erase(it); // The watch would have shown its row by now.
            continue;
        }
        const bool sharesPartition = batch.empty() || rows::isSamePartition(batch.begin()->first, job);
        if (isExpired && sharesPartition && batch.size() < m_maxRows) {
            batch.emplace(job, entry.version);
        }
        ++it;
    }
    return batch;
}

void UnmatchedCancellations::removeExpired()
{
    if (m_removing) {
        return;
    }
    const std::map<JobId, RowVersion> batch = expiredBatch();
    if (batch.empty()) {
        m_maxRows = maxRowsPerRemoval;
        return;
    }
    Transaction transaction;
    transaction.writeId = m_random.uniqueId();
    for (const auto &[job, version] : batch) {
        transaction.conditions.push_back({rows::cancellation(job), version});
        transaction.removals.push_back(rows::cancellation(job));
    }
    m_removing = true;
    const std::shared_ptr<Context> shared = m_context;
    m_table->commit(transaction, [this, shared, batch](const CommitResult &result) {
        if (!shared->ended) {
            onRemoved(batch, result);
        }
    });
}

void UnmatchedCancellations::onRemoved(const std::map<JobId, RowVersion> &batch, const CommitResult &result)
{
    m_removing = false;
    m_context->log->write(LogLine("cancellations_removed")
                              .with("rows", static_cast<std::int64_t>(batch.size()))
                              .with("left", static_cast<std::int64_t>(m_entries.size()))
                              .with("outcome", removalName(result.status)));
    const bool isConflict = result.status == CommitStatus::Conflict;
    if (isConflict && batch.size() > 1) {
        m_maxRows = 1; // One of them has been removed before, by an attempt whose answer was lost.
        return;
    }
    if (result.status != CommitStatus::Committed && !isConflict) {
        return; // Tried again at the next cleanup.
    }
    for (const auto &[job, version] : batch) {
        const auto it = m_entries.find(job);
        if (it != m_entries.end() && it->second.version == version) {
            m_entries.erase(it);
        }
    }
}

} // namespace fescueledge::workflow
