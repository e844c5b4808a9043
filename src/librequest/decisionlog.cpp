#include "decisionlog_pvt.h"

namespace fescueledge {

namespace {

constexpr std::size_t maxRecords = 1024;

} // namespace

std::shared_ptr<DecisionRecord> DecisionLog::addRecord(const std::string &requestId, const std::string &route,
                                                       const std::string &pool)
{
    if (m_records.size() >= maxRecords) {
        const auto it = m_byId.find(m_records.front()->requestId);
        if (it != m_byId.end() && it->second == m_records.front()) {
            m_byId.erase(it);
        }
        m_records.pop_front();
    }
    auto record = std::make_shared<DecisionRecord>();
    record->requestId = requestId;
    record->route = route;
    record->pool = pool;
    m_records.push_back(record);
    m_byId[requestId] = record;
    return record;
}

std::optional<DecisionRecord> DecisionLog::find(const std::string &requestId) const
{
    const auto it = m_byId.find(requestId);
    if (it == m_byId.end()) {
        return std::nullopt;
    }
    return *it->second;
}

} // namespace fescueledge
