#pragma once

#include "context_pvt.h"
#include "fescueledge/random.h"

#include <map>
#include <string>

namespace fescueledge {
struct CommitResult;
class TableService;
} // namespace fescueledge

namespace fescueledge::workflow {

/// Cancellations of jobs that are not in the tables: their jobs are still on their way, or never come because the rows
/// of the cancellations keep them from being stored.
///
/// Such a row is removed once it is older than any submission that may still be under way, which is bounded by
/// CoordinatorSettings::statusRetention, as for the rows of a job that has ended. A new term counts anew.
class UnmatchedCancellations
{
public:
    UnmatchedCancellations(std::shared_ptr<Context> context, TableService *table, std::uint64_t seed);

    /// Adds the cancellation of @p job; @p version is that of its row, 0 if only the notice of it has come.
    void add(const JobId &job, RowVersion version);
    /// Removes the cancellation of @p job, which is in the tables now; false if there is none.
    bool take(const JobId &job);
    /// Removes the rows that are no longer needed, a limited number at a time.
    void removeExpired();

private:
    struct Entry
    {
        RowVersion version = 0;
        TimePoint since{};
    };

    /// Expired entries of one partition of the store, by job.
    std::map<JobId, RowVersion> expiredBatch();
    void onRemoved(const std::map<JobId, RowVersion> &batch, const CommitResult &result);

    std::shared_ptr<Context> m_context;
    TableService *m_table;
    Random m_random;
    std::map<JobId, Entry> m_entries;
    std::size_t m_maxRows; ///< Of one removal.
    bool m_removing = false; ///< A removal has not been answered yet.
};

} // namespace fescueledge::workflow
