#include "startorder_pvt.h"

#include "fescueledge/account/fairshare.h"
#include "queuepartition_pvt.h"

#include <algorithm>

namespace fescueledge {

namespace {

/// Jobs of one team on one partition that one tick considers.
constexpr std::size_t maxJobsPerCursor = 64;

/// Weighted dominant resource fairness: picks the team with the smallest dominant share, which is its largest share of
/// any resource divided by its weight.
class FairOrder : public StartOrder
{
public:
    std::size_t next(const std::vector<TeamQueue> &teams, const Resources &total) const override
    {
        std::size_t best = 0;
        double bestShare = 0;
        for (std::size_t i = 0; i < teams.size(); ++i) {
            const double share = account::weightedShare(teams[i].used, total, teams[i].weight);
            const bool older = teams[i].head()->record.order < teams[best].head()->record.order;
            if (i == 0 || share < bestShare || (share == bestShare && older)) {
                best = i;
                bestShare = share;
            }
        }
        return best;
    }
};

class FifoOrder : public StartOrder
{
public:
    std::size_t next(const std::vector<TeamQueue> &teams, const Resources &) const override
    {
        const auto it = std::min_element(teams.begin(), teams.end(), [](const TeamQueue &a, const TeamQueue &b) {
            return a.head()->record.order < b.head()->record.order;
        });
        return static_cast<std::size_t>(it - teams.begin());
    }
};

} // namespace

void TeamQueue::addJobs(const std::shared_ptr<QueuePartition> &partition, const JobTable::TeamJobs &jobs)
{
    Cursor cursor;
    cursor.partition = partition;
    for (const auto &[order, job] : jobs) {
        if (cursor.jobs.size() >= maxJobsPerCursor) {
            break;
        }
        cursor.jobs.push_back(job);
    }
    m_cursors.push_back(std::move(cursor));
    updateHead();
}

void TeamQueue::updateHead()
{
    m_head = m_cursors.size();
    for (std::size_t i = 0; i < m_cursors.size(); ++i) {
        Cursor &it = m_cursors[i];
        while (it.next < it.jobs.size() && !it.jobs[it.next]->hasReady()) {
            ++it.next;
        }
        if (it.next == it.jobs.size()) {
            continue;
        }
        const bool older = m_head == m_cursors.size()
            || it.jobs[it.next]->record.order < m_cursors[m_head].jobs[m_cursors[m_head].next]->record.order;
        if (older) {
            m_head = i;
        }
    }
}

Job *TeamQueue::head() const
{
    return m_head == m_cursors.size() ? nullptr : m_cursors[m_head].jobs[m_cursors[m_head].next];
}

const std::shared_ptr<QueuePartition> &TeamQueue::headPartition() const
{
    return m_cursors[m_head].partition;
}

void TeamQueue::skipHead()
{
    ++m_cursors[m_head].next;
    ++m_skipped;
    updateHead();
}

int TeamQueue::skipped() const
{
    return m_skipped;
}

std::unique_ptr<StartOrder> makeStartOrder(QueuePolicy::Order order)
{
    if (order == QueuePolicy::Order::Fifo) {
        return std::make_unique<FifoOrder>();
    }
    return std::make_unique<FairOrder>();
}

} // namespace fescueledge
