#include "inidocument_pvt.h"

#include <ini.h>
#include <mutex>

namespace fescueledge {

namespace {

constexpr std::size_t maxLineLength = 8000; ///< Characters in one line.
constexpr int lineBufferSize = 8192; ///< Bytes of inih's line buffer: above maxLineLength plus what readHeader() adds.

/// inih keeps its options in global variables.
void configureInih()
{
    static std::once_flag once;
    std::call_once(once, [] {
        ini_use_stack = false;
        ini_max_line = lineBufferSize;
        ini_initial_alloc = lineBufferSize;
        ini_allow_multiline = false;
    });
}

int storeEntry(void *user, const char *section, const char *name, const char *value)
{
    IniSection &target = *static_cast<IniSection *>(user);
    target.name = section;
    target.entries.push_back({name, value, 0});
    return 1;
}

/// Parses a single line. inih is called line by line because it reports neither line numbers, nor empty sections, nor
/// any error after the first.
bool parseLine(const std::string &line, IniSection &parsed)
{
    return ini_parse_string(line.c_str(), storeEntry, &parsed) == 0;
}

std::string trimmed(const std::string &text)
{
    const char *blanks = " \t\r";
    std::size_t first = text.find_first_not_of(blanks);
    if (first == std::string::npos) {
        return {};
    }
    return text.substr(first, text.find_last_not_of(blanks) - first + 1);
}

bool hasControlCharacter(const std::string &line)
{
    for (char c : line) {
        if (static_cast<unsigned char>(c) < ' ' && c != '\t' && c != '\r') {
            return true;
        }
    }
    return false;
}

/// Collects the sections of one file.
class IniReader
{
public:
    IniReader(const std::string &fileName, Findings &findings)
        : m_fileName(fileName)
        , m_findings(findings)
    {
    }

    void readLine(const std::string &line)
    {
        ++m_line;
        if (line.size() > maxLineLength) {
            addFinding("the line is too long", "at most " + std::to_string(maxLineLength) + " characters");
        } else if (hasControlCharacter(line)) {
            addFinding("the line has a control character", "write plain text");
        } else if (trimmed(line).rfind('[', 0) == 0) {
            readHeader(line);
        } else {
            readEntry(line);
        }
    }

    std::vector<IniSection> takeSections()
    {
        return std::move(m_sections);
    }

private:
    void readHeader(const std::string &line)
    {
        IniSection parsed;
        bool valid = parseLine(line + "\n_=", parsed);
        std::size_t close = line.find(']');
        std::string rest = close == std::string::npos ? std::string() : trimmed(line.substr(close + 1));
        bool restIsComment = rest.empty() || rest[0] == ';' || rest[0] == '#';
        if (!valid || !restIsComment) {
            m_skipEntries = true;
            addFinding("the section header is malformed", "write [section] alone on its line");
            return;
        }
        m_skipEntries = false;
        m_sections.push_back({trimmed(parsed.name), m_line, {}});
    }

    void readEntry(const std::string &line)
    {
        IniSection parsed;
        if (!parseLine(line, parsed)) {
            addFinding("the line is neither a section nor a key", "write key = value");
            return;
        }
        if (parsed.entries.empty() || m_skipEntries) {
            return;
        }
        IniEntry entry = parsed.entries.front();
        entry.line = m_line;
        if (m_sections.empty()) {
            m_findings.push_back({m_fileName, m_line, "", entry.key, "the key stands before the first section",
                                  "put it below a [section] line"});
            return;
        }
        m_sections.back().entries.push_back(entry);
    }

    void addFinding(const std::string &problem, const std::string &remedy)
    {
        std::string section = m_sections.empty() || m_skipEntries ? std::string() : m_sections.back().name;
        m_findings.push_back({m_fileName, m_line, section, "", problem, remedy});
    }

    const std::string &m_fileName;
    Findings &m_findings;
    std::vector<IniSection> m_sections;
    int m_line = 0;
    bool m_skipEntries = false; ///< True below a malformed header: its keys belong to no section.
};

} // namespace

std::vector<IniSection> readIni(const std::string &text, const std::string &fileName, Findings &findings)
{
    configureInih();
    IniReader reader(fileName, findings);
    std::size_t start = 0;
    while (start < text.size()) {
        std::size_t end = std::min(text.find('\n', start), text.size());
        reader.readLine(text.substr(start, end - start));
        start = end + 1;
    }
    return reader.takeSections();
}

} // namespace fescueledge
