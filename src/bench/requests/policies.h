#pragma once

#include "fescueledge/requestpolicy.h"
#include "fescueledge/testing/requestworld.h"

#include <functional>
#include <string>
#include <vector>

namespace fescueledge {

/// Last reported load of each endpoint, shared by all nodes.
using LoadReport = std::map<WorkerId, int>;

/// A request routing policy under test.
struct BenchPolicy
{
    std::string name;
    /// True if only the owner of a rack sends to it. Otherwise each node sends to all endpoints and counts only its own
    /// requests, and endpoints queue the requests that exceed their slots.
    bool hasOwners = false;
    std::function<RequestPolicy(const LoadReport *report)> make;
};

/// Returns the baselines, then variants of the product's policy, then the policy itself.
const std::vector<BenchPolicy> &benchPolicies();

} // namespace fescueledge
