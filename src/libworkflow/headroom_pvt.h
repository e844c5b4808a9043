#pragma once

#include "entities_pvt.h"
#include "interferencemodel_pvt.h"

#include <string>
#include <vector>

namespace fescueledge::workflow {

/// Headroom of one serving step on one worker; 1 is just enough.
struct StepHeadroom
{
    std::string image; ///< Of the step.
    double withoutFillers = 0; ///< Without fillers.
    TakenHeadroom taken; ///< By fillers.

    double left() const
    {
        return withoutFillers - taken.expected;
    }
    /// What would be left at worst if fillers took @p more.
    double worstCaseWith(TakenHeadroom more) const
    {
        more += taken;
        return withoutFillers - more.worstCase();
    }
};

/// Headroom of each serving step on @p worker beside fillers that use @p load of it: the least from @p now until
/// @p ahead later.
std::vector<StepHeadroom> headroomOf(const Worker &worker, const InterferenceModel &model, const FillerLoad &load,
                                     TimePoint now, Duration ahead);

/// What the fillers on @p worker use of it, by image, as gauged.
FillerLoad gaugedLoad(const Worker &worker);

/// The part of @p worker that @p milliCores are.
double shareOf(const Worker &worker, std::int64_t milliCores);
/// The part of @p worker that filler @p task will use at its present pace.
double pacedShare(const Worker &worker, const Task &task);

/// Whether @p task is a filler at work.
bool isRunningFiller(const Task &task);

} // namespace fescueledge::workflow
