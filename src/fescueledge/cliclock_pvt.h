#pragma once

#include "fescueledge/types.h"

namespace fescueledge {

/// Clock of the command line; tests replace it with a virtual one.
class CliClock
{
public:
    virtual ~CliClock() = default;
    virtual TimePoint now() = 0;
    virtual void sleepFor(Milliseconds time) = 0;
};

} // namespace fescueledge
