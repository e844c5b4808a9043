#include "jobsummary_pvt.h"

#include "jobtimeline_pvt.h"
#include "runhistory_pvt.h"

#include <algorithm>

namespace fescueledge {

namespace {

void addSubmission(JobSummary &summary, const LogRecord &record)
{
    if (summary.queue.empty()) {
        summary.queue = record.value("queue");
    }
    ++summary.submissions[record.value("outcome")];
    if (record.value("outcome") == "accepted" && !summary.accepted) {
        summary.accepted = record.time;
        summary.acceptedBy = record.node;
    }
}

void addEnd(JobSummary &summary, const LogRecord &record)
{
    // A later coordinator may log the end again.
    if (summary.ended) {
        return;
    }
    summary.ended = record.time;
    summary.endedBy = record.node;
    const bool cancelled = record.event == "job_cancelled";
    summary.outcome = cancelled ? "cancelled" : record.value("outcome");
    summary.late = record.value("late") == "1";
    const std::optional<std::int64_t> tookMs = record.number("took_ms");
    if (tookMs) {
        summary.duration = Milliseconds(*tookMs);
    }
}

void addSuppressed(JobSummary &summary, const LogRecord &record)
{
    summary.suppressed[record.value("name")] += static_cast<std::uint64_t>(record.number("lines").value_or(0));
}

using RecordHandler = void (*)(JobSummary &, const LogRecord &);

const std::map<std::string, RecordHandler> &recordHandlers()
{
    static const std::map<std::string, RecordHandler> table{{"job_submit", addSubmission},
                                                            {"job_cancelled", addEnd},
                                                            {"job_end", addEnd},
                                                            {"log_suppressed", addSuppressed}};
    return table;
}

/// Finds the longest period from @p from to @p to without a line of the job other than `step_waits`.
void findLongestSilence(const JobTimeline &timeline, LogTime from, LogTime to, IdleSpan &silence)
{
    silence.from = from;
    silence.to = from;
    LogTime previous = from;
    const auto visit = [&](LogTime time) {
        if (time - previous > silence.to - silence.from) {
            silence.from = previous;
            silence.to = time;
        }
        previous = std::max(previous, time);
    };
    for (const TimelineLine &line : timeline.lines()) {
        if (line.namesJob && line.record.event != "step_waits" && line.record.time <= to) {
            visit(line.record.time);
        }
    }
    visit(to);
}

/// Counts the lines within @p idle that may explain it: context by event, `step_waits` by outcome.
void countIdleCauses(const JobTimeline &timeline, IdleSpan &idle)
{
    for (const TimelineLine &line : timeline.lines()) {
        if (line.record.time < idle.from || line.record.time > idle.to) {
            continue;
        }
        if (!line.namesJob) {
            ++idle.contextEvents[line.record.event];
        } else if (line.record.event == "step_waits") {
            ++idle.stepWaits[line.record.value("outcome")];
        }
    }
}

} // namespace

JobSummary summarize(const JobTimeline &timeline)
{
    JobSummary summary;
    RunHistory history;
    bool hasOrigin = false;
    for (const TimelineLine &line : timeline.lines()) {
        const std::map<std::string, RecordHandler>::const_iterator handler = recordHandlers().find(line.record.event);
        if (handler != recordHandlers().end()) {
            handler->second(summary, line.record);
        }
        if (line.namesJob) {
            history.add(line.record);
            summary.origin = hasOrigin ? summary.origin : line.record.time;
            hasOrigin = true;
        }
    }
    summary.origin = summary.accepted.value_or(summary.origin);
    const LogTime end = summary.ended.value_or(timeline.lastTime());
    summary.firstStart = history.firstStart();
    // A node whose store answers late may log the acceptance after the coordinator has started runs.
    const LogTime begin = std::min(summary.origin, summary.firstStart.value_or(summary.origin));
    const RunHistory::Span idle = history.longestIdle(begin, end);
    summary.longestIdle.from = idle.first;
    summary.longestIdle.to = idle.second;
    countIdleCauses(timeline, summary.longestIdle);
    findLongestSilence(timeline, begin, end, summary.longestSilence);
    countIdleCauses(timeline, summary.longestSilence);
    summary.runs = history.runs();
    summary.notStarted = history.notStarted();
    summary.startsUnseen = history.startsUnseen();
    return summary;
}

} // namespace fescueledge
