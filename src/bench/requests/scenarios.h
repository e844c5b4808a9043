#pragma once

#include "experiment.h"

#include <string>
#include <vector>

namespace fescueledge {

/// One thing that is held against the policies.
struct Scenario
{
    std::string name;
    std::string description;
    void (*install)(Experiment &experiment);
};

const std::vector<Scenario> &scenarios();

} // namespace fescueledge
