#include "storysummary_pvt.h"

#include "jobstory_pvt.h"
#include "runhistory_pvt.h"

#include <algorithm>

namespace fescueledge {

namespace {

void noteSubmission(StorySummary &summary, const LogRecord &record)
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

void noteEnd(StorySummary &summary, const LogRecord &record)
{
    // A later coordinator may tell of the end again.
    if (summary.ended) {
        return;
    }
    summary.ended = record.time;
    summary.endedBy = record.node;
    const bool cancelled = record.event == "job_cancelled";
    summary.outcome = cancelled ? "cancelled" : record.value("outcome");
    summary.late = record.value("late") == "1";
    const std::optional<std::int64_t> took = record.number("took_ms");
    if (took) {
        summary.took = Milliseconds(*took);
    }
}

void noteSuppressed(StorySummary &summary, const LogRecord &record)
{
    summary.suppressed[record.value("name")] += static_cast<std::uint64_t>(record.number("lines").value_or(0));
}

using Note = void (*)(StorySummary &, const LogRecord &);

const std::map<std::string, Note> &notes()
{
    static const std::map<std::string, Note> table{{"job_submit", noteSubmission},
                                                   {"job_cancelled", noteEnd},
                                                   {"job_end", noteEnd},
                                                   {"log_suppressed", noteSuppressed}};
    return table;
}

/// The longest time from @p from to @p to without a line of the job, apart from those that say that it waits.
void findSilence(const JobStory &story, LogTime from, LogTime to, IdleSpan &silence)
{
    silence.from = from;
    silence.to = from;
    LogTime previous = from;
    const auto take = [&](LogTime time) {
        if (time - previous > silence.to - silence.from) {
            silence.from = previous;
            silence.to = time;
        }
        previous = std::max(previous, time);
    };
    for (const StoryLine &line : story.lines()) {
        if (line.ofJob && line.record.event != "step_waits" && line.record.time <= to) {
            take(line.record.time);
        }
    }
    take(to);
}

/// Counts what the lines within @p idle tell of it.
void explainIdle(const JobStory &story, IdleSpan &idle)
{
    for (const StoryLine &line : story.lines()) {
        if (line.record.time < idle.from || line.record.time > idle.to) {
            continue;
        }
        if (!line.ofJob) {
            ++idle.around[line.record.event];
        } else if (line.record.event == "step_waits") {
            ++idle.waits[line.record.value("outcome")];
        }
    }
}

} // namespace

StorySummary summarize(const JobStory &story)
{
    StorySummary summary;
    RunHistory history;
    bool ownSeen = false;
    for (const StoryLine &line : story.lines()) {
        const std::map<std::string, Note>::const_iterator note = notes().find(line.record.event);
        if (note != notes().end()) {
            note->second(summary, line.record);
        }
        if (line.ofJob) {
            history.take(line.record);
            summary.origin = ownSeen ? summary.origin : line.record.time;
            ownSeen = true;
        }
    }
    summary.origin = summary.accepted.value_or(summary.origin);
    const LogTime end = summary.ended.value_or(story.lastTime());
    summary.firstStart = history.firstStart();
    // A node whose store answers late logs the acceptance after the coordinator has begun.
    const LogTime begin = std::min(summary.origin, summary.firstStart.value_or(summary.origin));
    const RunHistory::Span idle = history.longestIdle(begin, end);
    summary.longestIdle.from = idle.first;
    summary.longestIdle.to = idle.second;
    explainIdle(story, summary.longestIdle);
    findSilence(story, begin, end, summary.longestSilence);
    explainIdle(story, summary.longestSilence);
    summary.runs = history.runs();
    summary.notStarted = history.notStarted();
    summary.startsUnseen = history.startsUnseen();
    return summary;
}

} // namespace fescueledge
