#include "runhistory_pvt.h"

#include <algorithm>
#include <vector>

namespace fescueledge {

bool RunHistory::Run::hasStarted() const
{
    return orderOutcome == "done" || hasWorkerReport;
}

RunHistory::Run &RunHistory::runFor(const LogRecord &record)
{
    return m_runs[RunKey(record.value("task"), record.value("run"), record.value("worker"))];
}

void RunHistory::add(const LogRecord &record)
{
    using Handler = void (RunHistory::*)(const LogRecord &);
    static const std::map<std::string, Handler> handlers{{"run_start", &RunHistory::addStart},
                                                         {"run_end", &RunHistory::addEnd},
                                                         {"run_lost", &RunHistory::addLoss},
                                                         {"run_missing", &RunHistory::addLoss}};
    const std::map<std::string, Handler>::const_iterator handler = handlers.find(record.event);
    if (handler != handlers.end()) {
        (this->*handler->second)(record);
    }
}

void RunHistory::addStart(const LogRecord &record)
{
    Run &run = runFor(record);
    // An order that is resent after a lost answer doesn't start a second run; the first with outcome `done` counts.
    if (!run.orderTime || run.orderOutcome != "done") {
        run.orderTime = record.time;
        run.orderOutcome = record.value("outcome");
    }
}

void RunHistory::addEnd(const LogRecord &record)
{
    Run &run = runFor(record);
    // Every coordinator that queries the worker logs the end, and a run that was logged as lost may still report it.
    if (!run.hasWorkerReport) {
        run.hasWorkerReport = true;
        run.how = record.value("how");
        run.ended = run.ended.value_or(record.time);
    }
}

void RunHistory::addLoss(const LogRecord &record)
{
    Run &run = runFor(record);
    if (!run.ended) {
        run.ended = record.time;
        run.how = record.event == "run_lost" ? "lost" : "missing";
    }
}

std::optional<LogTime> RunHistory::firstStart() const
{
    std::optional<LogTime> first;
    for (const std::pair<const RunKey, Run> &it : m_runs) {
        const Run &run = it.second;
        if (run.orderTime && run.hasStarted()) {
            first = std::min(first.value_or(*run.orderTime), *run.orderTime);
        }
    }
    return first;
}

RunHistory::Span RunHistory::longestIdle(LogTime from, LogTime to) const
{
    std::vector<Span> busySpans;
    for (const std::pair<const RunKey, Run> &it : m_runs) {
        const Run &run = it.second;
        if (run.orderTime && run.hasStarted()) {
            busySpans.emplace_back(*run.orderTime, run.ended.value_or(to));
        }
    }
    std::sort(busySpans.begin(), busySpans.end());
    busySpans.emplace_back(to, to);
    Span longest(from, from);
    LogTime idleSince = from;
    for (const Span &busy : busySpans) {
        const LogTime until = std::min(busy.first, to);
        if (until - idleSince > longest.second - longest.first) {
            longest = Span(idleSince, until);
        }
        idleSince = std::max(idleSince, busy.second);
    }
    return longest;
}

std::map<std::string, std::uint64_t> RunHistory::runs() const
{
    std::map<std::string, std::uint64_t> counts;
    for (const std::pair<const RunKey, Run> &it : m_runs) {
        const Run &run = it.second;
        if (run.hasStarted() || run.ended) {
            ++counts[run.ended ? run.how : "open"];
        }
    }
    return counts;
}

std::map<std::string, std::uint64_t> RunHistory::notStarted() const
{
    std::map<std::string, std::uint64_t> counts;
    for (const std::pair<const RunKey, Run> &it : m_runs) {
        const Run &run = it.second;
        if (!run.hasStarted() && !run.ended) {
            ++counts[run.orderOutcome];
        }
    }
    return counts;
}

std::uint64_t RunHistory::startsUnseen() const
{
    return static_cast<std::uint64_t>(
        std::count_if(m_runs.begin(), m_runs.end(), [](const std::pair<const RunKey, Run> &it) {
            return !it.second.orderTime;
        }));
}

} // namespace fescueledge
