#pragma once

#include "fescueledge/reserve/endfactor.h"
#include "fescueledge/types.h"

#include <map>
#include <string>

namespace fescueledge::reserve {

/// Forecasts how long tasks run. Callers' estimates are rough, and off by a similar factor for similar tasks, so each
/// kind of task has a factor that is learnt from the tasks that have ended. Where tasks of the same step have ended,
/// their factor goes before that of the kind.
class EndForecast
{
public:
    /// Records that a task of @p kind with estimate @p estimate was at work for @p took.
    void record(const std::string &kind, Milliseconds estimate, Duration took);
    /// How long a task of @p kind with estimate @p estimate is expected to be at work; @p ofStep is what is known of
    /// its step.
    Duration expected(const std::string &kind, Milliseconds estimate, const EndFactor &ofStep = {}) const;
    /// How much longer such a task works that has been at work for @p elapsed and has reported @p percent. One that
    /// works for longer than expected is taken to need a quarter of its time more.
    Duration remaining(const std::string &kind, Milliseconds estimate, Duration elapsed, int percent,
                       const EndFactor &ofStep = {}) const;

private:
    std::map<std::string, EndFactor> m_factors; ///< By kind.
};

} // namespace fescueledge::reserve
