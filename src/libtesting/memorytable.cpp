#include "fescueledge/testing/memorytable.h"

#include <algorithm>

namespace fescueledge {

ReadResult MemoryTable::read(const std::vector<std::string> &keys) const
{
    ReadResult result;
    result.available = true;
    result.asOf = m_lastVersion;
    for (const std::string &key : keys) {
        const auto it = m_rows.find(key);
        if (it != m_rows.end()) {
            result.rows.push_back(it->second);
        }
    }
    return result;
}

ReadResult MemoryTable::scan(const std::string &prefix) const
{
    ReadResult result;
    result.available = true;
    result.asOf = m_lastVersion;
    for (auto it = m_rows.lower_bound(prefix); it != m_rows.end(); ++it) {
        if (it->first.compare(0, prefix.size(), prefix) != 0) {
            break;
        }
        result.rows.push_back(it->second);
    }
    return result;
}

CommitResult MemoryTable::commit(const Transaction &transaction)
{
    if (limits && !exceededLimit(transaction, *limits).empty()) {
        ++rejected;
        return CommitResult{CommitStatus::Rejected, 0};
    }
    for (const Transaction::Condition &condition : transaction.conditions) {
        if (versionOf(condition.key) != condition.version) {
            return CommitResult{CommitStatus::Conflict, 0};
        }
    }
    const RowVersion version = ++m_lastVersion;
    for (const Transaction::Put &put : transaction.puts) {
        m_rows[put.key] = Row{put.key, put.value, version, transaction.writeId};
        m_removed.erase(put.key);
    }
    for (const std::string &key : transaction.removals) {
        if (m_rows.erase(key) > 0) {
            m_removed[key] = version;
        }
    }
    ++m_commits;
    m_rowsWritten += transaction.puts.size() + transaction.removals.size();
    return CommitResult{CommitStatus::Committed, version};
}

WatchResult MemoryTable::changes(const std::string &collection, RowVersion since) const
{
    WatchResult result;
    result.available = true;
    result.historyLost = since < m_historyFrom;
    if (result.historyLost) {
        return result;
    }
    result.asOf = m_lastVersion;
    const std::string prefix = collection + "/";
    for (const auto &[key, row] : m_rows) {
        if (row.version > since && key.compare(0, prefix.size(), prefix) == 0) {
            result.changes.push_back(WatchResult::Change{row, false});
        }
    }
    for (const auto &[key, version] : m_removed) {
        if (version > since && key.compare(0, prefix.size(), prefix) == 0) {
            Row row;
            row.key = key;
            row.version = version;
            result.changes.push_back(WatchResult::Change{row, true});
        }
    }
    std::sort(result.changes.begin(), result.changes.end(), [](const auto &a, const auto &b) {
        return a.row.version < b.row.version;
    });
    return result;
}

void MemoryTable::forgetHistory()
{
    m_historyFrom = m_lastVersion;
}

std::uint64_t MemoryTable::commits() const
{
    return m_commits;
}

std::uint64_t MemoryTable::rowsWritten() const
{
    return m_rowsWritten;
}

RowVersion MemoryTable::versionOf(const std::string &key) const
{
    const auto it = m_rows.find(key);
    return it == m_rows.end() ? 0 : it->second.version;
}

} // namespace fescueledge
