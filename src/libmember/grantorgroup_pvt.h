#pragma once

#include "fescueledge/types.h"

#include <functional>
#include <tuple>
#include <vector>

namespace fescueledge {

/// One run of a daemon, as a giver of grants.
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

/// The grantors whose majority lets a node act, that node among them. Ordered. Empty before the first was written;
/// then the node may not act at all.
using GrantorGroup = std::vector<Grantor>;

/// The number of grantors that @p group keeps at most.
constexpr std::size_t maxGroupSize = 7;

/// The smallest majority of a group of @p size.
std::size_t majorityOf(std::size_t size);

/// True if the grantors of @p group for which @p lapsed is false, and @p holder itself, are no majority of it.
bool hasLostMajority(const GrantorGroup &group, const Grantor &holder,
                     const std::function<bool(const Grantor &)> &isExpired);

} // namespace fescueledge
