#pragma once

#include "fescueledge/vmentry.h"

#include <functional>
#include <vector>

namespace fescueledge {

/// The answer of the VM list.
struct VmListResult
{
    bool available = false;
    std::vector<VmEntry> entries; ///< Ordered by name.
};

/// The platform's list of live and leaving VMs. It lags. The handler runs later on the caller's loop, exactly once.
class VmList
{
public:
    using Handler = std::function<void(const VmListResult &)>;

    virtual ~VmList() = default;
    virtual void list(Handler handler) = 0;
};

} // namespace fescueledge
