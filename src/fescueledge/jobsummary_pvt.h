#pragma once

#include "logrecord_pvt.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace fescueledge {

class JobTimeline;

/// Numbers by name.
using Counts = std::map<std::string, std::uint64_t>;

/// A time in which nothing happened to the job.
struct IdleSpan
{
    LogTime from{};
    LogTime to{};
    Counts stepWaits; ///< Lines `step_waits` meanwhile, by outcome.
    Counts contextEvents; ///< Events around the job meanwhile.
};

/// What a story comes to. All times are by the clocks of the nodes that wrote the lines.
struct JobSummary
{
    std::optional<LogTime> accepted; ///< When its acceptance was logged; nothing if that line is not there.
    NodeId acceptedBy;
    std::string queue;
    Counts submissions; ///< Lines `job_submit`, by outcome.
    LogTime origin{}; ///< Its acceptance, or else its first line; the story counts from here.
    std::optional<LogTime> firstStart; ///< When the first run was known to have started.
    IdleSpan longestIdle; ///< Nothing ran. A run counts until its end was seen.
    IdleSpan longestSilence; ///< No line of the job but `step_waits`; also covers runs whose end was seen late.
    Counts runs; ///< By how they ended: done, failed, stopped, ..., lost, missing; `open` if no end is there.
    Counts notStarted; ///< Orders to start that no run is known of, by outcome.
    std::uint64_t startsUnseen = 0; ///< Runs whose end is there, but not their start.
    std::string outcome; ///< complete, failed or cancelled; empty if no line tells of an end.
    std::optional<LogTime> ended;
    NodeId endedBy;
    bool late = false;
    std::optional<Milliseconds> duration; ///< As the node that saw the end says.
    Counts suppressed; ///< Lines that nodes left out meanwhile, by event; some may have been of the job.
};

/// Sums up @p story, which has been read.
JobSummary summarize(const JobTimeline &timeline);

} // namespace fescueledge
