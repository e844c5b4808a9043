#pragma once

#include "fescueledge/types.h"

#include <nlohmann/json_fwd.hpp>
#include <string>

namespace fescueledge {

/// Sends a node a control version to load and acknowledge.
struct ApplyRequest
{
    static constexpr const char *kind = "control-apply";
    std::string rowValue; ///< Value of the row `control/current`; empty before any version was accepted.
};

/// Answers an ApplyRequest after the node has loaded the version or failed to load it.
struct ApplyReply
{
    static constexpr const char *kind = "control-apply-reply";
    Incarnation incarnation = 0; ///< Incarnation of the node; 0 if it is not registered.
    ControlVersion version = 0; ///< The newest version loaded on the node.
};

/// Asks a node for the newest version that it has loaded.
struct FetchRequest
{
    static constexpr const char *kind = "control-fetch";
};

/// Answers a FetchRequest.
struct FetchReply
{
    static constexpr const char *kind = "control-fetch-reply";
    std::string rowValue; ///< Value of the row `control/current`; empty before any version was accepted.
};

void to_json(nlohmann::json &json, const ApplyRequest &message);
void from_json(const nlohmann::json &json, ApplyRequest &message);
void to_json(nlohmann::json &json, const ApplyReply &message);
void from_json(const nlohmann::json &json, ApplyReply &message);
void to_json(nlohmann::json &json, const FetchRequest &message);
void from_json(const nlohmann::json &json, FetchRequest &message);
void to_json(nlohmann::json &json, const FetchReply &message);
void from_json(const nlohmann::json &json, FetchReply &message);

} // namespace fescueledge
