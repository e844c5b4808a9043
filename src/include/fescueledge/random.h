#pragma once

#include <cstddef>
#include <cstdint>
#include <random>
#include <string>

namespace fescueledge {

/// A seeded random number generator. Equal seeds give equal sequences. Not thread-safe.
class Random
{
public:
    explicit Random(std::uint64_t seed);

    /// A uniform integer in [0, @p bound); @p bound must not be 0.
    std::size_t below(std::size_t bound);
    /// A uniform real number in [0, 1).
    double unit();
    /// True with probability @p p.
    bool chance(double p);
    /// An identifier of 128 random bits in hexadecimal.
    std::string uniqueId();

private:
    std::mt19937_64 m_engine;
};

} // namespace fescueledge
