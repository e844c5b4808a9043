#pragma once

#include "fescueledge/resources.h"

#include <map>
#include <string>

namespace fescueledge {

/// Learns what tasks of a kind really use, from lagging reports. Not thread-safe.
class SizeEstimator
{
public:
    /// Takes in the measured use @p used of a running attempt of @p kind. Use up to the limit is no sign that more is
    /// needed: a cache fills whatever it is given.
    void observe(const std::string &kind, const Resources &used);
    /// Takes in that an attempt of @p kind failed while it used @p used of @p limit; at its limit it may need more.
    void observeFailure(const std::string &kind, const Resources &used, const Resources &limit);
    /// The room to commit for an attempt: @p declared, or what was learnt where that is more, but never more than
    /// @p most or eight times the declared memory unless the declared need alone is.
    Resources allocationFor(const std::string &kind, const Resources &declared, const Resources &maxResources) const;
    /// The use to expect of an attempt, for the order of candidates only; @p declared if nothing was learnt.
    Resources expected(const std::string &kind, const Resources &declared) const;

private:
    struct Usage
    {
        double milliCores = 0; ///< Moving average.
        double memoryPeakMb = 0; ///< Decaying maximum.
    };
    std::map<std::string, Usage> m_kinds;
};

} // namespace fescueledge
