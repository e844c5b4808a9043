#pragma once

#include "fescueledge/resources.h"

#include <string>
#include <vector>

namespace fescueledge::account {

/// A client account, as the operators configure it.
struct AccountPolicy
{
    std::string name;
    std::vector<std::string> keys; ///< Keys that authorise requests for this account; never to be logged or stored.
    double weight = 1; ///< Share of the account, relative to those of the others, when there is no room for all work.
    Resources limit; ///< What its tasks may reserve on all workers together; 0 in a dimension means no limit there.
};

} // namespace fescueledge::account
