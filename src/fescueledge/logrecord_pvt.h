#pragma once

#include "fescueledge/types.h"

#include <chrono>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace fescueledge {

/// Time of a log line, by the clock of the node that wrote it.
using LogTime = std::chrono::time_point<std::chrono::system_clock, Milliseconds>;

/// One line of a structured log: `ts_ms=... node=... event=... key=value`.
struct LogRecord
{
    LogTime time{};
    NodeId node; ///< Node that wrote it.
    std::string event;
    std::vector<std::pair<std::string, std::string>> fields; ///< In the order of the line, without the three above.

    /// The first value of @p key or an empty string.
    std::string value(const std::string &key) const;
    /// The first value of @p key, if it is a whole number of at least 0.
    std::optional<std::int64_t> number(const std::string &key) const;
};

/// Reads one line without its end. Nothing if it was not written so as a whole: cut, run into another, or foreign.
std::optional<LogRecord> parseLogLine(const std::string &line);

} // namespace fescueledge
