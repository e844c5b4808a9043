#pragma once

#include "fescueledge/types.h"
#include "grantorgroup_pvt.h"

#include <nlohmann/json_fwd.hpp>
#include <string>

namespace fescueledge {

struct PeerMessage;

/// Asks for a grant to the sender.
struct GrantRequest
{
    static constexpr const char *kind = "grant";
    Incarnation incarnation = 0; ///< Of the sender.
    RowVersion rowVersion = 0; ///< Of the sender's own row, known to be committed.
    ControlVersion controlVersion = 0;
    std::string controlDigest;
};

/// Answers a GrantRequest.
struct GrantReply
{
    static constexpr const char *kind = "grant-reply";
    bool granted = false;
    Incarnation incarnation = 0; ///< Of the grantor.
    ControlVersion controlVersion = 0; ///< The newest that the grantor has loaded.
    std::string controlDigest;
};

/// Asks a grantor to refuse a silent node, so that it can be fenced.
struct RefusalRequest
{
    static constexpr const char *kind = "refuse";
    Grantor holder; ///< The silent node.
    RowVersion rowVersion = 0; ///< Of the holder's row.
    Incarnation grantorIncarnation = 0; ///< The run of the asked daemon that the holder's group names.
};

/// Answers a RefusalRequest.
struct RefusalReply
{
    static constexpr const char *kind = "refuse-reply";
    bool refused = false;
};

/// Tells a node that a shard was handed to it.
struct ShardHandedOver
{
    static constexpr const char *kind = "shard-handed-over";
    ShardId shard;
};

void to_json(nlohmann::json &json, const GrantRequest &message);
void from_json(const nlohmann::json &json, GrantRequest &message);
void to_json(nlohmann::json &json, const GrantReply &message);
void from_json(const nlohmann::json &json, GrantReply &message);
void to_json(nlohmann::json &json, const RefusalRequest &message);
void from_json(const nlohmann::json &json, RefusalRequest &message);
void to_json(nlohmann::json &json, const RefusalReply &message);
void from_json(const nlohmann::json &json, RefusalReply &message);
void to_json(nlohmann::json &json, const ShardHandedOver &message);
void from_json(const nlohmann::json &json, ShardHandedOver &message);

} // namespace fescueledge
