#pragma once

#include "experiment.h"

#include <string>
#include <vector>

namespace fescueledge {

/// A load or fault pattern that every policy is measured under.
struct Scenario
{
    std::string name;
    std::string description;
    void (*install)(Experiment &experiment);
};

const std::vector<Scenario> &scenarios();

} // namespace fescueledge
