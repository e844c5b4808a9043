#pragma once

#include "fescueledge/types.h"

#include <string>
#include <vector>

namespace fescueledge {

/// One row of the table of routes: maps requests to a pool.
struct Route
{
    std::string name;
    std::string host; ///< Host to match; empty matches any.
    std::string pathPrefix; ///< Path prefix to match, starting with `/`.
    std::vector<std::string> methods; ///< Methods to match; empty matches any.
    std::string pool; ///< Name of the pool that serves it.
    Milliseconds deadline{1000}; ///< Maximum time until the caller gets an answer.
    bool idempotent = false; ///< True if a failed request may be sent again.
    int maxAttempts = 1; ///< Maximum number of sends of one request; above 1 only if idempotent.
};

} // namespace fescueledge
