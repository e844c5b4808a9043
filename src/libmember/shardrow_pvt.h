#pragma once

#include "grantorgroup_pvt.h"

#include <string>

namespace fescueledge {

struct Row;

/// The row `shard/<shard>`: the owner of a shard.
struct ShardRow
{
    Grantor owner; ///< The incarnation of the daemon that owns the shard; an empty node if it is free.
    Epoch epoch = 0; ///< Fencing token; increases with each change of owner.
};

/// Prefix of the keys of all shard rows.
constexpr const char *shardPrefix = "shard/";
std::string encodeShardRow(const ShardRow &row);
ShardRow decodeShardRow(const Row &row);

} // namespace fescueledge
