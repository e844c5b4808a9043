#pragma once

#include "fescueledge/vmentry.h"

#include <optional>
#include <string>
#include <vector>

namespace fescueledge {

/// What this node last read from the platform's VM list. All calls on the control loop.
class VmDirectory
{
public:
    virtual ~VmDirectory() = default;
    /// The VMs of the last answer, ordered by name. Kept when the list does not answer.
    virtual const std::vector<VmEntry> &entries() const = 0;
    /// The VM named @p name, or nullptr.
    virtual const VmEntry *find(const std::string &name) const = 0;
    /// When @p name was first missing from an answer after this process had seen it listed; nothing if it is
    /// listed or never was.
    virtual std::optional<TimePoint> vanishedAt(const std::string &name) const = 0;
    /// When the last answer was requested; nothing before the first answer.
    virtual std::optional<TimePoint> lastRefresh() const = 0;
};

} // namespace fescueledge
