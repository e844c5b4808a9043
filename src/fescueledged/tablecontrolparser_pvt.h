#pragma once

#include "fescueledge/controlparser.h"

namespace fescueledge {

/// Parses the operators' tables with libconfig.
class TableControlParser : public ControlParser
{
public:
    void parse(ControlState *state) const override;
};

} // namespace fescueledge
