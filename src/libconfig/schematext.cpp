#include "fescueledge/settingsschema.h"

#include <map>

namespace fescueledge {

namespace {

constexpr std::int64_t msPerSecond = 1000;
constexpr std::int64_t mbPerGb = 1024;
constexpr std::int64_t decimalScale = 1000;

std::string decimalText(std::int64_t number)
{
    std::string text = std::to_string(number / decimalScale);
    std::string decimals = std::to_string(decimalScale + number % decimalScale).substr(1);
    decimals.erase(decimals.find_last_not_of('0') + 1);
    return decimals.empty() ? text : text + "." + decimals;
}

std::string scaledText(std::int64_t number, std::int64_t perLarge, const char *small, const char *large)
{
    if (number != 0 && number % perLarge == 0) {
        return std::to_string(number / perLarge) + large;
    }
    return std::to_string(number) + small;
}

std::string defaultColumn(const SettingsKey &key)
{
    if (key.required) {
        return "required";
    }
    return *key.defaultText == '\0' ? std::string("none") : key.defaultText;
}

std::string sectionHeader(const SectionSchema &section)
{
    return "[" + section.kind + (section.named ? " NAME]" : "]");
}

} // namespace

std::string valueFormat(ValueType type)
{
    static const std::map<ValueType, const char *> formats{
        {ValueType::Name, "a name of a-z, 0-9 and -"},
        {ValueType::Host, "a host name in lowercase"},
        {ValueType::UrlPath, "a path that starts with /"},
        {ValueType::FilePath, "a file path"},
        {ValueType::Secret, "16 or more printable characters"},
        {ValueType::Address, "ip:port"},
        {ValueType::Duration, "a whole number with ms, s or min"},
        {ValueType::Size, "a whole number with MB or GB"},
        {ValueType::Decimal, "a number with at most three decimals"},
        {ValueType::TruncatedDecimal, "a number, of which three decimals count"},
        {ValueType::Integer, "a whole number"},
        {ValueType::Percent, "a whole number with %"},
        {ValueType::Boolean, "yes or no"},
        {ValueType::LogLevel, "info, warning or error"},
        {ValueType::MethodList, "HTTP methods separated by commas"},
        {ValueType::WorkerList, "worker names, or prefixes that end in *, separated by commas"},
    };
    return formats.at(type);
}

std::string numberText(ValueType type, std::int64_t number)
{
    switch (type) {
    case ValueType::Duration:
        return scaledText(number, msPerSecond, "ms", "s");
    case ValueType::Size:
        return scaledText(number, mbPerGb, "MB", "GB");
    case ValueType::Decimal:
    case ValueType::TruncatedDecimal:
        return decimalText(number);
    case ValueType::Percent:
        return std::to_string(number) + "%";
    default:
        return std::to_string(number);
    }
}

std::string rangeText(const SettingsKey &key)
{
    if (key.min == key.max) {
        return {};
    }
    return numberText(key.type, key.min) + " to " + numberText(key.type, key.max);
}

std::string schemaMarkdown(const std::vector<SectionSchema> &schema)
{
    std::string text;
    for (const SectionSchema &section : schema) {
        text += "#### `" + sectionHeader(section) + "`\n\n" + section.doc + "\n\n";
        text += "| key | written as | range | default | meaning |\n| --- | --- | --- | --- | --- |\n";
        for (const SettingsKey &key : section.keys) {
            std::string range = rangeText(key);
            text += "| `" + std::string(key.name) + "` | " + valueFormat(key.type) + " | "
                + (range.empty() ? "any" : range) + " | " + defaultColumn(key) + " | " + key.doc + " |\n";
        }
        text += "\n";
    }
    return text;
}

std::string schemaHelp(const std::vector<SectionSchema> &schema)
{
    std::string text;
    for (const SectionSchema &section : schema) {
        text += sectionHeader(section) + "  " + section.doc + "\n";
        for (const SettingsKey &key : section.keys) {
            std::string range = rangeText(key);
            text += "  " + std::string(key.name) + " = " + valueFormat(key.type)
                + (range.empty() ? "" : " (" + range + ")") + ", default " + defaultColumn(key) + "\n      " + key.doc
                + "\n";
        }
    }
    return text;
}

} // namespace fescueledge
