#pragma once

#include "fescueledge/types.h"

#include <string>
#include <vector>

namespace fescueledge {

/// One endpoint or node that a decision considered.
struct DecisionCandidate
{
    std::string name; ///< A worker, or a node for a forward.
    double cost = 0; ///< Value of the deciding measure; the lowest wins.
    std::string exclusionReason; ///< Why it was not eligible; empty if it was.
};

/// One choice of where to send a request.
struct DecisionStep
{
    std::string kind; ///< `place` for the choice of a node, `endpoint` for the choice of a worker, `result`.
    std::string measure; ///< Name of the deciding measure.
    std::string chosen; ///< The node or worker chosen, or the result.
    std::vector<DecisionCandidate> candidates;
};

/// The routing decisions for a recent request.
struct DecisionRecord
{
    std::string requestId;
    std::string route;
    std::string pool;
    std::vector<DecisionStep> steps;
};

} // namespace fescueledge
