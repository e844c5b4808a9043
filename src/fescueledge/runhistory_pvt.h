#pragma once

#include "logrecord_pvt.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <utility>

namespace fescueledge {

/// The runs of one job, as its lines tell of them.
class RunHistory
{
public:
    /// Beginning and end of a time.
    using Span = std::pair<LogTime, LogTime>;

    /// Takes a line of the job; lines that tell of no run are passed over. Lines come in the order of their times.
    void add(const LogRecord &record);

    /// When the first run whose start was logged is known to have started.
    std::optional<LogTime> firstStart() const;
    /// The longest time between @p from and @p to in which no run whose start was logged is known to have been at work.
    Span longestIdle(LogTime from, LogTime to) const;
    /// Runs by how they ended; `open` if that is not known.
    std::map<std::string, std::uint64_t> runs() const;
    /// Orders to start that no run is known of, by their outcome.
    std::map<std::string, std::uint64_t> notStarted() const;
    /// Runs whose end was logged, but not their start.
    std::uint64_t startsUnseen() const;

private:
    /// Task, number of the run and worker: an earlier coordinator may have given the number to another worker.
    using RunKey = std::tuple<std::string, std::string, std::string>;

    struct Run
    {
        std::optional<LogTime> orderTime; ///< When the answer to the order came, or its timeout.
        std::string orderOutcome;
        std::optional<LogTime> ended; ///< When its end was seen, or that it is gone.
        std::string how;
        bool hasWorkerReport = false; ///< The worker told how it ended.

        /// An order without an answer has started a run if its end was seen.
        bool hasStarted() const;
    };

    void addStart(const LogRecord &record);
    void addEnd(const LogRecord &record);
    void addLoss(const LogRecord &record);
    Run &runFor(const LogRecord &record);

    std::map<RunKey, Run> m_runs;
};

} // namespace fescueledge
