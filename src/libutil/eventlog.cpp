#include "fescueledge/eventlog.h"

namespace fescueledge {

namespace {

bool needsQuotes(std::string_view value)
{
    return value.empty() || value.find_first_of(" =\"\n\t") != std::string_view::npos;
}

} // namespace

LogLine::LogLine(std::string_view event)
    : m_text("event=")
    , m_eventStart(m_text.size())
    , m_eventSize(event.size())
{
    m_text += event;
}

LogLine &LogLine::with(std::string_view key, std::string_view value)
{
    if (key == "outcome") {
        m_outcome = value;
    }
    m_text += ' ';
    m_text += key;
    m_text += '=';
    if (!needsQuotes(value)) {
        m_text += value;
        return *this;
    }
    m_text += '"';
    for (const char c : value) {
        m_text += (c == '"' || c == '\n') ? '\'' : c;
    }
    m_text += '"';
    return *this;
}

LogLine &LogLine::with(std::string_view key, std::int64_t value)
{
    m_text += ' ';
    m_text += key;
    m_text += '=';
    m_text += std::to_string(value);
    return *this;
}

LogLine &LogLine::with(std::string_view key, Milliseconds value)
{
    if (key == "took_ms") {
        m_took = value;
    }
    return with(key, static_cast<std::int64_t>(value.count()));
}

} // namespace fescueledge
