#pragma once

#include "fescueledge/digest.h"

#include <cstdint>
#include <string>

namespace fescueledge {

/// Returns the weight of @p node for @p item in rendezvous hashing. The node with the largest weight comes first.
inline std::uint64_t rendezvousWeight(const std::string &item, const std::string &node)
{
    std::string key = item;
    key += '|';
    key += node;
    return fastHash(key);
}

} // namespace fescueledge
