#pragma once

#include "logrecord_pvt.h"

#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace fescueledge {

/// One log line of a timeline.
struct TimelineLine
{
    LogRecord record;
    bool namesJob = false; ///< False for context lines, such as those about a takeover.
};

/// The lines of saved logs that show the course of one job: those that name it, and context lines of all nodes that
/// explain gaps.
///
/// Memory is bounded: lines beyond the bound are omitted and counted.
class JobTimeline
{
public:
    explicit JobTimeline(JobId job);

    /// Reads each of @p files twice, as the job's own lines decide which context lines matter.
    /// @throws Error with NotFound if no line names the job, or with InvalidArgument if a file can't be read.
    void read(const std::vector<std::string> &files);

    const JobId &job() const;
    /// Sorted by time.
    const std::vector<TimelineLine> &lines() const;
    /// Time of the latest line in the files, whether it names the job or not.
    LogTime lastTime() const;
    std::uint64_t unreadableLines() const;
    /// Lines that were omitted to bound memory.
    std::uint64_t omittedLines() const;

private:
    void readJobLines(const std::string &file);
    void readContextLines(const std::string &file);
    bool isContextLine(const LogRecord &record, LogTime previous) const;
    void addLine(const LogRecord &record, bool namesJob, std::size_t &bytes);

    JobId m_job;
    std::vector<TimelineLine> m_lines;
    std::set<WorkerId> m_workers; ///< Workers that the job's lines name.
    LogTime m_firstJobLineTime = LogTime::max();
    LogTime m_lastJobLineTime = LogTime::min();
    LogTime m_lastTime = LogTime::min();
    bool m_ended = false;
    std::size_t m_jobLineBytes = 0;
    std::size_t m_contextLineBytes = 0;
    std::uint64_t m_unreadableLines = 0;
    std::uint64_t m_omittedLines = 0;
};

} // namespace fescueledge
