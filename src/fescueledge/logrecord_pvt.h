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
    std::vector<std::pair<std::string, std::string>> fields; ///< The others, in the order of the line.

    /// The first value of @p key, or an empty string if there is none.
    std::string value(const std::string &key) const;
    /// The first value of @p key, if it is an integer of at least 0.
    std::optional<std::int64_t> number(const std::string &key) const;
};

/// Parses one line without its line end. Returns nothing if it is truncated, merged with another line, or not a log
/// line.
std::optional<LogRecord> parseLogLine(const std::string &line);

} // namespace fescueledge
