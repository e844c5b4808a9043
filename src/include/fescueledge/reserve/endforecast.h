#pragma once

#include "fescueledge/types.h"

#include <map>
#include <string>

namespace fescueledge::reserve {

/// Forecasts how long tasks run. Callers' estimates are rough, and off by a similar factor for similar tasks, so each
/// kind of task has a factor that is learnt from the tasks that have ended.
class EndForecast
{
public:
    /// Records that a task of @p kind with estimate @p estimate was at work for @p took.
    void record(const std::string &kind, Milliseconds estimate, Duration took);
    /// How long a task of @p kind with estimate @p estimate is expected to be at work.
    Duration expected(const std::string &kind, Milliseconds estimate) const;
    /// How much longer such a task works that has been at work for @p elapsed and has reported @p percent.
    Duration remaining(const std::string &kind, Milliseconds estimate, Duration elapsed, int percent) const;

private:
    std::map<std::string, double> m_factors; ///< Observed duration / estimate, as a running average, by kind.
};

} // namespace fescueledge::reserve
