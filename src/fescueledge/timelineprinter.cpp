#include "timelineprinter_pvt.h"

#include <array>
#include <cstdio>
#include <ctime>
#include <nlohmann/json.hpp>
#include <ostream>

namespace fescueledge {

namespace {

constexpr std::size_t timeColumn = 12; ///< Characters; wide enough for a day in seconds.
constexpr std::size_t nodeColumn = 10; ///< Characters; wide enough for a common node name.

std::string padded(std::string text, std::size_t size)
{
    text.resize(std::max(text.size(), size), ' ');
    return text;
}

/// As `2026-12-04T07:16:44.567Z`.
std::string dateText(LogTime time)
{
    const std::int64_t ms = time.time_since_epoch().count();
    const std::time_t seconds = static_cast<std::time_t>(ms / 1000);
    std::tm utc{};
    gmtime_r(&seconds, &utc);
    std::array<char, 32> date{};
    std::strftime(date.data(), date.size(), "%Y-%m-%dT%H:%M:%S", &utc);
    std::array<char, 8> rest{};
    std::snprintf(rest.data(), rest.size(), ".%03dZ", static_cast<int>(ms % 1000));
    return std::string(date.data()) + rest.data();
}

/// As `1.250 s`.
std::string secondsText(Milliseconds time)
{
    std::array<char, 32> text{};
    std::snprintf(text.data(), text.size(), "%.3f s", static_cast<double>(time.count()) / 1000.0);
    return text.data();
}

std::string sinceText(Milliseconds time)
{
    return (time.count() < 0 ? "" : "+") + secondsText(time);
}

std::string countsText(const Counts &counts)
{
    std::string text;
    for (const std::pair<const std::string, std::uint64_t> &it : counts) {
        text += (text.empty() ? "" : ", ") + it.first + " " + std::to_string(it.second);
    }
    return text.empty() ? "none" : text;
}

/// The fields of @p record as in the log, without the id of @p job, also where it is the prefix of a task id.
std::string fieldsText(const LogRecord &record, const JobId &job)
{
    std::string text;
    for (const std::pair<std::string, std::string> &field : record.fields) {
        if (field.first == "job" && field.second == job) {
            continue;
        }
        const bool hasJobPrefix = field.first == "task" && field.second.compare(0, job.size() + 1, job + ".") == 0;
        const std::string value = hasJobPrefix ? field.second.substr(job.size() + 1) : field.second;
        const bool needsQuotes = value.empty() || value.find_first_of(" =") != std::string::npos;
        text += " " + field.first + "=" + (needsQuotes ? "\"" + value + "\"" : value);
    }
    return text;
}

nlohmann::json timeJson(const std::optional<LogTime> &time)
{
    return time ? nlohmann::json(time->time_since_epoch().count()) : nlohmann::json();
}

nlohmann::json idleJson(const IdleSpan &idle)
{
    return {{"from_ts_ms", timeJson(idle.from)},
            {"ms", (idle.to - idle.from).count()},
            {"step_waits", idle.stepWaits},
            {"around", idle.contextEvents}};
}

bool equalExceptTime(const LogRecord &a, const LogRecord &b)
{
    return a.node == b.node && a.event == b.event && a.fields == b.fields;
}

} // namespace

TimelinePrinter::TimelinePrinter(const JobTimeline &timeline, const JobSummary &summary)
    : m_timeline(timeline)
    , m_summary(summary)
{
}

Milliseconds TimelinePrinter::sinceOrigin(LogTime time) const
{
    return time - m_summary.origin;
}

void TimelinePrinter::printText(std::ostream &out) const
{
    const std::vector<TimelineLine> &lines = m_timeline.lines();
    for (std::size_t i = 0; i < lines.size(); ++i) {
        std::size_t last = i;
        while (!lines[i].namesJob && last + 1 < lines.size()
               && equalExceptTime(lines[i].record, lines[last + 1].record)) {
            ++last;
        }
        printLine(out, lines[i]);
        if (last > i) {
            out << " (" << last - i + 1 << " times until " << sinceText(sinceOrigin(lines[last].record.time)) << ")";
        }
        out << '\n';
        i = last;
    }
    out << "\njob " << m_timeline.job() << '\n' << "accepted: ";
    if (m_summary.accepted) {
        out << dateText(*m_summary.accepted) << " by " << m_summary.acceptedBy << ", queue " << m_summary.queue << '\n';
    } else {
        out << "not in these logs (job_submit said: " << countsText(m_summary.submissions)
            << "); times count from its first line, " << dateText(m_summary.origin) << '\n';
    }
    out << "first start: "
        << (m_summary.firstStart ? sinceText(sinceOrigin(*m_summary.firstStart)) : "none in these logs") << '\n';
    printIdle(out, "longest time with nothing running", m_summary.longestIdle);
    printIdle(out, "longest time without news of it", m_summary.longestSilence);
    out << "runs: " << countsText(m_summary.runs) << '\n';
    if (!m_summary.notStarted.empty()) {
        out << "orders that started nothing known: " << countsText(m_summary.notStarted) << '\n';
    }
    printEnd(out);
    printCaveats(out);
}

void TimelinePrinter::printLine(std::ostream &out, const TimelineLine &line) const
{
    const LogRecord &record = line.record;
    out << padded(sinceText(sinceOrigin(record.time)), timeColumn) << ' ' << padded(record.node, nodeColumn)
        << (line.namesJob ? "  " : "| ") << record.event << fieldsText(record, m_timeline.job());
}

void TimelinePrinter::printIdle(std::ostream &out, const char *name, const IdleSpan &idle) const
{
    out << name << ": " << secondsText(idle.to - idle.from) << ", from " << sinceText(sinceOrigin(idle.from)) << " to "
        << sinceText(sinceOrigin(idle.to)) << '\n'
        << "  step_waits said: " << (idle.stepWaits.empty() ? "nothing" : countsText(idle.stepWaits)) << '\n'
        << "  around it: " << countsText(idle.contextEvents) << '\n';
}

void TimelinePrinter::printEnd(std::ostream &out) const
{
    if (!m_summary.ended) {
        out << "end: not in these logs, which go on to " << sinceText(sinceOrigin(m_timeline.lastTime())) << '\n';
        return;
    }
    out << "end: " << m_summary.outcome << (m_summary.late ? ", late" : "") << ", "
        << sinceText(sinceOrigin(*m_summary.ended)) << ", seen by " << m_summary.endedBy;
    if (m_summary.duration) {
        out << ", which counts " << secondsText(*m_summary.duration) << " since it was accepted";
    }
    out << '\n';
}

void TimelinePrinter::printCaveats(std::ostream &out) const
{
    out << "suppressed lines meanwhile: " << countsText(m_summary.suppressed);
    out << (m_summary.suppressed.empty() ? "" : "; some may be missing above") << '\n';
    out << "unreadable lines: " << m_timeline.unreadableLines() << '\n';
    if (m_summary.startsUnseen > 0) {
        out << "runs whose start is not in these logs: " << m_summary.startsUnseen
            << "; the time with nothing running may be shorter\n";
    }
    if (m_timeline.omittedLines() > 0) {
        out << "lines left out, as the story is too long: " << m_timeline.omittedLines()
            << "; the summary lacks them\n";
    }
}

nlohmann::json TimelinePrinter::json() const
{
    nlohmann::json lines = nlohmann::json::array();
    for (const TimelineLine &line : m_timeline.lines()) {
        nlohmann::json fields = nlohmann::json::object();
        for (const std::pair<std::string, std::string> &field : line.record.fields) {
            fields[field.first] = field.second;
        }
        lines.push_back({{"ts_ms", timeJson(line.record.time)},
                         {"since_ms", sinceOrigin(line.record.time).count()},
                         {"node", line.record.node},
                         {"event", line.record.event},
                         {"of_job", line.namesJob},
                         {"fields", fields}});
    }
    nlohmann::json summary = {
        {"accepted_ts_ms", timeJson(m_summary.accepted)},
        {"accepted_by", m_summary.acceptedBy},
        {"queue", m_summary.queue},
        {"submissions", m_summary.submissions},
        {"origin_ts_ms", timeJson(m_summary.origin)},
        {"first_start_ts_ms", timeJson(m_summary.firstStart)},
        {"longest_idle", idleJson(m_summary.longestIdle)},
        {"longest_silence", idleJson(m_summary.longestSilence)},
        {"runs", m_summary.runs},
        {"not_started", m_summary.notStarted},
        {"starts_unseen", m_summary.startsUnseen},
        {"outcome", m_summary.outcome},
        {"ended_ts_ms", timeJson(m_summary.ended)},
        {"ended_by", m_summary.endedBy},
        {"late", m_summary.late},
        {"took_ms", m_summary.duration ? nlohmann::json(m_summary.duration->count()) : nlohmann::json()},
        {"suppressed", m_summary.suppressed},
    };
    return {{"job", m_timeline.job()},
            {"lines", lines},
            {"summary", summary},
            {"unreadable_lines", m_timeline.unreadableLines()},
            {"left_out_lines", m_timeline.omittedLines()}};
}

} // namespace fescueledge
