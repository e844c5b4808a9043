#pragma once

#include "fescueledge/dispatchmessages.h"

#include "jobrecord_pvt.h"

namespace fescueledge {

/// Result of the end of an attempt.
struct AttemptEnd
{
    TaskRecord next; ///< The new record of the task.
    Duration delay{0}; ///< Backoff before the next attempt, if there is one.
};

/// Decides the next state of @p task, whose current attempt ended as @p item reports, within the limits of @p job.
AttemptEnd decideAttemptEnd(const JobRecord &job, const TaskRecord &task, const OutcomeReport::Item &item);

} // namespace fescueledge
