#pragma once

#include "fescueledge/types.h"

namespace fescueledge {

/// The result of a transaction.
enum class CommitStatus {
    Committed, ///< All rows were written.
    Conflict, ///< A condition did not hold; nothing was written.
    Unavailable, ///< The store rejected it before doing anything; nothing was written.
    Rejected, ///< It exceeds a limit of the store or is malformed; nothing was written, and a retry can't succeed.
    Unknown, ///< No answer arrived; the write may have taken effect or may do so later.
};

/// The answer to a commit.
struct CommitResult
{
    CommitStatus status = CommitStatus::Unknown;
    RowVersion version = 0; ///< The version of every row written, when committed.
    Milliseconds serviceTime{0}; ///< The service's steady clock when it answered; zero if unknown.
};

} // namespace fescueledge
