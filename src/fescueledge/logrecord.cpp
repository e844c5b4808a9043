#include "logrecord_pvt.h"

#include <algorithm>
#include <charconv>

namespace fescueledge {

namespace {

constexpr std::int64_t maxTimestamp = 253402300799999; ///< Milliseconds; end of the year 9999, for 4-digit years.

std::optional<std::int64_t> parseNonNegative(const std::string &text)
{
    std::int64_t number = 0;
    const char *end = text.data() + text.size();
    const std::from_chars_result result = std::from_chars(text.data(), end, number);
    if (text.empty() || result.ec != std::errc() || result.ptr != end || number < 0) {
        return std::nullopt;
    }
    return number;
}

bool isName(const std::string &text)
{
    return !text.empty() && std::all_of(text.begin(), text.end(), [](char c) {
        return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '_';
    });
}

/// Reads the `key=value` pairs of a line in order.
class KeyValueReader
{
public:
    explicit KeyValueReader(const std::string &line)
        : m_line(line)
    {
    }

    bool atEnd() const
    {
        return m_position == m_line.size();
    }

    /// Reads the next pair; returns false if no complete pair follows.
    bool next(std::string &key, std::string &value)
    {
        if (m_position > 0 && m_line[m_position++] != ' ') {
            return false;
        }
        std::size_t equalsSign = m_line.find('=', m_position);
        if (equalsSign == std::string::npos) {
            return false;
        }
        key = m_line.substr(m_position, equalsSign - m_position);
        m_position = equalsSign + 1;
        return isName(key)
            && (m_position < m_line.size() && m_line[m_position] == '"' ? readQuoted(value) : readUnquoted(value));
    }

private:
    bool readQuoted(std::string &value)
    {
        std::size_t end = m_line.find('"', m_position + 1);
        if (end == std::string::npos) {
            return false;
        }
        value = m_line.substr(m_position + 1, end - m_position - 1);
        m_position = end + 1;
        return true;
    }

    /// An unquoted value is not empty and has no character that requires quotes.
    bool readUnquoted(std::string &value)
    {
        std::size_t end = std::min(m_line.find(' ', m_position), m_line.size());
        value = m_line.substr(m_position, end - m_position);
        m_position = end;
        return !value.empty() && value.find_first_of("=\"") == std::string::npos;
    }

    const std::string &m_line;
    std::size_t m_position = 0;
};

/// Makes @p line safe for terminals and JSON by replacing tabs and non-ASCII bytes; returns false if it has other
/// control characters, which no log line contains.
bool sanitizeText(std::string &line)
{
    for (char &c : line) {
        const unsigned char byte = static_cast<unsigned char>(c);
        if (c == '\t') {
            c = ' ';
        } else if (byte < 0x20U || byte == 0x7fU) {
            return false;
        } else if (byte > 0x7fU) {
            c = '?';
        }
    }
    return true;
}

} // namespace

std::string LogRecord::value(const std::string &key) const
{
    for (const std::pair<std::string, std::string> &field : fields) {
        if (field.first == key) {
            return field.second;
        }
    }
    return std::string();
}

std::optional<std::int64_t> LogRecord::number(const std::string &key) const
{
    return parseNonNegative(value(key));
}

std::optional<LogRecord> parseLogLine(const std::string &line)
{
    std::string text = line;
    if (!sanitizeText(text)) {
        return std::nullopt;
    }
    KeyValueReader pairs(text);
    LogRecord record;
    std::string key;
    std::string value;
    if (!pairs.next(key, value) || key != "ts_ms") {
        return std::nullopt;
    }
    const std::optional<std::int64_t> time = parseNonNegative(value);
    if (!time || *time > maxTimestamp || !pairs.next(key, record.node) || key != "node"
        || !pairs.next(key, record.event) || key != "event" || !isName(record.event)) {
        return std::nullopt;
    }
    record.time = LogTime(Milliseconds(*time));
    while (!pairs.atEnd()) {
        // The start of a second line within this one means that the end of the first was lost.
        if (!pairs.next(key, value) || key == "ts_ms" || key == "event") {
            return std::nullopt;
        }
        record.fields.emplace_back(key, value);
    }
    return record;
}

} // namespace fescueledge
