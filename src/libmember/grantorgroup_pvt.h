#pragma once

#include "fescueledge/types.h"

#include <functional>
#include <tuple>
#include <vector>

namespace fescueledge {

/// One incarnation of a daemon, in its role of giving grants.
struct Grantor
{
    NodeId node;
    Incarnation incarnation = 0;

    bool operator<(const Grantor &other) const
    {
        return std::tie(node, incarnation) < std::tie(other.node, other.incarnation);
    }
    bool operator==(const Grantor &other) const
    {
        return node == other.node && incarnation == other.incarnation;
    }
};

/// The grantors of which a majority must have granted for a node to act, that node included. Ordered. Empty until the
/// first group is written; until then the node may not act at all.
using GrantorGroup = std::vector<Grantor>;

/// The maximum number of grantors in a group.
constexpr std::size_t maxGroupSize = 7;

/// Returns the number of grantors that form a majority of a group of @p size.
std::size_t majorityOf(std::size_t size);

/// True if @p holder and the grantors of @p group for which @p isExpired returns false are no majority of the group.
bool hasLostMajority(const GrantorGroup &group, const Grantor &holder,
                     const std::function<bool(const Grantor &)> &isExpired);

} // namespace fescueledge
