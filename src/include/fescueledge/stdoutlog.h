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
/// Memory and volume are bounded: lines of one event beyond a rate, and lines that a slow reader keeps from being
/// written, are left out and counted in a line `event=log_suppressed`.
class StdoutLog : public EventLog
{
public:
    /// Bounds; lines of one event a second, and bytes that may wait to be written.
    struct Limits
    {
        std::uint32_t linesPerSecond = 300; ///< Of one event: above the starts of a busy second of one node today.
        std::size_t waitingBytes = 256 * 1024; ///< About two seconds of a busy node.
    };

    /// Tries to write @p text without blocking; returns how many bytes were taken.
    using Writer = std::function<std::size_t(const std::string &text)>;

    /// @p node stands in each line. @p wallClock gives milliseconds since 1970.
    StdoutLog(Loop *loop, std::string node, std::function<std::int64_t()> wallClock, Writer writer, Limits limits);
    ~StdoutLog() override;
    StdoutLog(const StdoutLog &) = delete;
    StdoutLog &operator=(const StdoutLog &) = delete;

    void write(const LogLine &line) override;
    /// Writes what waits, as far as that is possible without blocking.
    void flush();
    /// Lines left out so far.
    std::uint64_t suppressed() const;

private:
    struct State;
    static void flushLater(const std::shared_ptr<State> &state);

    std::shared_ptr<State> m_state;
};

/// A Writer for standard output; makes it non-blocking.
StdoutLog::Writer standardOutput();

} // namespace fescueledge
