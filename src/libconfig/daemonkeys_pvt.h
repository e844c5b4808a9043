#pragma once

#include "keybinding_pvt.h"

#include "fescueledge/daemonsettings.h"

#include <vector>

namespace fescueledge {

/// Key bindings of each section of the daemon's settings.
const std::vector<KeyBinding<NodeSettings>> &nodeKeys();
const std::vector<KeyBinding<ListenSettings>> &listenKeys();
const std::vector<KeyBinding<PlatformSettings>> &platformKeys();
const std::vector<KeyBinding<OperatorSettings>> &operatorKeys();
const std::vector<KeyBinding<LeaseSettings>> &leaseKeys();
const std::vector<KeyBinding<LimitSettings>> &limitKeys();
const std::vector<KeyBinding<LogSettings>> &logKeys();
const std::vector<KeyBinding<WorkflowSettings>> &workflowKeys();

} // namespace fescueledge
