#include "fescueledge/testing/memorytable.h"

namespace fescueledge {

ReadResult MemoryTable::read(const std::vector<std::string> &keys) const
{
    ReadResult result;
    result.available = true;
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
    for (const Transaction::Condition &condition : transaction.conditions) {
        if (versionOf(condition.key) != condition.version) {
            return CommitResult{CommitStatus::Conflict, 0};
        }
    }
    const RowVersion version = ++m_lastVersion;
    for (const Transaction::Put &put : transaction.puts) {
        m_rows[put.key] = Row{put.key, put.value, version, transaction.writeId};
    }
    for (const std::string &key : transaction.removals) {
        m_rows.erase(key);
    }
    ++m_commits;
    m_rowsWritten += transaction.puts.size() + transaction.removals.size();
    return CommitResult{CommitStatus::Committed, version};
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
