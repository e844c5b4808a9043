#include "fescueledge/commitresolver.h"

#include "fescueledge/loop.h"

#include <stdexcept>
#include <utility>

namespace fescueledge {

namespace {

constexpr Milliseconds retryDelay{200};

bool hasConditionOnWitness(const Transaction &transaction)
{
    if (transaction.puts.empty()) {
        return false;
    }
    for (const Transaction::Condition &condition : transaction.conditions) {
        if (condition.key == transaction.puts.front().key) {
            return true;
        }
    }
    return false;
}

} // namespace

struct CommitResolver::Pending
{
    Loop *loop = nullptr;
    TableService *table = nullptr;
    Transaction transaction;
    TimePoint deadline;
    TableService::CommitHandler handler;
    bool mayHaveCommitted = false;

    const std::string &witness() const
    {
        return transaction.puts.front().key;
    }
};

CommitResolver::CommitResolver(Loop *loop, TableService *table)
    : m_loop(loop)
    , m_table(table)
{
}

void CommitResolver::commit(const Transaction &transaction, Duration resultTimeout, TableService::CommitHandler handler)
{
    if (!hasConditionOnWitness(transaction)) {
        throw std::invalid_argument("a transaction must have a condition on the key of its first put");
    }
    auto pending = std::make_shared<Pending>();
    pending->loop = m_loop;
    pending->table = m_table;
    pending->transaction = transaction;
    pending->deadline = m_loop->now() + resultTimeout;
    pending->handler = std::move(handler);
    attempt(pending);
}

void CommitResolver::attempt(const std::shared_ptr<Pending> &pending)
{
    pending->table->commit(pending->transaction, [pending](const CommitResult &result) {
        onCommit(pending, result);
    });
}

void CommitResolver::onCommit(const std::shared_ptr<Pending> &pending, const CommitResult &result)
{
    if (result.status == CommitStatus::Committed) {
        pending->handler(result);
        return;
    }
    if (result.status == CommitStatus::Unknown) {
        pending->mayHaveCommitted = true;
    }
    if (!pending->mayHaveCommitted) {
        pending->handler(result);
        return;
    }
    lookUp(pending, result.status);
}

void CommitResolver::lookUp(const std::shared_ptr<Pending> &pending, CommitStatus otherwise)
{
    pending->table->read({pending->witness()}, [pending, otherwise](const ReadResult &result) {
        onWitness(pending, otherwise, result);
    });
}

void CommitResolver::onWitness(const std::shared_ptr<Pending> &pending, CommitStatus otherwise,
                               const ReadResult &result)
{
    if (!result.available) {
        retryLater(pending, otherwise);
        return;
    }
    const Row *row = result.find(pending->witness());
    if (row != nullptr && row->writeId == pending->transaction.writeId) {
        pending->handler(CommitResult{CommitStatus::Committed, row->version});
        return;
    }
    if (otherwise == CommitStatus::Conflict || otherwise == CommitStatus::Rejected) {
        // The conditions failed, or the transaction is not acceptable, and the witness row is not from it: neither this
        // nor an earlier attempt took effect.
        pending->handler(CommitResult{otherwise, 0});
        return;
    }
    if (pending->loop->now() >= pending->deadline) {
        pending->handler(CommitResult{CommitStatus::Unknown, 0});
        return;
    }
    attempt(pending);
}

void CommitResolver::retryLater(const std::shared_ptr<Pending> &pending, CommitStatus otherwise)
{
    if (pending->loop->now() >= pending->deadline) {
        pending->handler(CommitResult{CommitStatus::Unknown, 0});
        return;
    }
    pending->loop->postAfter(retryDelay, [pending, otherwise] {
        lookUp(pending, otherwise);
    });
}

} // namespace fescueledge
