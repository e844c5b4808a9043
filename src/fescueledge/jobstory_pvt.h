#pragma once

#include "logrecord_pvt.h"

#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace fescueledge {

/// One line of a story.
struct StoryLine
{
    LogRecord record;
    bool ofJob = false; ///< True if it names the job, false if it tells what happened around it.
};

/// The lines of saved logs that tell what became of one job: its own, and those of all nodes that explain gaps in it.
///
/// Memory is bounded: lines beyond a bound are left out and counted.
class JobStory
{
public:
    explicit JobStory(JobId job);

    /// Reads @p files, twice: which lines around the job matter is known when its own are.
    /// @throws Error with NotFound if no line names the job, or with InvalidArgument if a file can't be read.
    void read(const std::vector<std::string> &files);

    const JobId &job() const;
    /// In the order of their times.
    const std::vector<StoryLine> &lines() const;
    /// Time of the last line of all in the files.
    LogTime lastTime() const;
    std::uint64_t unreadable() const;
    std::uint64_t leftOut() const;

private:
    void readOwnLines(const std::string &file);
    void readLinesAround(const std::string &file);
    bool isAround(const LogRecord &record, LogTime previous) const;
    void keep(const LogRecord &record, bool ofJob, std::size_t &bytes);

    JobId m_job;
    std::vector<StoryLine> m_lines;
    std::set<WorkerId> m_workers; ///< Used by the job.
    LogTime m_firstOwn = LogTime::max();
    LogTime m_lastOwn = LogTime::min();
    LogTime m_lastTime = LogTime::min();
    bool m_ended = false;
    std::size_t m_ownBytes = 0;
    std::size_t m_aroundBytes = 0;
    std::uint64_t m_unreadable = 0;
    std::uint64_t m_leftOut = 0;
};

} // namespace fescueledge
