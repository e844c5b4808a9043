#pragma once

#include "fescueledge/types.h"

#include <string>
#include <vector>

namespace fescueledge {

/// One row of the table of routes: which requests go to which pool.
struct Route
{
    std::string name;
    std::string host; ///< Host to match; empty matches any.
    std::string pathPrefix; ///< Path prefix to match, starting with `/`.
    std::vector<std::string> methods; ///< Methods to match; empty matches any.
    std::string pool; ///< Name of the pool behind it.
    Milliseconds deadline{1000}; ///< Time within which the caller gets an answer.
    bool idempotent = false; ///< True if a request may be sent again after a failure.
    int maxAttempts = 1; ///< Sends of one request at most; above 1 only if idempotent.
};

} // namespace fescueledge
