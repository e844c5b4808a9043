#pragma once

#include <string>

namespace fescueledge {

struct ControlState;

/// Parses the texts of the tables into routes, pools and quotas.
class ControlParser
{
public:
    virtual ~ControlParser() = default;

    /// Fills the routes, pools and teams of @p state from its texts.
    /// @throws Error of kind InvalidSettings if a text is not valid.
    virtual void parse(ControlState *state) const = 0;
};

} // namespace fescueledge
