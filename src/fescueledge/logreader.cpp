#include "logreader_pvt.h"

#include "fescueledge/error.h"

#include <filesystem>
#include <limits>

namespace fescueledge {

namespace {

constexpr std::size_t maxLineLength = 16 * 1024; ///< Bytes; the longest lines contain an error message.

Error readError(const std::string &path)
{
    return Error(ErrorKind::InvalidArgument, "can't read " + path);
}

} // namespace

LogReader::LogReader(const std::string &path)
    : m_path(path)
    , m_buffer(maxLineLength + 1)
{
    // Each file is read twice, which a pipe doesn't allow.
    std::error_code ec;
    if (!std::filesystem::is_regular_file(path, ec)) {
        throw readError(path);
    }
    m_file.open(path, std::ios::binary);
    if (!m_file) {
        throw readError(path);
    }
}

bool LogReader::next(LogRecord &record)
{
    while (true) {
        const ReadResult result = readLine();
        if (result == ReadResult::EndOfFile) {
            return false;
        }
        std::optional<LogRecord> parsed = result == ReadResult::Line ? parseLogLine(m_line) : std::nullopt;
        if (parsed) {
            record = std::move(*parsed);
            return true;
        }
        m_unreadableLines += result == ReadResult::Damaged || !m_line.empty() ? 1 : 0;
    }
}

LogReader::ReadResult LogReader::readLine()
{
    m_file.getline(m_buffer.data(), static_cast<std::streamsize>(m_buffer.size()));
    const std::streamsize n = m_file.gcount();
    if (m_file.bad()) {
        throw readError(m_path);
    }
    if (m_file.eof()) {
        return n > 0 ? ReadResult::Damaged : ReadResult::EndOfFile;
    }
    if (m_file.fail()) {
        m_file.clear();
        m_file.ignore(std::numeric_limits<std::streamsize>::max(), '\n');
        return ReadResult::Damaged;
    }
    m_line.assign(m_buffer.data(), static_cast<std::size_t>(n - 1));
    return ReadResult::Line;
}

std::uint64_t LogReader::unreadableLines() const
{
    return m_unreadableLines;
}

} // namespace fescueledge
