#pragma once

#include "fescueledge/commitresult.h"
#include "fescueledge/readresult.h"
#include "fescueledge/transaction.h"
#include "fescueledge/watchabletable.h"

#include <map>
#include <string>
#include <vector>

namespace fescueledge {

/// The rows of a stand-in table service: linearizable, in memory, without faults. Not thread-safe.
class MemoryTable
{
public:
    ReadResult read(const std::vector<std::string> &keys) const;
    ReadResult scan(const std::string &prefix) const;
    CommitResult commit(const Transaction &transaction);
    /// Rows of @p collection that changed after version @p since.
    WatchResult changes(const std::string &collection, RowVersion since) const;
    /// Drops the history: changes after an earlier version can no longer be told.
    void forgetHistory();

    /// Transactions that were applied.
    std::uint64_t commits() const;
    /// Rows written.
    std::uint64_t rowsWritten() const;

private:
    RowVersion versionOf(const std::string &key) const;

    std::map<std::string, Row> m_rows;
    std::map<std::string, RowVersion> m_removed; ///< Rows that are gone, and the version that removed them.
    RowVersion m_historyFrom = 0;
    RowVersion m_lastVersion = 0;
    std::uint64_t m_commits = 0;
    std::uint64_t m_rowsWritten = 0;
};

} // namespace fescueledge
