#pragma once

#include "fescueledge/types.h"
#include "grantorgroup_pvt.h"

#include <nlohmann/json_fwd.hpp>
#include <string>

namespace fescueledge {

struct PeerMessage;

/// Requests a grant for the sender.
struct GrantRequest
{
    static constexpr const char *kind = "grant";
    Incarnation incarnation = 0; ///< Incarnation of the sender.
    RowVersion rowVersion = 0; ///< Newest version of the sender's row known to be committed.
    ControlVersion controlVersion = 0;
    std::string controlDigest;
};

/// Answers a GrantRequest.
struct GrantReply
{
    static constexpr const char *kind = "grant-reply";
    bool granted = false;
    Incarnation incarnation = 0; ///< Incarnation of the grantor.
    ControlVersion controlVersion = 0; ///< The newest version that the grantor has loaded.
    std::string controlDigest;
};

/// Asks a grantor to refuse grants to a node that no longer renews its row, so that the node can be fenced.
struct RefusalRequest
{
    static constexpr const char *kind = "refuse";
    Grantor holder; ///< The node to fence.
    RowVersion rowVersion = 0; ///< Version of the holder's row.
    Incarnation grantorIncarnation = 0; ///< Incarnation of the receiver that is named in the holder's group.
};

/// Answers a RefusalRequest.
struct RefusalReply
{
    static constexpr const char *kind = "refuse-reply";
    bool refused = false;
};

/// Notifies a node that a shard was handed over to it.
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
