#pragma once

#include "fescueledge/types.h"

#include <memory>
#include <string>

namespace fescueledge::workflow {

class WorkflowWorld;

/// Ids of two jobs in the tests.
inline const JobId jobA = "00000000000000aa";
inline const JobId jobB = "00000000000000bb";

/// Nodes that have elected a coordinator, and workers `w0`, `w1`, ..., alternately in `dc-a` and `dc-b`.
std::unique_ptr<WorkflowWorld> readyWorld(int nodes, int workers, std::int64_t cores = 4);
/// Whether node @p node reports job @p id in @p state within @p limit.
bool reachesState(WorkflowWorld &world, int node, const JobId &id, const std::string &state, Duration limit);
/// A node other than @p node of @p nodes.
int otherThan(int node, int nodes);

} // namespace fescueledge::workflow
