#pragma once

#include "fescueledge/dispatchmessages.h"

#include "jobrecord_pvt.h"

namespace fescueledge {

/// What follows from the end of an attempt.
struct AttemptEnd
{
    TaskRecord next; ///< The task afterwards.
    Duration delay{0}; ///< Time before the next attempt, if there is one.
};

/// Decides what becomes of @p task, whose current attempt ended as @p item says, under the bounds of @p job.
AttemptEnd decideAttemptEnd(const JobRecord &job, const TaskRecord &task, const OutcomeReport::Item &item);

} // namespace fescueledge
