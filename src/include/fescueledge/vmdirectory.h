#pragma once

#include "fescueledge/vmentry.h"

#include <optional>
#include <string>
#include <vector>

namespace fescueledge {

/// The last answer that this node got from the platform's VM list. All calls on the control loop.
class VmDirectory
{
public:
    virtual ~VmDirectory() = default;
    /// The VMs of the last answer, ordered by name. They are kept while the list does not answer.
    virtual const std::vector<VmEntry> &entries() const = 0;
    /// The VM named @p name, or nullptr.
    virtual const VmEntry *find(const std::string &name) const = 0;
    /// When @p name was first missing from an answer after an earlier answer to this process had listed it; nullopt if
    /// it is listed or never was.
    virtual std::optional<TimePoint> missingSince(const std::string &name) const = 0;
    /// When the last answer was requested; nullopt before the first answer.
    virtual std::optional<TimePoint> lastRefresh() const = 0;
};

} // namespace fescueledge
