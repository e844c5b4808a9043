#include "grantorgroup_pvt.h"

namespace fescueledge {

std::size_t majorityOf(std::size_t size)
{
    return size / 2 + 1;
}

bool hasLostMajority(const GrantorGroup &group, const Grantor &holder,
                     const std::function<bool(const Grantor &)> &isExpired)
{
    std::size_t remaining = 0;
    for (const Grantor &grantor : group) {
        if (grantor == holder || !isExpired(grantor)) {
            ++remaining;
        }
    }
    return remaining < majorityOf(group.size());
}

} // namespace fescueledge
