#include "jsontext_pvt.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <ostream>

namespace fescueledge {

namespace {

std::string cellText(const nlohmann::json &value)
{
    if (value.is_string()) {
        std::string plain = value.get<std::string>();
        return plain.empty() ? std::string("-") : plain;
    }
    if (value.is_boolean()) {
        return value.get<bool>() ? "yes" : "no";
    }
    std::string text;
    if (value.is_object()) {
        for (nlohmann::json::const_iterator it = value.begin(); it != value.end(); ++it) {
            text += (text.empty() ? "" : " ") + it.key() + "=" + cellText(*it);
        }
        return text;
    }
    if (!value.is_array()) {
        return value.is_null() ? std::string("-") : value.dump();
    }
    for (const nlohmann::json &item : value) {
        text += text.empty() ? cellText(item) : ", " + cellText(item);
    }
    return text.empty() ? std::string("-") : text;
}

bool isTable(const nlohmann::json &value)
{
    return value.is_array() && !value.empty() && value.front().is_object();
}

/// @p columns, then the other members of @p rows sorted by name.
std::vector<std::string> allColumns(const nlohmann::json &rows, const std::vector<std::string> &columns)
{
    std::vector<std::string> others;
    for (const nlohmann::json &row : rows) {
        for (nlohmann::json::const_iterator it = row.begin(); it != row.end(); ++it) {
            bool known = std::find(columns.begin(), columns.end(), it.key()) != columns.end()
                || std::find(others.begin(), others.end(), it.key()) != others.end();
            if (!known) {
                others.push_back(it.key());
            }
        }
    }
    std::sort(others.begin(), others.end());
    std::vector<std::string> all = columns;
    all.insert(all.end(), others.begin(), others.end());
    return all;
}

using Line = std::vector<std::string>;

void printLine(std::ostream &out, const Line &line, const std::vector<std::size_t> &widths)
{
    std::string text;
    for (std::size_t i = 0; i < line.size(); ++i) {
        text += line[i] + std::string(widths[i] - line[i].size() + 2, ' ');
    }
    text.erase(text.find_last_not_of(' ') + 1);
    out << text << '\n';
}

} // namespace

void printTable(std::ostream &out, const nlohmann::json &rows, const std::vector<std::string> &columns)
{
    std::vector<Line> lines{allColumns(rows, columns)};
    for (const nlohmann::json &row : rows) {
        Line line;
        for (const std::string &column : lines.front()) {
            line.push_back(row.contains(column) ? cellText(row[column]) : std::string("-"));
        }
        lines.push_back(line);
    }
    std::vector<std::size_t> widths(lines.front().size(), 0);
    for (const Line &line : lines) {
        for (std::size_t i = 0; i < line.size(); ++i) {
            widths[i] = std::max(widths[i], line[i].size());
        }
    }
    for (const Line &line : lines) {
        printLine(out, line, widths);
    }
}

void printObject(std::ostream &out, const nlohmann::json &object, const std::string &indent)
{
    for (nlohmann::json::const_iterator it = object.begin(); it != object.end(); ++it) {
        if (!isTable(*it) && !it->is_object()) {
            out << indent << it.key() << ": " << cellText(*it) << '\n';
        }
    }
    for (nlohmann::json::const_iterator it = object.begin(); it != object.end(); ++it) {
        if (isTable(*it)) {
            out << '\n' << indent << it.key() << ":\n";
            printTable(out, *it, {});
        } else if (it->is_object()) {
            out << indent << it.key() << ":\n";
            printObject(out, *it, indent + "  ");
        }
    }
}

} // namespace fescueledge
