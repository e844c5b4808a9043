#include "fescueledge/resources.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace fescueledge {

bool Resources::fitsIn(const Resources &room) const
{
    return milliCores <= room.milliCores && memoryMb <= room.memoryMb && accelerators <= room.accelerators;
}

Resources &Resources::operator+=(const Resources &other)
{
    milliCores += other.milliCores;
    memoryMb += other.memoryMb;
    accelerators += other.accelerators;
    return *this;
}

Resources &Resources::operator-=(const Resources &other)
{
    milliCores -= other.milliCores;
    memoryMb -= other.memoryMb;
    accelerators -= other.accelerators;
    return *this;
}

Resources operator+(Resources a, const Resources &b)
{
    return a += b;
}

Resources operator-(Resources a, const Resources &b)
{
    return a -= b;
}

Resources largestOf(const Resources &a, const Resources &b)
{
    Resources out;
    out.milliCores = std::max(a.milliCores, b.milliCores);
    out.memoryMb = std::max(a.memoryMb, b.memoryMb);
    out.accelerators = std::max(a.accelerators, b.accelerators);
    return out;
}

bool operator==(const Resources &a, const Resources &b)
{
    return a.milliCores == b.milliCores && a.memoryMb == b.memoryMb && a.accelerators == b.accelerators;
}

bool operator!=(const Resources &a, const Resources &b)
{
    return !(a == b);
}

void to_json(nlohmann::json &json, const Resources &resources)
{
    json = {{"milli_cores", resources.milliCores},
            {"memory_mb", resources.memoryMb},
            {"accelerators", resources.accelerators}};
}

void from_json(const nlohmann::json &json, Resources &resources)
{
    json.at("milli_cores").get_to(resources.milliCores);
    json.at("memory_mb").get_to(resources.memoryMb);
    json.at("accelerators").get_to(resources.accelerators);
}

} // namespace fescueledge
