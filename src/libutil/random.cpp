#include "fescueledge/random.h"

#include <cstdio>

namespace fescueledge {

Random::Random(std::uint64_t seed)
    : m_engine(seed)
{
}

std::size_t Random::below(std::size_t bound)
{
    return std::uniform_int_distribution<std::size_t>(0, bound - 1)(m_engine);
}

double Random::unit()
{
    return std::uniform_real_distribution<double>(0.0, 1.0)(m_engine);
}

bool Random::chance(double p)
{
    return unit() < p;
}

std::string Random::uniqueId()
{
    char buf[33];
    std::snprintf(buf, sizeof(buf), "%016llx%016llx", static_cast<unsigned long long>(m_engine()),
                  static_cast<unsigned long long>(m_engine()));
    return buf;
}

} // namespace fescueledge
