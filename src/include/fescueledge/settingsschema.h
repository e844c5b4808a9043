#pragma once

#include <cstdint>
#include <string>
#include <vector>

/// Schemas of the settings file and the table files: their sections and keys. The parser, the command-line help and the
/// documentation all use them.
namespace fescueledge {

/// How the value of a key is written.
enum class ValueType {
    Name, ///< Lowercase letters, digits and hyphens.
    Host, ///< A host name.
    UrlPath, ///< A path that starts with `/`.
    FilePath, ///< A path in the file system.
    Secret, ///< At least 16 printable characters without spaces.
    Address, ///< `ip:port`.
    Duration, ///< A whole number with `ms`, `s` or `min`.
    Size, ///< A whole number with `MB` or `GB`.
    Decimal, ///< A number with at most three decimals.
    TruncatedDecimal, ///< The same, but further decimals are ignored: a measure that a platform fills in.
    Integer, ///< A whole number.
    Percent, ///< A whole number with `%`.
    Boolean, ///< `yes` or `no`.
    LogLevel, ///< `info`, `warning` or `error`.
    MethodList, ///< HTTP methods, separated by commas.
    WorkerList, ///< Names of workers, or prefixes of names that end in `*`, separated by commas.
};

/// One key of a section.
struct SettingsKey
{
    const char *name;
    ValueType type;
    bool required; ///< True if the file must contain it.
    const char *defaultText; ///< Default value as written in the file; empty for none.
    std::int64_t min; ///< Minimum, in ms, MB, thousandths, percent or units, depending on the type.
    std::int64_t max; ///< Maximum, in the same unit.
    const char *doc; ///< One sentence in Markdown.
};

/// One kind of section.
struct SectionSchema
{
    std::string kind; ///< First word in the brackets.
    bool named = false; ///< True if a name follows the kind, as in `[route NAME]`; there may be several such sections.
    std::string doc;
    std::vector<SettingsKey> keys;
};

/// Sections of the daemon's settings file.
const std::vector<SectionSchema> &daemonSchema();
/// Sections of the table of routes.
const std::vector<SectionSchema> &routesSchema();
/// Sections of the table of pools.
const std::vector<SectionSchema> &poolsSchema();

/// Short description of how a value of @p type is written.
std::string valueFormat(ValueType type);
/// The range of @p key in the notation of the file, or an empty string if its type has none.
std::string rangeText(const SettingsKey &key);
/// Formats @p number as a value of @p type, such as `250ms`, `2GB` or `1.5`.
std::string numberText(ValueType type, std::int64_t number);

/// Parses @p text as a number of the type and range of @p key.
/// @throws Error with ErrorKind::InvalidArgument that describes the valid values.
std::int64_t parseNumber(const SettingsKey &key, const std::string &text);
/// Checks @p text as a value of the type of @p key.
/// @throws Error as parseNumber().
void checkText(const SettingsKey &key, const std::string &text);

/// A Markdown table of each section in @p schema.
std::string schemaMarkdown(const std::vector<SectionSchema> &schema);
/// The same tables as plain text for a terminal.
std::string schemaHelp(const std::vector<SectionSchema> &schema);

} // namespace fescueledge
