#include "job_pvt.h"

namespace fescueledge {

int Job::count(TaskState state) const
{
    return counts[static_cast<std::size_t>(state)];
}

Block &Job::ensureBlock(int index)
{
    const int block = index / tasksPerBlock;
    Block &result = blocks[block];
    if (result.tasks.empty()) {
        result.tasks.resize(static_cast<std::size_t>(tasksInBlock(record.spec.taskCount, block)));
    }
    return result;
}

TaskRecord &Job::task(int index)
{
    return ensureBlock(index).tasks[static_cast<std::size_t>(index % tasksPerBlock)];
}

const TaskRecord *Job::findTask(int index) const
{
    const auto it = blocks.find(index / tasksPerBlock);
    return it == blocks.end() ? nullptr : &it->second.tasks[static_cast<std::size_t>(index % tasksPerBlock)];
}

bool Job::hasReady() const
{
    return !isClosing && !isBackingOff && !record.isClosed()
        && (!ready.empty() || firstNeverOffered < record.spec.taskCount);
}

int Job::popReady()
{
    int index = firstNeverOffered;
    if (ready.empty()) {
        ++firstNeverOffered;
    } else {
        index = *ready.begin();
        ready.erase(ready.begin());
    }
    busy.insert(index);
    return index;
}

bool Job::isSettled() const
{
    return busy.empty() && count(TaskState::Pending) == 0 && count(TaskState::Claimed) == 0;
}

JobStatus Job::status() const
{
    JobStatus status;
    status.job = id;
    status.customer = record.spec.customer;
    status.team = record.spec.team;
    status.name = record.spec.name;
    status.taskClass = record.spec.taskClass;
    status.taskCount = record.spec.taskCount;
    status.counts = counts;
    status.ended = count(TaskState::Pending) == 0 && count(TaskState::Claimed) == 0;
    status.cancelledBy = record.cancelledBy;
    status.detail = record.detail.empty() ? waitReason : record.detail;
    return status;
}

const std::string &Job::payload(int index) const
{
    static const std::string none;
    const std::vector<std::string> &payloads = record.spec.payloads;
    if (payloads.empty()) {
        return none;
    }
    return payloads.size() == 1 ? payloads.front() : payloads[static_cast<std::size_t>(index)];
}

TaskOffer Job::offer(int index) const
{
    const JobSpec &spec = record.spec;
    TaskOffer offer;
    offer.task = taskId(id, index);
    offer.attempt = 1;
    offer.taskClass = spec.taskClass;
    offer.customer = spec.customer;
    offer.team = spec.team;
    offer.kind = spec.kind;
    offer.pool = spec.pool;
    offer.resources = spec.resources;
    offer.payload = payload(index);
    if (const TaskRecord *task = findTask(index)) {
        offer.attempt = task->attempt + 1;
        offer.checkpoint = task->checkpoint;
        for (const AttemptRecord &it : task->history) {
            if (it.end == "failed" || it.end == "lost") {
                offer.avoid.push_back(it.worker);
            }
        }
    }
    return offer;
}

std::map<JobId, std::map<int, Block>> groupBlocks(const std::vector<Row> &rows)
{
    std::map<JobId, std::map<int, Block>> groups;
    for (const Row &row : rows) {
        const std::size_t last = row.key.rfind('/');
        const JobId job = lastKeyPart(row.key.substr(0, last));
        groups[job][std::stoi(row.key.substr(last + 1))] = Block{row.version, decodeBlock(row.value)};
    }
    return groups;
}

} // namespace fescueledge
