#pragma once

#include "fescueledge/types.h"

#include <string>
#include <vector>

namespace fescueledge {

/// An atomic conditional write of several rows.
struct Transaction
{
    /// A row and the version it must have at commit; version 0 means that it must not exist.
    struct Condition
    {
        std::string key;
        RowVersion version = 0;
    };
    /// A row to write.
    struct Put
    {
        std::string key;
        std::string value;
    };

    std::string writeId; ///< Never reused; stored in each written row, to look up the result after a lost answer.
    std::vector<Condition> conditions; ///< All must hold, or nothing is written.
    std::vector<Put> puts;
    std::vector<std::string> removals;
};

} // namespace fescueledge
