#pragma once

#include "fescueledge/commitresult.h"
#include "fescueledge/readresult.h"
#include "fescueledge/tablelimits.h"
#include "fescueledge/transaction.h"
#include "fescueledge/watchabletable.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace fescueledge {

/// An in-memory table service for tests: linearizable, without faults. Not thread-safe.
class MemoryTable
{
public:
    ReadResult read(const std::vector<std::string> &keys) const;
    ReadResult scan(const std::string &prefix) const;
    CommitResult commit(const Transaction &transaction);
    /// Rows of @p collection that changed after version @p since.
    WatchResult changes(const std::string &collection, RowVersion since) const;
    /// Drops the history of changes: changes() reports it as lost for earlier versions.
    void forgetHistory();

    /// Number of committed transactions.
    std::uint64_t commits() const;
    /// Number of rows written.
    std::uint64_t rowsWritten() const;

    /// Limits on transactions; larger ones are rejected. None by default.
    std::optional<TableLimits> limits;
    std::uint64_t rejected = 0; ///< Number of rejected transactions.

private:
    RowVersion versionOf(const std::string &key) const;

    std::map<std::string, Row> m_rows;
    std::map<std::string, RowVersion> m_removed; ///< Removed rows, with the version of their removal.
    RowVersion m_historyFrom = 0;
    RowVersion m_lastVersion = 0;
    std::uint64_t m_commits = 0;
    std::uint64_t m_rowsWritten = 0;
};

} // namespace fescueledge
