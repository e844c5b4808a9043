#pragma once

#include "fescueledge/tablelimits.h"

namespace fescueledge {

/// Collects rows for a transaction while they stay within the limits of the table service.
class TransactionBuilder
{
public:
    /// The result of adding a row.
    enum class Added {
        Yes,
        TransactionFull, ///< It fits into a transaction of its own.
        RowTooLong, ///< It fits into no transaction.
    };

    TransactionBuilder(const TableLimits &limits, std::string writeId);

    Added addCondition(const std::string &key, RowVersion version);
    Added addPut(const std::string &key, std::string value);
    Added addRemoval(const std::string &key);
    /// Number of entries that can still be added.
    std::size_t entriesLeft() const;

    const Transaction &transaction() const
    {
        return m_transaction;
    }

private:
    Added reserve(std::size_t bytes);

    TableLimits m_limits;
    Transaction m_transaction;
    std::size_t m_entries = 0;
    std::size_t m_bytes;
};

} // namespace fescueledge
