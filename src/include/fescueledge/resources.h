#pragma once

#include <cstdint>
#include <nlohmann/json_fwd.hpp>

namespace fescueledge {

/// An amount of resources: the capacity of a VM, the demand of a task, or the use.
struct Resources
{
    std::int64_t milliCores = 0; ///< CPU, in thousandths of a core.
    std::int64_t memoryMb = 0; ///< Memory, in MB.
    std::int64_t accelerators = 0; ///< Number of accelerators.

    /// True if this amount fits into @p room in every dimension.
    bool fitsIn(const Resources &room) const;
    Resources &operator+=(const Resources &other);
    Resources &operator-=(const Resources &other);
};

Resources operator+(Resources a, const Resources &b);
Resources operator-(Resources a, const Resources &b);
/// The larger of each resource.
Resources largestOf(const Resources &a, const Resources &b);
bool operator==(const Resources &a, const Resources &b);
bool operator!=(const Resources &a, const Resources &b);

void to_json(nlohmann::json &json, const Resources &resources);
void from_json(const nlohmann::json &json, Resources &resources);

} // namespace fescueledge
