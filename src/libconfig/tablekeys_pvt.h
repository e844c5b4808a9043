#pragma once

#include "keybinding_pvt.h"

#include "fescueledge/pool.h"
#include "fescueledge/route.h"
#include "fescueledge/teamquota.h"

#include <vector>

namespace fescueledge {

/// Key bindings of each kind of section in the tables.
const std::vector<KeyBinding<Route>> &routeKeys();
const std::vector<KeyBinding<Pool>> &poolKeys();
const std::vector<KeyBinding<TeamQuota>> &teamKeys();

} // namespace fescueledge
