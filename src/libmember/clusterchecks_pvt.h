#pragma once

#include "clusterfixture_pvt.h"

#include <catch2/catch.hpp>

namespace fescueledge {

/// Fails the running test with the first violation that the observer of @p cluster recorded, if any.
inline void checkNoViolations(const ClusterFixture &cluster)
{
    for (const std::string &violation : cluster.violations) {
        FAIL_CHECK(violation);
        return;
    }
}

} // namespace fescueledge
