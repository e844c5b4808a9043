#include "settingvalue_pvt.h"

#include "fescueledge/error.h"

#include <algorithm>
#include <arpa/inet.h>
#include <charconv>
#include <map>

namespace fescueledge {

namespace {

constexpr std::size_t maxNameLength = 40;
constexpr std::size_t minSecretLength = 16;
constexpr std::int64_t decimalScale = 1000;
constexpr std::int64_t maxPort = 65535;

using Units = std::map<std::string, std::int64_t>;

bool consistsOf(const std::string &text, const char *allowed)
{
    return !text.empty() && text.find_first_not_of(allowed) == std::string::npos;
}

const char *const lowerAndDigits = "abcdefghijklmnopqrstuvwxyz0123456789";

ValueResult refused(const std::string &problem, const std::string &remedy)
{
    ValueResult result;
    result.problem = problem;
    result.remedy = remedy;
    return result;
}

ValueResult accepted(const std::string &text)
{
    ValueResult result;
    result.value.text = text;
    return result;
}

/// Parses all of @p text as a whole number. Returns false on overflow or if any other character is left.
bool parseInt64(const std::string &text, std::int64_t &number)
{
    const char *end = text.data() + text.size();
    std::from_chars_result result = std::from_chars(text.data(), end, number);
    return result.ec == std::errc() && result.ptr == end;
}

ValueResult checkRange(const SettingsKey &key, std::int64_t number)
{
    if (number < key.min || number > key.max) {
        return refused("the value is out of range", "write " + rangeText(key));
    }
    ValueResult result;
    result.value.number = number;
    return result;
}

ValueResult readWithUnit(const SettingsKey &key, const std::string &text, const Units &units)
{
    std::size_t split = std::min(text.find_first_not_of("-0123456789"), text.size());
    std::int64_t number = 0;
    if (!parseInt64(text.substr(0, split), number)) {
        return refused("the value is no number with a unit", "write " + valueFormat(key.type));
    }
    std::string unit = text.substr(split);
    Units::const_iterator it = units.find(unit);
    if (it == units.end()) {
        return refused(unit.empty() ? "the unit is missing" : "the unit " + unit + " is wrong",
                       "write " + valueFormat(key.type));
    }
    std::int64_t scaled = 0;
    if (__builtin_mul_overflow(number, it->second, &scaled)) {
        return refused("the value is out of range", "write " + rangeText(key));
    }
    return checkRange(key, scaled);
}

ValueResult readDuration(const SettingsKey &key, const std::string &text)
{
    static const Units units{{"ms", 1}, {"s", 1000}, {"min", 60000}};
    return readWithUnit(key, text, units);
}

ValueResult readSize(const SettingsKey &key, const std::string &text)
{
    static const Units units{{"MB", 1}, {"GB", 1024}};
    return readWithUnit(key, text, units);
}

ValueResult readPercent(const SettingsKey &key, const std::string &text)
{
    static const Units units{{"%", 1}};
    return readWithUnit(key, text, units);
}

ValueResult readInteger(const SettingsKey &key, const std::string &text)
{
    std::int64_t number = 0;
    if (!parseInt64(text, number)) {
        return refused("the value is no whole number", "write " + rangeText(key));
    }
    return checkRange(key, number);
}

ValueResult readDecimal(const SettingsKey &key, const std::string &text)
{
    std::size_t dot = std::min(text.find('.'), text.size());
    std::string decimals = dot == text.size() ? std::string("0") : text.substr(dot + 1);
    std::int64_t whole = 0;
    std::int64_t part = 0;
    bool valid = consistsOf(decimals, "0123456789") && decimals.size() <= 3 && parseInt64(text.substr(0, dot), whole);
    if (!valid || whole < 0) {
        return refused("the value is no number with at most three decimals", "write " + rangeText(key));
    }
    decimals.resize(3, '0');
    parseInt64(decimals, part);
    std::int64_t scaled = 0;
    if (__builtin_mul_overflow(whole, decimalScale, &scaled) || __builtin_add_overflow(scaled, part, &scaled)) {
        return refused("the value is out of range", "write " + rangeText(key));
    }
    return checkRange(key, scaled);
}

ValueResult readTruncatedDecimal(const SettingsKey &key, const std::string &text)
{
    constexpr std::size_t decimals = 3;
    const std::size_t dot = std::min(text.find('.'), text.size());
    const std::size_t end = std::min(dot + 1 + decimals, text.size());
    const std::string ignored = text.substr(end);
    if (!ignored.empty() && !consistsOf(ignored, "0123456789")) {
        return refused("the value is no number", "write " + rangeText(key));
    }
    return readDecimal(key, text.substr(0, end));
}

ValueResult readBoolean(const SettingsKey &, const std::string &text)
{
    if (text != "yes" && text != "no") {
        return refused("the value is neither yes nor no", "write yes or no");
    }
    ValueResult result;
    result.value.number = text == "yes" ? 1 : 0;
    return result;
}

ValueResult readName(const SettingsKey &, const std::string &text)
{
    if (!isValidName(text)) {
        return refused("the name has other characters than a-z, 0-9 and -, or more than 40 of them",
                       "write a name such as preview-2");
    }
    return accepted(text);
}

ValueResult readHost(const SettingsKey &, const std::string &text)
{
    if (!consistsOf(text, "abcdefghijklmnopqrstuvwxyz0123456789.-")) {
        return refused("the value is no host name in lowercase", "write a host such as shop.example.com");
    }
    return accepted(text);
}

ValueResult readUrlPath(const SettingsKey &, const std::string &text)
{
    if (text[0] != '/' || text.find_first_of(" \t?#") != std::string::npos) {
        return refused("the value is no path", "write a path that starts with / and has no ?, # or space");
    }
    return accepted(text);
}

ValueResult readFilePath(const SettingsKey &, const std::string &text)
{
    return accepted(text);
}

ValueResult readSecret(const SettingsKey &, const std::string &text)
{
    bool printable = std::all_of(text.begin(), text.end(), [](char c) {
        return c > ' ' && c < '\x7f';
    });
    if (text.size() < minSecretLength || !printable) {
        return refused("the value is shorter than 16 characters or has spaces or other than ASCII characters",
                       "write 16 or more printable characters");
    }
    return accepted(text);
}

ValueResult readAddress(const SettingsKey &, const std::string &text)
{
    std::size_t colon = text.rfind(':');
    std::int64_t port = 0;
    in_addr parsed{};
    bool valid = colon != std::string::npos && parseInt64(text.substr(colon + 1), port) && port >= 1 && port <= maxPort
        && inet_pton(AF_INET, text.substr(0, colon).c_str(), &parsed) == 1;
    if (!valid) {
        return refused("the value is no ip:port", "write an IPv4 address and a port, such as 10.0.0.1:8080");
    }
    return accepted(text);
}

ValueResult readLogLevel(const SettingsKey &, const std::string &text)
{
    if (text != "info" && text != "warning" && text != "error") {
        return refused("the level is unknown", "write info, warning or error");
    }
    return accepted(text);
}

std::vector<std::string> splitList(const std::string &text)
{
    std::vector<std::string> items;
    std::size_t start = 0;
    while (start <= text.size()) {
        std::size_t end = std::min(text.find(',', start), text.size());
        std::string item = text.substr(start, end - start);
        std::size_t first = std::min(item.find_first_not_of(" \t"), item.size());
        std::size_t last = item.find_last_not_of(" \t");
        items.push_back(first == item.size() ? std::string() : item.substr(first, last - first + 1));
        start = end + 1;
    }
    return items;
}

ValueResult readList(const std::string &text, bool (*isValid)(const std::string &), const std::string &remedy)
{
    ValueResult result;
    for (const std::string &item : splitList(text)) {
        if (!isValid(item)) {
            return refused("the item \"" + item + "\" of the list is malformed", remedy);
        }
        const std::vector<std::string> &list = result.value.list;
        if (std::find(list.begin(), list.end(), item) != list.end()) {
            return refused("the item " + item + " stands twice", "write it once");
        }
        result.value.list.push_back(item);
    }
    return result;
}

bool isMethod(const std::string &item)
{
    return consistsOf(item, "ABCDEFGHIJKLMNOPQRSTUVWXYZ");
}

bool isWorkerPattern(const std::string &item)
{
    if (item == "*") {
        return true;
    }
    std::string name = !item.empty() && item.back() == '*' ? item.substr(0, item.size() - 1) : item;
    return consistsOf(name, "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789._-");
}

ValueResult readMethods(const SettingsKey &, const std::string &text)
{
    return readList(text, isMethod, "write methods in capitals, separated by commas, such as GET, HEAD");
}

ValueResult readWorkers(const SettingsKey &, const std::string &text)
{
    return readList(text, isWorkerPattern, "write names of workers, or prefixes that end in *, separated by commas");
}

using Reader = ValueResult (*)(const SettingsKey &, const std::string &);

const std::map<ValueType, Reader> &readers()
{
    static const std::map<ValueType, Reader> table{
        {ValueType::Name, readName},          {ValueType::Host, readHost},
        {ValueType::UrlPath, readUrlPath},    {ValueType::FilePath, readFilePath},
        {ValueType::Secret, readSecret},      {ValueType::Address, readAddress},
        {ValueType::Duration, readDuration},  {ValueType::Size, readSize},
        {ValueType::Decimal, readDecimal},    {ValueType::TruncatedDecimal, readTruncatedDecimal},
        {ValueType::Integer, readInteger},    {ValueType::Percent, readPercent},
        {ValueType::Boolean, readBoolean},    {ValueType::LogLevel, readLogLevel},
        {ValueType::MethodList, readMethods}, {ValueType::WorkerList, readWorkers},
    };
    return table;
}

} // namespace

bool isValidName(const std::string &name)
{
    return name.size() <= maxNameLength && consistsOf(name, (std::string(lowerAndDigits) + "-").c_str());
}

ValueResult readValue(const SettingsKey &key, const std::string &text)
{
    if (text.empty()) {
        return refused("the key has no value", "write " + valueFormat(key.type) + ", or leave the key out");
    }
    return readers().at(key.type)(key, text);
}

std::int64_t parseNumber(const SettingsKey &key, const std::string &text)
{
    ValueResult result = readValue(key, text);
    if (!result.problem.empty()) {
        throw Error(ErrorKind::InvalidArgument, std::string(key.name) + ": " + result.problem + "; " + result.remedy);
    }
    return result.value.number;
}

void checkText(const SettingsKey &key, const std::string &text)
{
    parseNumber(key, text);
}

} // namespace fescueledge
