#pragma once

#include "fescueledge/types.h"

#include <optional>
#include <string>
#include <string_view>

namespace fescueledge {

/// One structured log line under construction: `event=name key=value ...`.
class LogLine
{
public:
    explicit LogLine(std::string_view event);

    LogLine &with(std::string_view key, std::string_view value);
    LogLine &with(std::string_view key, std::int64_t value);
    LogLine &with(std::string_view key, Milliseconds value); ///< The key should end in `_ms`.

    /// Value of key `outcome`; empty if it was not given.
    const std::string &outcome() const
    {
        return m_outcome;
    }
    /// Value of key `took_ms`, if it was given.
    const std::optional<Milliseconds> &took() const
    {
        return m_took;
    }

    const std::string &text() const
    {
        return m_text;
    }
    std::string_view event() const
    {
        return std::string_view(m_text).substr(m_eventStart, m_eventSize);
    }

private:
    std::string m_text;
    std::size_t m_eventStart = 0;
    std::size_t m_eventSize = 0;
    std::string m_outcome;
    std::optional<Milliseconds> m_took;
};

/// Destination of the structured log of a process. Never blocks its caller.
class EventLog
{
public:
    virtual ~EventLog() = default;
    virtual void write(const LogLine &line) = 0;
};

} // namespace fescueledge
