#pragma once

#include "fescueledge/decisionrecord.h"

#include <deque>
#include <map>
#include <memory>
#include <optional>

namespace fescueledge {

/// Decision records of the latest requests, up to a fixed number.
class DecisionLog
{
public:
    /// Adds the record of a request and drops the oldest record if the log is full.
    std::shared_ptr<DecisionRecord> addRecord(const std::string &requestId, const std::string &route,
                                              const std::string &pool);
    std::optional<DecisionRecord> find(const std::string &requestId) const;

private:
    std::deque<std::shared_ptr<DecisionRecord>> m_records;
    std::map<std::string, std::shared_ptr<DecisionRecord>> m_byId;
};

} // namespace fescueledge
