#pragma once

#include <chrono>
#include <nlohmann/json.hpp>

namespace fescueledge {

struct ControlContent;
struct ControlHistoryEntry;
struct ControlOutcome;
struct DecisionRecord;
struct PlacementDecision;
struct WorkerStatus;

/// JSON representations in the operators' API.
nlohmann::json toJson(const ControlContent &content);
nlohmann::json toJson(const ControlHistoryEntry &entry);
nlohmann::json toJson(const WorkerStatus &status);
nlohmann::json toJson(const PlacementDecision &decision);
nlohmann::json toJson(const DecisionRecord &record);

/// Formats @p when in UTC as RFC 3339, with milliseconds.
std::string rfc3339(std::chrono::system_clock::time_point when);

} // namespace fescueledge
