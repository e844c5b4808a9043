#pragma once

#include "jobrecord_pvt.h"

#include <functional>

namespace fescueledge {

/// A change that is staged for the next transaction of its partition.
struct Change
{
    enum class Kind {
        Task, ///< Replaces the record of a task by `next`.
        Close, ///< Closes the job: tasks that are not running end as `closedRecord.rest`.
        Archive, ///< Moves a job whose tasks have all ended from the partition to its done row.
    };

    Kind kind = Kind::Task;
    JobId job;
    int index = -1;
    TaskRecord next;
    Duration delay{0}; ///< Task: delay before a task that becomes pending again may be offered.
    JobRecord closedRecord;
    bool urgent = false; ///< Written at once, without waiting for a larger batch.
    std::function<void(bool committed)> done; ///< Called once, unless the partition is dropped first.

    /// True if the change claims a worker for a task, which is valid only under the rack ownership that granted it.
    bool isClaim() const
    {
        return kind == Kind::Task && next.state == TaskState::Claimed;
    }
};

} // namespace fescueledge
