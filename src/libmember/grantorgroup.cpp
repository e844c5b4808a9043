#include "grantorgroup_pvt.h"

namespace fescueledge {

std::size_t majorityOf(std::size_t size)
{
    return size / 2 + 1;
}

bool isReleased(const GrantorGroup &group, const Grantor &holder, const std::function<bool(const Grantor &)> &lapsed)
{
    std::size_t rest = 0;
    for (const Grantor &grantor : group) {
        if (grantor == holder || !lapsed(grantor)) {
            ++rest;
        }
    }
    return rest < majorityOf(group.size());
}

} // namespace fescueledge
