#include "fescueledge/stdoutlog.h"

#include "fescueledge/loop.h"

#include <fcntl.h>
#include <unistd.h>
#include <utility>

namespace fescueledge {

namespace {

/// Lines wait at most this long; one write then carries many.
constexpr Milliseconds flushInterval{100};
constexpr std::chrono::seconds rateWindow{1};

} // namespace

struct StdoutLog::State
{
    /// Lines of one event in the current window.
    struct Rate
    {
        std::uint32_t lines = 0;
        std::uint64_t leftOut = 0;
    };

    Loop *loop = nullptr;
    std::string node;
    std::function<std::int64_t()> wallClock;
    Writer writer;
    Limits limits;
    std::string waiting;
    bool scheduled = false;
    TimePoint windowStart{};
    std::map<std::string, Rate, std::less<>> rates;
    std::uint64_t suppressed = 0;

    bool append(const std::string &text)
    {
        const std::string head = "ts_ms=" + std::to_string(wallClock()) + " node=" + node + " ";
        if (waiting.size() + head.size() + text.size() + 1 > limits.waitingBytes) {
            return false;
        }
        waiting += head;
        waiting += text;
        waiting += '\n';
        return true;
    }

    void closeWindow(TimePoint now)
    {
        windowStart = now;
        for (auto &[event, rate] : rates) {
            if (rate.leftOut > 0) {
                append(LogLine("log_suppressed")
                           .with("name", event)
                           .with("lines", static_cast<std::int64_t>(rate.leftOut))
                           .text());
            }
            rate = Rate{};
        }
    }

    void flush()
    {
        if (!waiting.empty()) {
            waiting.erase(0, writer(waiting));
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
        ++it->second.leftOut;
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
        const std::shared_ptr<State> alive = weak.lock();
        if (!alive) {
            return;
        }
        alive->scheduled = false;
        alive->flush();
        if (!alive->waiting.empty()) {
            alive->scheduled = true;
            flushLater(alive);
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

StdoutLog::Writer standardOutput()
{
    const int flags = fcntl(STDOUT_FILENO, F_GETFL);
    if (flags >= 0) {
        fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
    }
    return [](const std::string &text) {
        const ssize_t n = ::write(STDOUT_FILENO, text.data(), text.size());
        return n > 0 ? static_cast<std::size_t>(n) : std::size_t{0};
    };
}

} // namespace fescueledge
