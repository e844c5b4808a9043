#pragma once

#include "fescueledge/jobqueue.h"

#include "capacitytable_pvt.h"

#include <memory>

namespace fescueledge {

class Random;

/// Selects the node that a task is offered to.
class NodeChoiceStrategy
{
public:
    virtual ~NodeChoiceStrategy() = default;
    /// Returns one of @p candidates, which must not be empty.
    virtual const CapacityTable::Candidate &choose(const std::vector<CapacityTable::Candidate> &candidates,
                                                   Random &random) const = 0;
};

std::unique_ptr<NodeChoiceStrategy> makeNodeChoice(QueuePolicy::NodeChoice choice);

} // namespace fescueledge
