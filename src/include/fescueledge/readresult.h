#pragma once

#include "fescueledge/row.h"

#include <vector>

namespace fescueledge {

/// The answer to a read of the table service.
struct ReadResult
{
    bool available = false; ///< False when the store did not answer; then rows is empty.
    std::vector<Row> rows; ///< Rows found, ordered by key. Missing rows are left out.
    RowVersion asOf = 0; ///< Newest version in the service when it answered; 0 if unknown.
    Milliseconds serviceTime{0}; ///< The service's steady clock when it answered; zero if unknown.

    /// The row named @p key, or nullptr.
    const Row *find(const std::string &key) const
    {
        for (const Row &row : rows) {
            if (row.key == key) {
                return &row;
            }
        }
        return nullptr;
    }
};

} // namespace fescueledge
