#pragma once

#include "fescueledge/types.h"

#include <string>
#include <vector>

namespace fescueledge {

/// One endpoint or node that a decision looked at.
struct DecisionCandidate
{
    std::string name; ///< A worker, or a node for a forward.
    double cost = 0; ///< The measure that decided; the lowest wins.
    std::string ruledOut; ///< Why it could not be chosen; empty if it could.
};

/// One choice of where to send a request.
struct DecisionStep
{
    std::string kind; ///< `place` for the choice of a node, `endpoint` for the choice of a worker, `result`.
    std::string measure; ///< Name of the measure that decided.
    std::string chosen; ///< The node or worker chosen, or the result.
    std::vector<DecisionCandidate> candidates;
};

/// Why a recent request went where it went.
struct DecisionRecord
{
    std::string requestId;
    std::string route;
    std::string pool;
    std::vector<DecisionStep> steps;
};

} // namespace fescueledge
