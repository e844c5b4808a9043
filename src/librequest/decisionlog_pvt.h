#pragma once

#include "fescueledge/decisionrecord.h"

#include <deque>
#include <map>
#include <memory>
#include <optional>

namespace fescueledge {

/// The decisions on the latest requests, bounded.
class DecisionLog
{
public:
    /// Starts the record of a request; the oldest one is dropped when there are too many.
    std::shared_ptr<DecisionRecord> addRecord(const std::string &requestId, const std::string &route,
                                              const std::string &pool);
    std::optional<DecisionRecord> find(const std::string &requestId) const;

private:
    std::deque<std::shared_ptr<DecisionRecord>> m_records;
    std::map<std::string, std::shared_ptr<DecisionRecord>> m_byId;
};

} // namespace fescueledge
