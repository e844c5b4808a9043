#pragma once

#include "fescueledge/commitresult.h"
#include "fescueledge/readresult.h"
#include "fescueledge/transaction.h"

#include <functional>
#include <string>
#include <vector>

namespace fescueledge {

/// The platform's transactional table service: linearizable rows with versions.
///
/// Calls return immediately; the handler runs later on the caller's loop, exactly once, even when the service is down.
class TableService
{
public:
    using ReadHandler = std::function<void(const ReadResult &)>;
    using CommitHandler = std::function<void(const CommitResult &)>;

    virtual ~TableService() = default;

    /// Reads the rows named @p keys in one snapshot.
    virtual void read(const std::vector<std::string> &keys, ReadHandler handler) = 0;
    /// Reads all rows whose key starts with @p prefix in one snapshot.
    virtual void scan(const std::string &prefix, ReadHandler handler) = 0;
    /// Applies @p transaction atomically if all its conditions hold.
    virtual void commit(const Transaction &transaction, CommitHandler handler) = 0;
};

} // namespace fescueledge
