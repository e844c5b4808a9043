#pragma once

#include "fescueledge/types.h"

#include <string>

namespace fescueledge {

/// One row of the table service.
struct Row
{
    std::string key;
    std::string value; ///< JSON text.
    RowVersion version = 0; ///< Increases with each write of any row; never reused.
    std::string writeId; ///< The transaction that wrote this version.
};

} // namespace fescueledge
