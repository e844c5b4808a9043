#pragma once

#include "entities_pvt.h"
#include "interferencemodel_pvt.h"

#include <string>
#include <vector>

namespace fescueledge::workflow {

/// Headroom of one serving step on one worker; 1 is just enough.
struct StepHeadroom
{
    std::string image; ///< Image of the step.
    double withoutFillers = 0; ///< Headroom without fillers.
    TakenHeadroom taken; ///< Headroom that fillers take.

    double expectedLeft() const
    {
        return withoutFillers - taken.expected;
    }
    /// What would be left in the worst case if fillers took @p more.
    double worstCaseWith(TakenHeadroom more) const
    {
        more += taken;
        return withoutFillers - more.worstCase();
    }
};

/// Minimum headroom of each serving step on @p worker from @p now until @p ahead later, beside fillers with @p load.
std::vector<StepHeadroom> headroomOf(const Worker &worker, const InterferenceModel &model, const FillerLoad &load,
                                     TimePoint now, Duration ahead);

/// Gauged load of the fillers on @p worker.
FillerLoad gaugedLoad(const Worker &worker);

/// @p milliCores as a share of the processors of @p worker.
double shareOf(const Worker &worker, std::int64_t milliCores);
/// Share of the processors of @p worker that filler @p task uses at its current pace.
double pacedShare(const Worker &worker, const Task &task);

bool isRunningFiller(const Task &task);

} // namespace fescueledge::workflow
