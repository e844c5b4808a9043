#pragma once

#include "fescueledge/tableservice.h"

namespace fescueledge {

/// Rows that changed after a version.
struct WatchResult
{
    /// One row as it is after the change.
    struct Change
    {
        Row row; ///< Without a value if the row was removed.
        bool removed = false;
    };

    bool available = false; ///< False when the service did not answer; then there are no changes.
    bool historyLost = false; ///< The changes since that version are no longer known: scan again.
    std::vector<Change> changes; ///< In the order of their versions.
    RowVersion asOf = 0; ///< Where the next watch goes on.
};

/// A table service that also tells of changes.
///
/// The part of a key before its first `/` names a collection; a watch covers one collection. The part between the first
/// and the second `/`, if there is one, names a partition: the keys of a transaction share one, and a partition takes
/// one transaction after the other. A scan of several partitions is no snapshot, but `asOf` is the oldest of them, and
/// the rows without a partition are as new as any other: what stands there tells of all that is read beside it.
class WatchableTable : public TableService
{
public:
    using WatchHandler = std::function<void(const WatchResult &)>;

    /// Waits up to @p wait for a row of @p collection to change after version @p since.
    virtual void watch(const std::string &collection, RowVersion since, Milliseconds wait, WatchHandler handler) = 0;
};

} // namespace fescueledge
