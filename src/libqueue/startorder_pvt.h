#pragma once

#include "fescueledge/jobqueue.h"

#include "jobtable_pvt.h"

#include <memory>
#include <vector>

namespace fescueledge {

class QueuePartition;

/// The runnable jobs of one team on all partitions of this node, oldest first, during one tick.
class TeamQueue
{
public:
    std::string team;
    double weight = 1.0;
    Resources used; ///< Known usage of the team, including the offers of this tick.

    void addJobs(const std::shared_ptr<QueuePartition> &partition, const JobTable::TeamJobs &jobs);
    /// The oldest job that was not skipped and has a task to offer, or nullptr.
    Job *head() const;
    /// The partition of head().
    const std::shared_ptr<QueuePartition> &headPartition() const;
    /// Skips the head job for the rest of the tick.
    void skipHead();
    /// Number of jobs skipped so far.
    int skipped() const;
    /// Passes over jobs without a task to offer and selects the oldest remaining job as head.
    void updateHead();

private:
    struct Cursor
    {
        std::shared_ptr<QueuePartition> partition;
        std::vector<Job *> jobs;
        std::size_t next = 0;
    };

    std::vector<Cursor> m_cursors;
    std::size_t m_head = 0;
    int m_skipped = 0;
};

/// Decides which team's oldest job is next.
class StartOrder
{
public:
    virtual ~StartOrder() = default;
    /// Returns the index of one of @p teams, which must not be empty; each team must have a head. @p total is the whole
    /// capacity, used and free.
    virtual std::size_t next(const std::vector<TeamQueue> &teams, const Resources &total) const = 0;
};

std::unique_ptr<StartOrder> makeStartOrder(QueuePolicy::Order order);

} // namespace fescueledge
