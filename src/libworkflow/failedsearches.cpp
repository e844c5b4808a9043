#include "failedsearches_pvt.h"

#include "entities_pvt.h"

#include <algorithm>

namespace fescueledge::workflow {

namespace {

constexpr Milliseconds maxAge{1000};

} // namespace

FailedSearches::Key FailedSearches::keyOf(const Step &step, int pace, const Backfill &backfill)
{
    const StepSpec &spec = *step.spec;
    const bool ownPlaces = spec.maxPerWorker > 0 || step.occurrence->job->suspects > 0;
    const std::uint64_t number = ownPlaces ? step.creationIndex + 1 : 0;
    // Where a task fits does not depend on its image, unless it is a filler.
    return Key{step.occurrence->job->policy.service,
               spec.requiredLabel,
               spec.filler ? spec.image : std::string(),
               spec.filler,
               pace,
               backfill.rule,
               number};
}

std::optional<FailedSearches::State> FailedSearches::find(const Step &step, int pace, const Backfill &backfill) const
{
    const auto it = m_failures.find(keyOf(step, pace, backfill));
    if (it == m_failures.end()) {
        return std::nullopt;
    }
    std::optional<State> latest;
    for (const Failure &failure : it->second) {
        // The step needs at least as much of everything, for at least as long.
        const bool covers = failure.need.fitsIn(step.spec->perTask) && failure.state.span <= backfill.span;
        if (covers && (!latest || failure.state.freed > latest->freed)) {
            latest = failure.state;
        }
    }
    return latest;
}

void FailedSearches::record(const Step &step, int pace, const Backfill &backfill, const State &state)
{
    const Resources &need = step.spec->perTask;
    std::vector<Failure> &failures = m_failures[keyOf(step, pace, backfill)];
    const auto superseded = std::remove_if(failures.begin(), failures.end(), [&need, &state](const Failure &failure) {
        return need.fitsIn(failure.need) && state.span <= failure.state.span;
    });
    failures.erase(superseded, failures.end());
    failures.push_back(Failure{need, state});
}

void FailedSearches::dropOld(TimePoint now)
{
    if (now < m_droppedAt + maxAge) {
        return;
    }
    m_droppedAt = now;
    for (auto it = m_failures.begin(); it != m_failures.end();) {
        std::vector<Failure> &failures = it->second;
        failures.erase(std::remove_if(failures.begin(), failures.end(),
                                      [now](const Failure &failure) {
                                          return now >= failure.state.searchedAt + maxAge;
                                      }),
                       failures.end());
        it = failures.empty() ? m_failures.erase(it) : std::next(it);
    }
}

} // namespace fescueledge::workflow
