#pragma once

#include "fescueledge/eventlog.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace fescueledge {

class Loop;

/// Writes structured lines to standard output from a loop, in batches.
///
/// Memory and volume are bounded: lines above the rate limit of their event, and lines that can't be buffered because
/// the reader is slow, are suppressed and counted in a line `event=log_suppressed`.
class StdoutLog : public EventLog
{
public:
    /// Limits on the rate and on the memory of the log.
    struct Limits
    {
        std::uint32_t linesPerSecond = 300; ///< Per event; more than the task starts that a busy node logs in a second.
        std::size_t waitingBytes = 256 * 1024; ///< Maximum buffered bytes; about two seconds of a busy node's log.
    };

    /// Writes as much of @p text as possible without blocking; returns the number of bytes written.
    using Writer = std::function<std::size_t(const std::string &text)>;

    /// Each line carries @p node. @p wallClock returns milliseconds since 1970.
    StdoutLog(Loop *loop, std::string node, std::function<std::int64_t()> wallClock, Writer writer, Limits limits);
    ~StdoutLog() override;
    StdoutLog(const StdoutLog &) = delete;
    StdoutLog &operator=(const StdoutLog &) = delete;

    void write(const LogLine &line) override;
    /// Writes buffered lines as far as possible without blocking.
    void flush();
    /// Number of lines suppressed so far.
    std::uint64_t suppressed() const;

private:
    struct State;
    static void flushLater(const std::shared_ptr<State> &state);

    std::shared_ptr<State> m_state;
};

/// A Writer for @p descriptor; makes it non-blocking.
StdoutLog::Writer fileWriter(int descriptor);
/// A Writer for standard output; makes it non-blocking.
StdoutLog::Writer standardOutput();

} // namespace fescueledge
