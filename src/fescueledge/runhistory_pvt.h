#pragma once

#include "logrecord_pvt.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <utility>

namespace fescueledge {

/// The runs of one job, reconstructed from its log lines.
class RunHistory
{
public:
    /// Start and end of a period.
    using Span = std::pair<LogTime, LogTime>;

    /// Adds a line of the job; lines about anything but runs are ignored. Lines must be added in order of time.
    void add(const LogRecord &record);

    /// Earliest logged start of a run that is known to have started.
    std::optional<LogTime> firstStart() const;
    /// The longest period between @p from and @p to in which no run is known to have been active. Ignores runs whose
    /// start was not logged.
    Span longestIdle(LogTime from, LogTime to) const;
    /// Number of runs by how they ended; `open` if that is not known.
    std::map<std::string, std::uint64_t> runs() const;
    /// Number of start orders without a known run, by outcome.
    std::map<std::string, std::uint64_t> notStarted() const;
    /// Number of runs whose end was logged, but not their start.
    std::uint64_t startsUnseen() const;

private:
    /// Task, run number and worker: an earlier coordinator may have assigned the number to another worker.
    using RunKey = std::tuple<std::string, std::string, std::string>;

    struct Run
    {
        std::optional<LogTime> orderTime; ///< When the answer to the start order or its timeout was logged.
        std::string orderOutcome;
        std::optional<LogTime> ended; ///< When its end or its loss was logged.
        std::string how; ///< As the worker reported, or `lost` or `missing`.
        bool hasWorkerReport = false; ///< True if the worker reported how it ended.

        /// True if the start order succeeded or the worker reported an end; an order without an answer may have started
        /// the run.
        bool hasStarted() const;
    };

    void addStart(const LogRecord &record);
    void addEnd(const LogRecord &record);
    void addLoss(const LogRecord &record);
    Run &runFor(const LogRecord &record);

    std::map<RunKey, Run> m_runs;
};

} // namespace fescueledge
