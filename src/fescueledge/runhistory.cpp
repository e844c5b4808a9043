#include "runhistory_pvt.h"

#include <algorithm>
#include <vector>

namespace fescueledge {

bool RunHistory::Run::wasAtWork() const
{
    return orderOutcome == "done" || answered;
}

RunHistory::Run &RunHistory::runOf(const LogRecord &record)
{
    return m_runs[RunName(record.value("task"), record.value("run"), record.value("worker"))];
}

void RunHistory::take(const LogRecord &record)
{
    using Taker = void (RunHistory::*)(const LogRecord &);
    static const std::map<std::string, Taker> takers{{"run_start", &RunHistory::takeStart},
                                                     {"run_end", &RunHistory::takeEnd},
                                                     {"run_lost", &RunHistory::takeLoss},
                                                     {"run_missing", &RunHistory::takeLoss}};
    const std::map<std::string, Taker>::const_iterator taker = takers.find(record.event);
    if (taker != takers.end()) {
        (this->*taker->second)(record);
    }
}

void RunHistory::takeStart(const LogRecord &record)
{
    Run &run = runOf(record);
    // An order that is sent again after its answer was lost starts nothing twice; the first that was done counts.
    if (!run.ordered || run.orderOutcome != "done") {
        run.ordered = record.time;
        run.orderOutcome = record.value("outcome");
    }
}

void RunHistory::takeEnd(const LogRecord &record)
{
    Run &run = runOf(record);
    // Each coordinator that asks the worker hears of the end; a run believed lost may tell of it too.
    if (!run.answered) {
        run.answered = true;
        run.how = record.value("how");
        run.ended = run.ended.value_or(record.time);
    }
}

void RunHistory::takeLoss(const LogRecord &record)
{
    Run &run = runOf(record);
    if (!run.ended) {
        run.ended = record.time;
        run.how = record.event == "run_lost" ? "lost" : "missing";
    }
}

std::optional<LogTime> RunHistory::firstStart() const
{
    std::optional<LogTime> first;
    for (const std::pair<const RunName, Run> &it : m_runs) {
        const Run &run = it.second;
        if (run.ordered && run.wasAtWork()) {
            first = std::min(first.value_or(*run.ordered), *run.ordered);
        }
    }
    return first;
}

RunHistory::Span RunHistory::longestIdle(LogTime from, LogTime to) const
{
    std::vector<Span> atWork;
    for (const std::pair<const RunName, Run> &it : m_runs) {
        const Run &run = it.second;
        if (run.ordered && run.wasAtWork()) {
            atWork.emplace_back(*run.ordered, run.ended.value_or(to));
        }
    }
    std::sort(atWork.begin(), atWork.end());
    atWork.emplace_back(to, to);
    Span longest(from, from);
    LogTime idleSince = from;
    for (const Span &work : atWork) {
        const LogTime until = std::min(work.first, to);
        if (until - idleSince > longest.second - longest.first) {
            longest = Span(idleSince, until);
        }
        idleSince = std::max(idleSince, work.second);
    }
    return longest;
}

std::map<std::string, std::uint64_t> RunHistory::runs() const
{
    std::map<std::string, std::uint64_t> counts;
    for (const std::pair<const RunName, Run> &it : m_runs) {
        const Run &run = it.second;
        if (run.wasAtWork() || run.ended) {
            ++counts[run.ended ? run.how : "open"];
        }
    }
    return counts;
}

std::map<std::string, std::uint64_t> RunHistory::notStarted() const
{
    std::map<std::string, std::uint64_t> counts;
    for (const std::pair<const RunName, Run> &it : m_runs) {
        const Run &run = it.second;
        if (!run.wasAtWork() && !run.ended) {
            ++counts[run.orderOutcome];
        }
    }
    return counts;
}

std::uint64_t RunHistory::startsUnseen() const
{
    return static_cast<std::uint64_t>(
        std::count_if(m_runs.begin(), m_runs.end(), [](const std::pair<const RunName, Run> &it) {
            return !it.second.ordered;
        }));
}

} // namespace fescueledge
