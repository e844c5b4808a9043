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
    bool historyLost = false; ///< The history since that version was dropped; a new scan is needed.
    std::vector<Change> changes; ///< Ordered by version.
    RowVersion asOf = 0; ///< Version from which the next watch continues.
    bool truncated = false; ///< More changes had happened than fit into the answer.
};

/// A table service that can be watched for changes.
///
/// The part of a key before its first `/` names a collection; a watch covers one collection. The part between the first
/// and the second `/`, if there is one, names a partition: all keys of a transaction are in one partition, and a
/// partition runs one transaction after the other. A scan of several partitions is not a snapshot; `asOf` is the
/// version of the oldest one. The rows without a partition are never older than the other rows of the scan, so what
/// they say about those rows holds.
class WatchableTable : public TableService
{
public:
    using WatchHandler = std::function<void(const WatchResult &)>;

    /// Waits up to @p wait for a row of @p collection to change after version @p since.
    virtual void watch(const std::string &collection, RowVersion since, Milliseconds wait, WatchHandler handler) = 0;
};

} // namespace fescueledge
