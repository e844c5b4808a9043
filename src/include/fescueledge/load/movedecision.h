#pragma once

#include "fescueledge/types.h"

namespace fescueledge::load {

/// What is known of a task that is slowed down to protect others on its worker.
struct SlowedTask
{
    bool isEndless = false; ///< It runs until it is cancelled, so it has no end that a move could bring closer.
    bool savesProgress = false; ///< A stop saves its progress; without it, a stop loses the whole run.
    Duration expected{0}; ///< Forecast of the whole work at full pace, by estimates; zero if there is none.
    Duration worked{0}; ///< Work of this run since it is watched, as time at full pace.
    int percentDone = 0; ///< As its worker reports it.
    int percentGained = 0; ///< By how much that has grown during @ref worked.
    int pace = 0; ///< Percent of its speed at which it is held.
    Duration slowedFor{0}; ///< For how long it has been held below half of its speed.
};

/// Both ways to go on with a slowed task; the times are from now to its end.
struct MoveForecast
{
    bool isWorthwhile = false;
    Duration left{0}; ///< Work that is left, as time at full pace.
    Duration lost{0}; ///< Work that a move would lose.
    Duration stay{0};
    Duration move{0};
};

/// Decides whether a task that is slowed down is stopped and started on another worker.
///
/// Responds to many tasks that are slowed for a moment while the load of those beside them swings: a move pays off only
/// for a task that would end clearly earlier elsewhere, with the work that it repeats.
class MoveDecision
{
public:
    /// The stop, the start elsewhere and the restore of a checkpoint take @p overhead, in which the task does not work.
    explicit MoveDecision(Duration overhead = std::chrono::milliseconds(600));

    MoveForecast forecast(const SlowedTask &task) const;

private:
    Duration m_overhead;
};

} // namespace fescueledge::load
