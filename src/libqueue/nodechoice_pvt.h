#pragma once

#include "fescueledge/jobqueue.h"

#include "capacitytable_pvt.h"

#include <memory>

namespace fescueledge {

class Random;

/// Picks the node that one task is offered to.
class NodeChoiceStrategy
{
public:
    virtual ~NodeChoiceStrategy() = default;
    /// One of @p candidates, which is not empty.
    virtual const CapacityTable::Candidate &choose(const std::vector<CapacityTable::Candidate> &candidates,
                                                   Random &random) const = 0;
};

std::unique_ptr<NodeChoiceStrategy> makeNodeChoice(QueuePolicy::NodeChoice choice);

} // namespace fescueledge
