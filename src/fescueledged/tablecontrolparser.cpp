#include "tablecontrolparser_pvt.h"

#include "fescueledge/tableparser.h"

#include <utility>

namespace fescueledge {

void TableControlParser::parse(ControlState *state) const
{
    if (state->routesText.empty() && state->poolsText.empty()) {
        return;
    }
    ControlState parsed = parseTables(state->routesText, state->poolsText);
    state->routes = std::move(parsed.routes);
    state->pools = std::move(parsed.pools);
    state->teams = std::move(parsed.teams);
}

} // namespace fescueledge
