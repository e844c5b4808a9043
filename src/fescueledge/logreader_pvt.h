#pragma once

#include "logrecord_pvt.h"

#include <cstdint>
#include <fstream>
#include <string>
#include <vector>

namespace fescueledge {

/// Reads one saved log line by line, in bounded memory.
class LogReader
{
public:
    /// @throws Error with InvalidArgument if @p path is not a readable regular file.
    explicit LogReader(const std::string &path);

    /// Skips to the next readable line and parses it into @p record; returns false at the end of the file.
    /// @throws Error with InvalidArgument if reading fails.
    bool next(LogRecord &record);
    /// Lines skipped so far because they were damaged, too long or not log lines. Empty lines don't count.
    std::uint64_t unreadableLines() const;

private:
    /// Result of reading one line.
    enum class ReadResult {
        Line,
        Damaged, ///< Too long, or without a line end.
        EndOfFile,
    };
    ReadResult readLine();

    std::string m_path;
    std::ifstream m_file;
    std::vector<char> m_buffer;
    std::string m_line;
    std::uint64_t m_unreadableLines = 0;
};

} // namespace fescueledge
