#pragma once

#include "fescueledge/types.h"

namespace fescueledge {

/// What became of a transaction.
enum class CommitStatus {
    Committed, ///< All rows were written.
    Conflict, ///< A condition did not hold; nothing was written.
    Unavailable, ///< The store refused before it did anything; nothing was written.
    Unknown, ///< No answer came; the write may have taken effect or may do so later.
};

/// The answer to a commit.
struct CommitResult
{
    CommitStatus status = CommitStatus::Unknown;
    RowVersion version = 0; ///< The version of every row written, when committed.
};

} // namespace fescueledge
