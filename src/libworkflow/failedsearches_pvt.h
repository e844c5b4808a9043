#pragma once

#include "fescueledge/resources.h"
#include "fescueledge/types.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

namespace fescueledge::workflow {

struct Step;

/// Remembers for which tasks no place was found. Until then every worker had been looked at, so the next search for
/// such a task, or a larger one, has to look only at workers that were freed since. What waits without room costs
/// little then, however much it is.
class FailedSearches
{
public:
    /// What decides whether a task may start beside a reservation, other than its size.
    struct Backfill
    {
        /// Tasks of different rules are never compared: 0 by forecast, 1 if the step goes before the reservations of
        /// others, 2 for gangs.
        int rule = 0;
        Duration span{0}; ///< How long it works; a longer one finds no more places.
    };
    /// No reservation was in the way of the search, so its result holds for tasks of any span.
    static constexpr Duration anySpan = Duration(-1);

    /// How much a search has taken into account, as ChangeOrder::count().
    struct State
    {
        std::uint64_t freed = 0; ///< Of CandidateIndex::freed().
        std::uint64_t eased = 0; ///< Of CandidateIndex::eased().
        TimePoint searchedAt{}; ///< When all workers were last looked at.
        Duration span = anySpan; ///< It holds for tasks that work at least this long; see Backfill.
    };

    /// The state of the last failed search for a task of @p step at @p pace, or for one that is smaller and works no
    /// longer; empty if there was none.
    std::optional<State> find(const Step &step, int pace, const Backfill &backfill) const;
    /// Records that no place was found for a task of @p step at @p pace.
    void record(const Step &step, int pace, const Backfill &backfill, const State &state);
    /// Drops what is too old: headroom changes a little without a record.
    void dropOld(TimePoint now);

private:
    /// Service, label, image of fillers, whether it is a filler, pace, Backfill::rule, and the step if workers fit this
    /// step alone.
    using Key = std::tuple<std::string, std::string, std::string, bool, int, int, std::uint64_t>;

    struct Failure
    {
        Resources need;
        State state;
    };

    static Key keyOf(const Step &step, int pace, const Backfill &backfill);

    std::map<Key, std::vector<Failure>> m_failures;
    TimePoint m_droppedAt{};
};

} // namespace fescueledge::workflow
