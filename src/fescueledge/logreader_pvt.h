#pragma once

#include "logrecord_pvt.h"

#include <cstdint>
#include <fstream>
#include <string>
#include <vector>

namespace fescueledge {

/// Reads the lines of one saved log, one after the other, in bounded memory.
class LogReader
{
public:
    /// @throws Error with InvalidArgument if @p path is no file that can be read.
    explicit LogReader(const std::string &path);

    /// Reads on to the next readable line; false at the end of the file.
    /// @throws Error with InvalidArgument if the file can't be read on.
    bool next(LogRecord &record);
    /// Lines passed over so far as they were damaged, too long, or no log lines. Empty ones don't count.
    std::uint64_t unreadableLines() const;

private:
    /// What was found where a line should be.
    enum class ReadResult {
        Line,
        Damaged, ///< Longer than a line may be, or without its end.
        EndOfFile, ///< The end of the file.
    };
    ReadResult readLine();

    std::string m_path;
    std::ifstream m_file;
    std::vector<char> m_buffer;
    std::string m_line;
    std::uint64_t m_unreadableLines = 0;
};

} // namespace fescueledge
