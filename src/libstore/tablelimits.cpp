#include "fescueledge/tablelimits.h"

namespace fescueledge {

namespace {

/// Field names, versions and separators of one encoded row.
constexpr std::size_t rowOverhead = 96;

std::size_t base64Bytes(std::size_t n)
{
    return (n + 2) / 3 * 4;
}

} // namespace

std::size_t storedBytes(const Transaction::Put &put, const std::string &writeId)
{
    return (writeId.empty() ? 0 : writeId.size() + 1) + put.value.size();
}

std::size_t encodedBytes(const Transaction::Put &put, const std::string &writeId)
{
    return encodedBytes(put.key) + base64Bytes(storedBytes(put, writeId));
}

std::size_t encodedBytes(const std::string &key)
{
    return key.size() + rowOverhead;
}

std::string exceededLimit(const Transaction &transaction, const TableLimits &limits)
{
    const std::size_t entries = transaction.conditions.size() + transaction.puts.size() + transaction.removals.size();
    if (entries > limits.entries) {
        return std::to_string(entries) + " entries";
    }
    std::size_t bytes = encodedTransactionOverhead;
    for (const Transaction::Condition &condition : transaction.conditions) {
        bytes += encodedBytes(condition.key);
    }
    for (const Transaction::Put &put : transaction.puts) {
        const std::size_t stored = storedBytes(put, transaction.writeId);
        if (stored > limits.rowBytes) {
            return "row " + put.key + " of " + std::to_string(stored) + " bytes";
        }
        bytes += encodedBytes(put, transaction.writeId);
    }
    for (const std::string &key : transaction.removals) {
        bytes += encodedBytes(key);
    }
    return bytes > limits.transactionBytes ? std::to_string(bytes) + " bytes" : std::string();
}

} // namespace fescueledge
