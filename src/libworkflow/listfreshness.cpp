#include "listfreshness_pvt.h"

#include "fescueledge/workflow/fleetsource.h"

namespace fescueledge::workflow {

ListFreshness::ListFreshness(std::shared_ptr<Context> context, const FleetSource *fleet)
    : m_context(std::move(context))
    , m_storeAnsweredAt(m_context->sinceBoot())
{
    m_workers.name = "workers";
    m_workers.confirmedAt = [fleet] {
        return fleet->confirmedAt();
    };
    m_catalog.name = "configuration";
    m_catalog.confirmedAt = m_context->catalogConfirmedAt;
}

void ListFreshness::recordStoreAnswer()
{
    m_storeAnsweredAt = m_context->sinceBoot();
}

bool ListFreshness::areCurrent()
{
    const bool workers = isCurrent(&m_workers);
    const bool catalog = isCurrent(&m_catalog);
    return workers && catalog;
}

Duration ListFreshness::workersAge() const
{
    return m_context->sinceBoot() - m_workers.confirmedAt();
}

bool ListFreshness::isCurrent(List *list)
{
    const CoordinatorSettings &settings = m_context->settings;
    const Duration confirmedAt = list->confirmedAt();
    const bool current = confirmedAt + (settings.drainNotice - settings.orderTimeout) >= m_storeAnsweredAt;
    if (current != list->current) {
        list->current = current;
        const Duration now = m_context->sinceBoot();
        m_context->log->write(
            LogLine(current ? "list_current" : "list_old")
                .with("list", list->name)
                .with("term", static_cast<std::int64_t>(m_context->term))
                .with("list_age_ms", std::chrono::duration_cast<Milliseconds>(now - confirmedAt))
                .with("store_age_ms", std::chrono::duration_cast<Milliseconds>(now - m_storeAnsweredAt)));
    }
    return current;
}

} // namespace fescueledge::workflow
