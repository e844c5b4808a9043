#pragma once

#include "fescueledge/requestpolicy.h"
#include "fescueledge/testing/requestworld.h"

#include <functional>
#include <string>
#include <vector>

namespace fescueledge {

/// Load of each endpoint by its last report, the same for all nodes.
using LoadReport = std::map<WorkerId, int>;

/// One way to route requests.
struct BenchPolicy
{
    std::string name;
    /// True if only the owner of a rack sends to it. Otherwise each node sends to all endpoints by itself, counts only
    /// its own requests, and endpoints queue what is over their slots.
    bool hasOwners = false;
    std::function<RequestPolicy(const LoadReport *report)> make;
};

/// The baselines first, then the product's own policy and parts of it.
const std::vector<BenchPolicy> &benchPolicies();

} // namespace fescueledge
