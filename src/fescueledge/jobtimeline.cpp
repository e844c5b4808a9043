#include "jobtimeline_pvt.h"

#include "logreader_pvt.h"

#include "fescueledge/error.h"

#include <algorithm>
#include <array>

namespace fescueledge {

namespace {

constexpr std::size_t maxLineBytes = 16 * 1024 * 1024; ///< Per kind of line, job or context; a long job needs far less.
/// Added before and after the job's own lines when context is selected: conditions that the job meets at its start
/// began earlier, and the clocks of nodes differ.
constexpr std::chrono::seconds contextMargin{2};

/// Events of any node that explain why a job had to wait.
constexpr std::array<const char *, 7> nodeEvents{"store_lost",    "takeover_tried", "term_begun", "term_ended",
                                                 "term_resigned", "jobs_loaded",    "evacuation"};
/// Events that are context only if the job used the worker.
constexpr std::array<const char *, 3> workerEvents{"worker_silent", "worker_unlisted", "worker_quarantined"};

constexpr const char *suppressedEvent = "log_suppressed";

template<std::size_t N>
bool isOneOf(const std::array<const char *, N> &names, const std::string &name)
{
    return std::any_of(names.begin(), names.end(), [&](const char *it) {
        return name == it;
    });
}

std::size_t recordBytes(const LogRecord &record)
{
    std::size_t bytes = sizeof(TimelineLine) + record.node.size() + record.event.size();
    for (const std::pair<std::string, std::string> &field : record.fields) {
        bytes += sizeof(field) + field.first.size() + field.second.size();
    }
    return bytes;
}

} // namespace

JobTimeline::JobTimeline(JobId job)
    : m_job(std::move(job))
{
}

void JobTimeline::read(const std::vector<std::string> &files)
{
    for (const std::string &file : files) {
        readJobLines(file);
    }
    if (m_lines.empty()) {
        std::string message = "no line names job " + m_job;
        message += m_unreadableLines == 0 ? "" : "; unreadable lines: " + std::to_string(m_unreadableLines);
        throw Error(ErrorKind::NotFound, message);
    }
    for (const std::string &file : files) {
        readContextLines(file);
    }
    std::stable_sort(m_lines.begin(), m_lines.end(), [](const TimelineLine &a, const TimelineLine &b) {
        return a.record.time < b.record.time;
    });
}

void JobTimeline::readJobLines(const std::string &file)
{
    LogReader reader(file);
    LogRecord record;
    while (reader.next(record)) {
        m_lastTime = std::max(m_lastTime, record.time);
        if (record.value("job") != m_job) {
            continue;
        }
        m_firstJobLineTime = std::min(m_firstJobLineTime, record.time);
        m_lastJobLineTime = std::max(m_lastJobLineTime, record.time);
        m_ended = m_ended || record.event == "job_end" || record.event == "job_cancelled";
        addLine(record, true, m_jobLineBytes);
    }
    m_unreadableLines += reader.unreadableLines();
}

void JobTimeline::readContextLines(const std::string &file)
{
    LogReader reader(file);
    LogRecord record;
    LogTime previous = LogTime::min();
    while (reader.next(record)) {
        if (record.value("job") != m_job && isContextLine(record, previous)) {
            addLine(record, false, m_contextLineBytes);
        }
        if (record.event != suppressedEvent) {
            previous = record.time;
        }
    }
}

bool JobTimeline::isContextLine(const LogRecord &record, LogTime previous) const
{
    const LogTime first = m_firstJobLineTime - contextMargin;
    const LogTime last = (m_ended ? m_lastJobLineTime : m_lastTime) + contextMargin;
    if (record.event == suppressedEvent) {
        // It counts lines suppressed since the previous line, which may be much older on a node that logs little.
        const LogTime since = previous == LogTime::min() ? record.time : previous;
        return record.time >= first && since <= last;
    }
    if (record.time < first || record.time > last) {
        return false;
    }
    return isOneOf(nodeEvents, record.event)
        || (isOneOf(workerEvents, record.event) && m_workers.count(record.value("worker")) != 0);
}

void JobTimeline::addLine(const LogRecord &record, bool namesJob, std::size_t &bytes)
{
    bytes += recordBytes(record);
    if (bytes > maxLineBytes) {
        ++m_omittedLines;
        return;
    }
    if (namesJob && !record.value("worker").empty()) {
        m_workers.insert(record.value("worker"));
    }
    m_lines.push_back({record, namesJob});
}

const JobId &JobTimeline::job() const
{
    return m_job;
}

const std::vector<TimelineLine> &JobTimeline::lines() const
{
    return m_lines;
}

LogTime JobTimeline::lastTime() const
{
    return m_lastTime;
}

std::uint64_t JobTimeline::unreadableLines() const
{
    return m_unreadableLines;
}

std::uint64_t JobTimeline::omittedLines() const
{
    return m_omittedLines;
}

} // namespace fescueledge
