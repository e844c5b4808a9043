#pragma once

#include "fescueledge/taskcommand.h"
#include "fescueledge/types.h"

#include <optional>

namespace fescueledge {

struct AttemptRow;
struct WorkerRow;

/// Returns the command that @p row needs at @p now, if any. A command is repeated until the worker reports its effect.
/// @p mayStart tells whether start commands may be sent to @p worker.
std::optional<TaskCommand> commandFor(const WorkerRow &worker, const AttemptRow &row, TimePoint now, bool mayStart);

} // namespace fescueledge
