#include "sectionchecker_pvt.h"

#include "inidocument_pvt.h"
#include "nearestname_pvt.h"

namespace fescueledge {

namespace {

std::vector<std::string> keyNames(const SectionSchema &schema)
{
    std::vector<std::string> names;
    for (const SettingsKey &key : schema.keys) {
        names.emplace_back(key.name);
    }
    return names;
}

const SettingsKey *findKey(const SectionSchema &schema, const std::string &name)
{
    for (const SettingsKey &key : schema.keys) {
        if (name == key.name) {
            return &key;
        }
    }
    return nullptr;
}

/// Checks the sections of one file.
class SectionChecker
{
public:
    SectionChecker(const std::string &fileName, const std::vector<SectionSchema> &schema, Findings &findings)
        : m_fileName(fileName)
        , m_schema(schema)
        , m_findings(findings)
    {
    }

    void check(const IniSection &ini)
    {
        CheckedSection section = splitHeader(ini);
        const SectionSchema *schema = findSchema(section.kind);
        if (schema == nullptr) {
            addFinding(section, "", section.line, "the section is unknown", suggestName(section.kind, kinds()));
            return;
        }
        if (!checkHeader(section, *schema)) {
            return;
        }
        for (const IniEntry &entry : ini.entries) {
            checkEntry(section, *schema, entry);
        }
        addMissing(section, *schema, ini);
        m_sections.push_back(section);
    }

    /// Adds the unnamed sections that are missing from the file, with their defaults.
    void addAbsentSections()
    {
        for (const SectionSchema &schema : m_schema) {
            if (schema.named || m_firstLines.count(schema.kind) != 0) {
                continue;
            }
            CheckedSection section{schema.kind, "", schema.kind, 0, {}};
            addMissing(section, schema, IniSection());
            m_sections.push_back(section);
        }
    }

    std::vector<CheckedSection> takeSections()
    {
        return std::move(m_sections);
    }

private:
    static CheckedSection splitHeader(const IniSection &ini)
    {
        std::size_t space = std::min(ini.name.find_first_of(" \t"), ini.name.size());
        std::size_t start = std::min(ini.name.find_first_not_of(" \t", space), ini.name.size());
        return {ini.name.substr(0, space), ini.name.substr(start), ini.name, ini.line, {}};
    }

    /// Adds findings about the section header. Returns false if the section can't be told apart from others; its keys
    /// are not checked then.
    bool checkHeader(const CheckedSection &section, const SectionSchema &schema)
    {
        if (schema.named && !isValidName(section.name)) {
            addFinding(section, "", section.line, "the section needs a name of a-z, 0-9 and -, at most 40 characters",
                       "write [" + schema.kind + " NAME]");
            return false;
        }
        if (!schema.named && !section.name.empty()) {
            addFinding(section, "", section.line, "the section takes no name", "write [" + schema.kind + "]");
        }
        std::string identity = schema.named ? section.kind + " " + section.name : section.kind;
        if (!m_firstLines.emplace(identity, section.line).second) {
            addFinding(section, "", section.line,
                       "the section stands twice, first on line " + std::to_string(m_firstLines[identity]),
                       "rename or remove one of them");
            return false;
        }
        return true;
    }

    void checkEntry(CheckedSection &section, const SectionSchema &schema, const IniEntry &entry)
    {
        const SettingsKey *key = findKey(schema, entry.key);
        if (key == nullptr) {
            addFinding(section, entry.key, entry.line, "the key is unknown in this section",
                       suggestName(entry.key, keyNames(schema)));
            return;
        }
        std::map<std::string, CheckedValue>::const_iterator it = section.values.find(entry.key);
        if (it != section.values.end()) {
            addFinding(section, entry.key, entry.line,
                       "the key stands twice, first on line " + std::to_string(it->second.line), "remove one of them");
            return;
        }
        ValueResult result = readValue(*key, entry.value);
        if (!result.problem.empty()) {
            addFinding(section, entry.key, entry.line, result.problem, result.remedy);
            return;
        }
        section.values[entry.key] = {result.value, entry.line};
    }

    /// For each key that is missing from @p ini, adds a finding if it is required, otherwise its default.
    void addMissing(CheckedSection &section, const SectionSchema &schema, const IniSection &ini)
    {
        for (const SettingsKey &key : schema.keys) {
            if (hasEntry(ini, key.name)) {
                continue;
            }
            if (key.required) {
                addFinding(section, key.name, section.line, "the key is missing", "write " + valueFormat(key.type));
            } else if (*key.defaultText != '\0') {
                section.values[key.name] = {readValue(key, key.defaultText).value, 0};
            }
        }
    }

    static bool hasEntry(const IniSection &ini, const std::string &key)
    {
        for (const IniEntry &entry : ini.entries) {
            if (entry.key == key) {
                return true;
            }
        }
        return false;
    }

    const SectionSchema *findSchema(const std::string &kind) const
    {
        for (const SectionSchema &schema : m_schema) {
            if (schema.kind == kind) {
                return &schema;
            }
        }
        return nullptr;
    }

    std::vector<std::string> kinds() const
    {
        std::vector<std::string> names;
        for (const SectionSchema &schema : m_schema) {
            names.push_back(schema.kind);
        }
        return names;
    }

    void addFinding(const CheckedSection &section, const std::string &key, int line, const std::string &problem,
                    const std::string &remedy)
    {
        m_findings.push_back({m_fileName, line, section.header, key, problem, remedy});
    }

    const std::string &m_fileName;
    const std::vector<SectionSchema> &m_schema;
    Findings &m_findings;
    std::map<std::string, int> m_firstLines; ///< Line of the first section with each identity.
    std::vector<CheckedSection> m_sections;
};

} // namespace

int CheckedSection::lineOf(const std::string &key) const
{
    std::map<std::string, CheckedValue>::const_iterator it = values.find(key);
    return it == values.end() || it->second.line == 0 ? line : it->second.line;
}

std::vector<CheckedSection> checkSections(const std::string &text, const std::string &fileName,
                                          const std::vector<SectionSchema> &schema, Findings &findings)
{
    SectionChecker checker(fileName, schema, findings);
    for (const IniSection &section : readIni(text, fileName, findings)) {
        checker.check(section);
    }
    checker.addAbsentSections();
    return checker.takeSections();
}

} // namespace fescueledge
