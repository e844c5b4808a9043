#include "logreader_pvt.h"

#include "fescueledge/error.h"

#include <filesystem>
#include <limits>

namespace fescueledge {

namespace {

constexpr std::size_t longestLine = 16 * 1024; ///< Bytes; the longest lines carry a text of an error.

Error cantRead(const std::string &path)
{
    return Error(ErrorKind::InvalidArgument, "can't read " + path);
}

} // namespace

LogReader::LogReader(const std::string &path)
    : m_path(path)
    , m_buffer(longestLine + 1)
{
    // Each file is read twice, which a pipe can't be.
    std::error_code ec;
    if (!std::filesystem::is_regular_file(path, ec)) {
        throw cantRead(path);
    }
    m_file.open(path, std::ios::binary);
    if (!m_file) {
        throw cantRead(path);
    }
}

bool LogReader::next(LogRecord &record)
{
    while (true) {
        const Found found = readLine();
        if (found == Found::Nothing) {
            return false;
        }
        std::optional<LogRecord> read = found == Found::Line ? parseLogLine(m_line) : std::nullopt;
        if (read) {
            record = std::move(*read);
            return true;
        }
        m_unreadable += found == Found::Damaged || !m_line.empty() ? 1 : 0;
    }
}

LogReader::Found LogReader::readLine()
{
    m_file.getline(m_buffer.data(), static_cast<std::streamsize>(m_buffer.size()));
    const std::streamsize n = m_file.gcount();
    if (m_file.bad()) {
        throw cantRead(m_path);
    }
    if (m_file.eof()) {
        return n > 0 ? Found::Damaged : Found::Nothing;
    }
    if (m_file.fail()) {
        m_file.clear();
        m_file.ignore(std::numeric_limits<std::streamsize>::max(), '\n');
        return Found::Damaged;
    }
    m_line.assign(m_buffer.data(), static_cast<std::size_t>(n - 1));
    return Found::Line;
}

std::uint64_t LogReader::unreadable() const
{
    return m_unreadable;
}

} // namespace fescueledge
