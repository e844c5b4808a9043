#pragma once

#include "fescueledge/tableservice.h"

#include <memory>

namespace fescueledge {

class Loop;

/// Commits transactions and resolves those whose answer was lost.
///
/// When the answer to a transaction was lost, its write id is looked up in its witness row, the first row it puts. The
/// same conditional transaction is sent again only if the witness row does not have that write id. Every transaction
/// has a condition on its witness row, so it takes effect at most once. A commit continues after its resolver is
/// destroyed; the loop and the table service must outlive the commit.
class CommitResolver
{
public:
    CommitResolver(Loop *loop, TableService *table);

    /// Commits @p transaction. The row of its first put must also be one of its conditions. The handler gets Committed
    /// or Conflict when the result is certain, Unavailable when the store rejected the transaction before doing
    /// anything, and Unknown when the result could not be determined within @p resultTimeout.
    void commit(const Transaction &transaction, Duration resultTimeout, TableService::CommitHandler handler);

private:
    struct Pending;
    // Static, with all state in the pending commit, because it may outlive the resolver.
    static void attempt(const std::shared_ptr<Pending> &pending);
    static void onCommit(const std::shared_ptr<Pending> &pending, const CommitResult &result);
    static void lookUp(const std::shared_ptr<Pending> &pending, CommitStatus otherwise);
    static void onWitness(const std::shared_ptr<Pending> &pending, CommitStatus otherwise, const ReadResult &result);
    static void retryLater(const std::shared_ptr<Pending> &pending, CommitStatus otherwise);

    Loop *m_loop;
    TableService *m_table;
};

} // namespace fescueledge
