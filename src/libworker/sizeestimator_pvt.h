#pragma once

#include "fescueledge/resources.h"

#include <map>
#include <string>

namespace fescueledge {

/// Estimates from lagging reports what tasks of a kind actually use. Not thread-safe.
class SizeEstimator
{
public:
    /// Records the measured usage @p used of a running attempt of @p kind. Usage up to the limit does not show that
    /// more is needed: a cache fills whatever memory it is given.
    void observe(const std::string &kind, const Resources &used);
    /// Records that an attempt of @p kind failed while it used @p used of @p limit; at its limit it may need more.
    void observeFailure(const std::string &kind, const Resources &used, const Resources &limit);
    /// Returns the resources to allocate to an attempt: @p declared, with its memory raised to the estimate where that
    /// is larger, but to no more than @p maxResources and eight times the declared memory.
    Resources allocationFor(const std::string &kind, const Resources &declared, const Resources &maxResources) const;
    /// Returns the expected usage of an attempt, only for ranking candidates; @p declared for an unknown kind.
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
