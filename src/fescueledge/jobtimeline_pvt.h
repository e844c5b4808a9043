#pragma once

#include "logrecord_pvt.h"

#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace fescueledge {

/// One line of a story.
struct TimelineLine
{
    LogRecord record;
    bool namesJob = false; ///< True if it names the job, false if it tells what happened around it.
};

/// The lines of saved logs that tell what became of one job: its own, and those of all nodes that explain gaps in it.
///
/// Memory is bounded: lines beyond a bound are left out and counted.
class JobTimeline
{
public:
    explicit JobTimeline(JobId job);

    /// Reads @p files, twice: which lines around the job matter is known when its own are.
    /// @throws Error with NotFound if no line names the job, or with InvalidArgument if a file can't be read.
    void read(const std::vector<std::string> &files);

    const JobId &job() const;
    /// In the order of their times.
    const std::vector<TimelineLine> &lines() const;
    /// Time of the last line of all in the files.
    LogTime lastTime() const;
    std::uint64_t unreadableLines() const;
    std::uint64_t omittedLines() const;

private:
    void readJobLines(const std::string &file);
    void readContextLines(const std::string &file);
    bool isContextLine(const LogRecord &record, LogTime previous) const;
    void addLine(const LogRecord &record, bool ofJob, std::size_t &bytes);

    JobId m_job;
    std::vector<TimelineLine> m_lines;
    std::set<WorkerId> m_workers; ///< Used by the job.
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
