#pragma once

#include "jobrecord_pvt.h"

#include <functional>

namespace fescueledge {

/// One durable change that waits for the next transaction of its partition.
struct Change
{
    enum class Kind {
        Task, ///< A task takes the record `next`.
        Close, ///< Tasks of the job that do not run end as `close.rest`.
        Archive, ///< All tasks ended; the job leaves the partition.
    };

    Kind kind = Kind::Task;
    JobId job;
    int index = -1;
    TaskRecord next;
    Duration delay{0}; ///< Task: time before a task that is pending again may be offered.
    JobRecord close;
    bool urgent = false; ///< Write it without waiting for more.
    std::function<void(bool committed)> done; ///< Runs once, unless the partition is dropped first.

    /// True if the change binds a task to a worker, which is valid only under one ownership of its rack.
    bool isClaim() const
    {
        return kind == Kind::Task && next.state == TaskState::Claimed;
    }
};

} // namespace fescueledge
