#pragma once

#include "fescueledge/types.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>

namespace fescueledge::workflow {

/// What a coordinator spends its time on.
enum class Activity {
    Dispatch, ///< Ranking steps and finding places.
    Starts, ///< Sending start orders; so the following ones.
    Stops,
    Paces,
    Observes,
    Answers, ///< Answers to start, stop and pace orders.
    Observations, ///< Answers to observations.
    Pacing, ///< Interference model and paces, after each observation.
    Writes, ///< Building transactions and applying their outcome.
    Jobs, ///< Rows of the job collection and notices of accepted jobs.
    Fleet, ///< Changes of the list of workers.
    Tick, ///< Timeouts, occurrences, clean-up.
};
constexpr std::size_t activityCount = 12;

/// The name of @p activity in logs.
const char *activityName(Activity activity);

/// Measures how long the loop's thread is busy with each activity. Activities nest; the time of an inner one does not
/// count for the outer one. Where the processor is shared, waits for it count as well.
class ActivityMeter
{
public:
    /// Time and calls since the last take().
    struct Usage
    {
        Duration time{0};
        std::uint64_t calls = 0;
    };
    using Usages = std::array<Usage, activityCount>;

    /// Counts the time until its end for one activity.
    class Scope
    {
    public:
        Scope(ActivityMeter *meter, Activity activity);
        ~Scope();
        Scope(const Scope &) = delete;
        Scope &operator=(const Scope &) = delete;

    private:
        ActivityMeter *m_meter;
        Activity m_activity;
        Scope *m_outer;
        friend class ActivityMeter;
    };

    explicit ActivityMeter(std::function<TimePoint()> clock);

    /// What was used since the last call.
    Usages take();

private:
    /// Counts the time since the last change for the current activity.
    void settle();

    std::function<TimePoint()> m_clock;
    Usages m_usages;
    TimePoint m_settledAt{};
    Scope *m_current = nullptr;
};

} // namespace fescueledge::workflow
