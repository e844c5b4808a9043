#pragma once

#include "fescueledge/taskcommand.h"
#include "fescueledge/types.h"

#include <optional>

namespace fescueledge {

struct AttemptRow;
struct WorkerRow;

/// The command that the state of @p row calls for at @p now, if any. Sent again until the worker shows its effect.
/// @p mayStart tells whether start commands may be sent to @p worker.
std::optional<TaskCommand> commandFor(const WorkerRow &worker, const AttemptRow &row, TimePoint now, bool mayStart);

} // namespace fescueledge
