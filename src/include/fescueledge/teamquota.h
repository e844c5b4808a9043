#pragma once

#include "fescueledge/resources.h"

#include <string>

namespace fescueledge {

/// What the running tasks of one team may use at most, and its share when all compete.
struct TeamQuota
{
    std::string team;
    Resources limit; ///< 0 in a dimension means no limit there.
    double weight = 1.0; ///< Share of the fair order.
};

} // namespace fescueledge
