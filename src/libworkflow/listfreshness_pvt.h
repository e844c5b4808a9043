#pragma once

#include "context_pvt.h"

#include <memory>

namespace fescueledge::workflow {

class FleetSource;

/// Decides whether the lists that say where nothing may start, of workers and of evacuated data centres, are new enough
/// to start tasks by.
///
/// A list may be older than the store's last answer by CoordinatorSettings::drainNotice, less the time that an order
/// may take. While the store answers nothing the lists stay current: nobody can announce anything there either.
class ListFreshness
{
public:
    ListFreshness(std::shared_ptr<Context> context, const FleetSource *fleet);

    /// Records that the store has answered a call of this coordinator.
    void recordStoreAnswer();
    /// Whether all lists are current; logs each change.
    bool areCurrent();
    Duration workersAge() const;

private:
    struct List
    {
        const char *name = ""; ///< In logs.
        std::function<Duration()> confirmedAt; ///< The list is at least as new as this time since boot.
        bool current = true; ///< Result of the last check.
    };

    bool isCurrent(List *list);

    std::shared_ptr<Context> m_context;
    List m_workers;
    List m_catalog;
    Duration m_storeAnsweredAt; ///< Since boot.
};

} // namespace fescueledge::workflow
