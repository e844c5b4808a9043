#include "fescueledge/load/movedecision.h"

#include <algorithm>

namespace fescueledge::load {

namespace {

constexpr int allPercent = 100;
/// Below this gain in percent the rate of a run is too uncertain to be extrapolated.
constexpr int minPercentGained = 10;
/// A low pace is not extrapolated for longer: paces change within seconds, with the load of the tasks beside.
constexpr std::chrono::seconds maxSlowTime{4};
/// A move has to bring the end closer by this and ...
constexpr std::chrono::milliseconds minGain{250};
/// ... by this share of the work that it repeats, because that work takes processor time from other tasks too.
constexpr double lostWorkMargin = 0.5;

/// The whole work, by the rate at which the run has progressed if that is known.
Duration wholeWork(const SlowedTask &task)
{
    if (task.percentGained >= minPercentGained && task.worked > Duration::zero()) {
        return task.worked * allPercent / task.percentGained;
    }
    return task.expected > Duration::zero() ? task.expected : Duration(maxSlowTime);
}

/// Time to do @p work at @p pace for at most @p slowTime, and at full pace afterwards.
Duration timeAt(int pace, Duration work, Duration slowTime)
{
    const Duration doneSlowly = slowTime * pace / allPercent;
    return work > doneSlowly ? slowTime + work - doneSlowly : work * allPercent / pace;
}

} // namespace

MoveDecision::MoveDecision(Duration overhead)
    : m_overhead(overhead)
{
}

MoveForecast MoveDecision::forecast(const SlowedTask &task) const
{
    MoveForecast out;
    const int pace = std::clamp(task.pace, 0, allPercent);
    // How long the pace stays low is not known; it has lasted for slowedFor, so it is expected to last as long again.
    // An endless task meets the next swings of the load too, so it counts as slowed for the longest time.
    const Duration slowTime =
        task.isEndless ? Duration(maxSlowTime) : std::clamp(task.slowedFor, Duration::zero(), Duration(maxSlowTime));
    const Duration whole = wholeWork(task);
    const int percent = std::clamp(task.percentDone, 0, allPercent);
    out.left = task.isEndless ? Duration(maxSlowTime) : whole * (allPercent - percent) / allPercent;
    // A part of the work may have been done before it was watched.
    const Duration done = std::max(task.worked, whole * percent / allPercent);
    out.lost = task.isEndless || task.savesProgress ? Duration::zero() : done;
    out.stay = out.left == Duration::zero() ? Duration::zero() : timeAt(pace, out.left, slowTime);
    out.move = m_overhead + out.left + out.lost;
    const Duration margin = minGain + std::chrono::duration_cast<Duration>(out.lost * lostWorkMargin);
    out.isWorthwhile = out.stay >= out.move + margin;
    return out;
}

} // namespace fescueledge::load
