#pragma once

#include "fescueledge/resources.h"

#include <map>
#include <string>

namespace fescueledge {

/// Learns what tasks of a kind really use, from lagging reports. Not thread-safe.
class SizeEstimator
{
public:
    /// Takes in the measured use @p used of an attempt of @p kind that may use @p limit at most.
    void observe(const std::string &kind, const Resources &used, const Resources &limit);
    /// The room to commit for an attempt: @p declared, or what was learnt where that is more, but never more than
    /// @p most unless the declared need alone is.
    Resources charge(const std::string &kind, const Resources &declared, const Resources &most) const;
    /// The use to expect of an attempt, for the order of candidates only; @p declared if nothing was learnt.
    Resources expected(const std::string &kind, const Resources &declared) const;

private:
    struct Learnt
    {
        double milliCores = 0; ///< Moving average.
        double memoryPeakMb = 0; ///< Decaying maximum.
    };
    std::map<std::string, Learnt> m_kinds;
};

} // namespace fescueledge
