#include "jobstory_pvt.h"

#include "logreader_pvt.h"

#include "fescueledge/error.h"

#include <algorithm>
#include <array>

namespace fescueledge {

namespace {

constexpr std::size_t mostBytes = 16 * 1024 * 1024; ///< Of texts of lines kept of either sort; far above a long job.
/// Before and after the job's own lines: what it met at its start began earlier, and clocks of nodes differ.
constexpr std::chrono::seconds margin{2};

/// Events of any node that explain why a job had to wait.
constexpr std::array<const char *, 7> nodeEvents{"store_lost",    "takeover_tried", "term_begun", "term_ended",
                                                 "term_resigned", "jobs_loaded",    "evacuation"};
/// Events that matter if the job used the worker.
constexpr std::array<const char *, 3> workerEvents{"worker_silent", "worker_unlisted", "worker_quarantined"};

constexpr const char *suppressedEvent = "log_suppressed";

template<std::size_t N>
bool isOneOf(const std::array<const char *, N> &names, const std::string &name)
{
    return std::any_of(names.begin(), names.end(), [&](const char *it) {
        return name == it;
    });
}

std::size_t textBytes(const LogRecord &record)
{
    std::size_t bytes = sizeof(StoryLine) + record.node.size() + record.event.size();
    for (const std::pair<std::string, std::string> &field : record.fields) {
        bytes += sizeof(field) + field.first.size() + field.second.size();
    }
    return bytes;
}

} // namespace

JobStory::JobStory(JobId job)
    : m_job(std::move(job))
{
}

void JobStory::read(const std::vector<std::string> &files)
{
    for (const std::string &file : files) {
        readOwnLines(file);
    }
    if (m_lines.empty()) {
        std::string message = "no line names job " + m_job;
        message += m_unreadable == 0 ? "" : "; unreadable lines: " + std::to_string(m_unreadable);
        throw Error(ErrorKind::NotFound, message);
    }
    for (const std::string &file : files) {
        readLinesAround(file);
    }
    std::stable_sort(m_lines.begin(), m_lines.end(), [](const StoryLine &a, const StoryLine &b) {
        return a.record.time < b.record.time;
    });
}

void JobStory::readOwnLines(const std::string &file)
{
    LogReader reader(file);
    LogRecord record;
    while (reader.next(record)) {
        m_lastTime = std::max(m_lastTime, record.time);
        if (record.value("job") != m_job) {
            continue;
        }
        m_firstOwn = std::min(m_firstOwn, record.time);
        m_lastOwn = std::max(m_lastOwn, record.time);
        m_ended = m_ended || record.event == "job_end" || record.event == "job_cancelled";
        keep(record, true, m_ownBytes);
    }
    m_unreadable += reader.unreadable();
}

void JobStory::readLinesAround(const std::string &file)
{
    LogReader reader(file);
    LogRecord record;
    LogTime previous = LogTime::min();
    while (reader.next(record)) {
        if (record.value("job") != m_job && isAround(record, previous)) {
            keep(record, false, m_aroundBytes);
        }
        if (record.event != suppressedEvent) {
            previous = record.time;
        }
    }
}

bool JobStory::isAround(const LogRecord &record, LogTime previous) const
{
    const LogTime first = m_firstOwn - margin;
    const LogTime last = (m_ended ? m_lastOwn : m_lastTime) + margin;
    if (record.event == suppressedEvent) {
        // Counts what was left out since the line before it, which may be long ago on a node that has little to say.
        const LogTime since = previous == LogTime::min() ? record.time : previous;
        return record.time >= first && since <= last;
    }
    if (record.time < first || record.time > last) {
        return false;
    }
    return isOneOf(nodeEvents, record.event)
        || (isOneOf(workerEvents, record.event) && m_workers.count(record.value("worker")) != 0);
}

void JobStory::keep(const LogRecord &record, bool ofJob, std::size_t &bytes)
{
    bytes += textBytes(record);
    if (bytes > mostBytes) {
        ++m_leftOut;
        return;
    }
    if (ofJob && !record.value("worker").empty()) {
        m_workers.insert(record.value("worker"));
    }
    m_lines.push_back({record, ofJob});
}

const JobId &JobStory::job() const
{
    return m_job;
}

const std::vector<StoryLine> &JobStory::lines() const
{
    return m_lines;
}

LogTime JobStory::lastTime() const
{
    return m_lastTime;
}

std::uint64_t JobStory::unreadable() const
{
    return m_unreadable;
}

std::uint64_t JobStory::leftOut() const
{
    return m_leftOut;
}

} // namespace fescueledge
