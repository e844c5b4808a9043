#pragma once

#include "fescueledge/resources.h"

#include <string>

namespace fescueledge {

/// Resource limit of one team's running tasks, and its weight in fair sharing.
struct TeamQuota
{
    std::string team;
    Resources limit; ///< 0 in a dimension means no limit there.
    double weight = 1.0; ///< Weight in the fair order of the queue.
};

} // namespace fescueledge
