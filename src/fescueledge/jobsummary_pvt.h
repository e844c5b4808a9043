#pragma once

#include "logrecord_pvt.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace fescueledge {

class JobTimeline;

/// Counts by name.
using Counts = std::map<std::string, std::uint64_t>;

/// A period without activity of the job.
struct IdleSpan
{
    LogTime from{};
    LogTime to{};
    Counts stepWaits; ///< `step_waits` lines in the period, by outcome.
    Counts contextEvents; ///< Context lines in the period, by event.
};

/// Summary of a job's timeline. All times are by the clocks of the nodes that wrote the lines.
struct JobSummary
{
    std::optional<LogTime> accepted; ///< When its acceptance was logged; empty if that line is missing.
    NodeId acceptedBy;
    std::string queue;
    Counts submissions; ///< `job_submit` lines, by outcome.
    LogTime origin{}; ///< Its acceptance, or else its first line; times are printed relative to it.
    std::optional<LogTime> firstStart; ///< Earliest logged start of a run that is known to have started.
    IdleSpan longestIdle; ///< No run was active. A run counts as active until its end is logged.
    IdleSpan longestSilence; ///< No line of the job except `step_waits`; also covers runs whose end was logged late.
    Counts runs; ///< By how they ended: done, failed, stopped, ..., lost, missing; `open` if no end is logged.
    Counts notStarted; ///< Start orders without a known run, by outcome.
    std::uint64_t startsUnseen = 0; ///< Runs whose end is logged, but not their start.
    std::string outcome; ///< complete, failed or cancelled; empty if no end is logged.
    std::optional<LogTime> ended;
    NodeId endedBy;
    bool late = false;
    std::optional<Milliseconds> duration; ///< As reported by the node that logged the end.
    Counts suppressed; ///< Lines that nodes suppressed around the time of the job, by event; some may have named it.
};

/// Summarizes @p timeline, which must have been read.
JobSummary summarize(const JobTimeline &timeline);

} // namespace fescueledge
