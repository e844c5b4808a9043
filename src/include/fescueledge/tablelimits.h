#pragma once

#include "fescueledge/transaction.h"

#include <cstddef>
#include <string>

namespace fescueledge {

/// What a table service accepts in one transaction; it rejects anything larger.
struct TableLimits
{
    std::size_t rowBytes = 65536; ///< Bytes of one value, including its write id.
    std::size_t entries = 100; ///< Conditions, puts and removals of a transaction together.
    std::size_t transactionBytes = 1000000; ///< Bytes of an encoded transaction.
};

/// Upper bound of the bytes that an encoded transaction has besides its rows.
constexpr std::size_t encodedTransactionOverhead = 128;

/// Bytes of the value of @p put as it is stored by a transaction with write id @p writeId, which may be empty.
std::size_t storedBytes(const Transaction::Put &put, const std::string &writeId);

/// Upper bound of the bytes of @p put, encoded with its key in base64 and text.
std::size_t encodedBytes(const Transaction::Put &put, const std::string &writeId);
/// The same for a row that is named in a condition or removed.
std::size_t encodedBytes(const std::string &key);

/// Why @p transaction exceeds @p limits; empty if it does not.
std::string exceededLimit(const Transaction &transaction, const TableLimits &limits);

} // namespace fescueledge
