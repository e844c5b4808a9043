#pragma once

#include "fescueledge/controlparser.h"

namespace fescueledge {

/// Parses the routes and pools tables of a control state with libconfig.
class TableControlParser : public ControlParser
{
public:
    void parse(ControlState *state) const override;
};

} // namespace fescueledge
