#include "fescueledge/transactionbuilder.h"

#include <utility>

namespace fescueledge {

TransactionBuilder::TransactionBuilder(const TableLimits &limits, std::string writeId)
    : m_limits(limits)
    , m_bytes(encodedTransactionOverhead)
{
    m_transaction.writeId = std::move(writeId);
}

TransactionBuilder::Added TransactionBuilder::reserve(std::size_t bytes)
{
    if (m_entries >= m_limits.entries || m_bytes + bytes > m_limits.transactionBytes) {
        return Added::TransactionFull;
    }
    ++m_entries;
    m_bytes += bytes;
    return Added::Yes;
}

TransactionBuilder::Added TransactionBuilder::addCondition(const std::string &key, RowVersion version)
{
    const Added added = reserve(encodedBytes(key));
    if (added == Added::Yes) {
        m_transaction.conditions.push_back({key, version});
    }
    return added;
}

TransactionBuilder::Added TransactionBuilder::addPut(const std::string &key, std::string value)
{
    Transaction::Put put{key, std::move(value)};
    if (storedBytes(put, m_transaction.writeId) > m_limits.rowBytes) {
        return Added::RowTooLong;
    }
    const Added added = reserve(encodedBytes(put, m_transaction.writeId));
    if (added == Added::Yes) {
        m_transaction.puts.push_back(std::move(put));
    }
    return added;
}

TransactionBuilder::Added TransactionBuilder::addRemoval(const std::string &key)
{
    const Added added = reserve(encodedBytes(key));
    if (added == Added::Yes) {
        m_transaction.removals.push_back(key);
    }
    return added;
}

std::size_t TransactionBuilder::entriesLeft() const
{
    return m_limits.entries - m_entries;
}

} // namespace fescueledge
