#include "fescueledge/stdoutlog.h"

#include "fescueledge/loop.h"

#include <fcntl.h>
#include <unistd.h>
#include <utility>

namespace fescueledge {

namespace {

/// Delay before buffered lines are written, so that one write carries many lines.
constexpr Milliseconds flushInterval{100};
constexpr std::chrono::seconds rateWindow{1};

} // namespace

struct StdoutLog::State
{
    /// Counts the lines of one event in the current window.
    struct Rate
    {
        std::uint32_t lines = 0;
        std::uint64_t suppressedLines = 0;
    };

    Loop *loop = nullptr;
    std::string node;
    std::function<std::int64_t()> wallClock;
    Writer writer;
    Limits limits;
    std::string buffer;
    bool scheduled = false;
    TimePoint windowStart{};
    std::map<std::string, Rate, std::less<>> rates;
    std::uint64_t suppressed = 0;

    bool append(const std::string &text)
    {
        const std::string prefix = "ts_ms=" + std::to_string(wallClock()) + " node=" + node + " ";
        if (buffer.size() + prefix.size() + text.size() + 1 > limits.waitingBytes) {
            return false;
        }
        buffer += prefix;
        buffer += text;
        buffer += '\n';
        return true;
    }

    void closeWindow(TimePoint now)
    {
        windowStart = now;
        for (auto &[event, rate] : rates) {
            if (rate.suppressedLines > 0) {
                append(LogLine("log_suppressed")
                           .with("name", event)
                           .with("lines", static_cast<std::int64_t>(rate.suppressedLines))
                           .text());
            }
            rate = Rate{};
        }
    }

    void flush()
    {
        if (!buffer.empty()) {
            buffer.erase(0, writer(buffer));
        }
    }
};

StdoutLog::StdoutLog(Loop *loop, std::string node, std::function<std::int64_t()> wallClock, Writer writer,
                     Limits limits)
    : m_state(std::make_shared<State>())
{
    m_state->loop = loop;
    m_state->node = std::move(node);
    m_state->wallClock = std::move(wallClock);
    m_state->writer = std::move(writer);
    m_state->limits = limits;
}

StdoutLog::~StdoutLog()
{
    m_state->flush();
}

void StdoutLog::write(const LogLine &line)
{
    State &state = *m_state;
    const TimePoint now = state.loop->now();
    if (now - state.windowStart >= rateWindow) {
        state.closeWindow(now);
    }
    auto it = state.rates.find(line.event());
    if (it == state.rates.end()) {
        it = state.rates.emplace(std::string(line.event()), State::Rate{}).first;
    }
    if (it->second.lines >= state.limits.linesPerSecond || !state.append(line.text())) {
        ++it->second.suppressedLines;
        ++state.suppressed;
    } else {
        ++it->second.lines;
    }
    if (!state.scheduled) {
        state.scheduled = true;
        flushLater(m_state);
    }
}

void StdoutLog::flushLater(const std::shared_ptr<State> &state)
{
    const std::weak_ptr<State> weak = state;
    state->loop->postAfter(flushInterval, [weak] {
        const std::shared_ptr<State> locked = weak.lock();
        if (!locked) {
            return;
        }
        locked->scheduled = false;
        locked->flush();
        if (!locked->buffer.empty()) {
            locked->scheduled = true;
            flushLater(locked);
        }
    });
}

void StdoutLog::flush()
{
    m_state->flush();
}

std::uint64_t StdoutLog::suppressed() const
{
    return m_state->suppressed;
}

StdoutLog::Writer fileWriter(int descriptor)
{
    const int flags = fcntl(descriptor, F_GETFL);
    if (flags >= 0) {
        fcntl(descriptor, F_SETFL, flags | O_NONBLOCK);
    }
    return [descriptor](const std::string &text) {
        const ssize_t n = ::write(descriptor, text.data(), text.size());
        return n > 0 ? static_cast<std::size_t>(n) : std::size_t{0};
    };
}

StdoutLog::Writer standardOutput()
{
    return fileWriter(STDOUT_FILENO);
}

} // namespace fescueledge
