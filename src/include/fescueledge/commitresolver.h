#pragma once

#include "fescueledge/tableservice.h"

#include <memory>

namespace fescueledge {

class Loop;

/// Commits transactions and finds out the fate of those whose answer was lost.
///
/// A transaction whose answer was lost is looked up by its write id in its witness row, the first row it puts.
/// Only when the witness does not show it is the same conditional transaction sent again: as every transaction has
/// a condition on its witness, it can take effect once at most. A commit goes on after its resolver is gone; the loop
/// and the table service must outlive it.
class CommitResolver
{
public:
    CommitResolver(Loop *loop, TableService *table);

    /// Commits @p transaction. Its first put must also stand among its conditions. The handler gets Committed or
    /// Conflict when that is certain; Unavailable when the store refused it before it did anything; Unknown when the
    /// fate could not be found out within @p patience.
    void commit(const Transaction &transaction, Duration patience, TableService::CommitHandler handler);

private:
    struct Pending;
    // These hold what they need in the pending commit, which may outlive the resolver.
    static void attempt(const std::shared_ptr<Pending> &pending);
    static void onCommit(const std::shared_ptr<Pending> &pending, const CommitResult &result);
    static void lookUp(const std::shared_ptr<Pending> &pending, CommitStatus otherwise);
    static void onWitness(const std::shared_ptr<Pending> &pending, CommitStatus otherwise, const ReadResult &result);
    static void retryLater(const std::shared_ptr<Pending> &pending, CommitStatus otherwise);

    Loop *m_loop;
    TableService *m_table;
};

} // namespace fescueledge
