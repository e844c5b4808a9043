#pragma once

#include "fescueledge/types.h"

namespace fescueledge {

/// Time as the command line sees it.
class CliClock
{
public:
    virtual ~CliClock() = default;
    virtual TimePoint now() = 0;
    virtual void sleepFor(Milliseconds time) = 0;
};

} // namespace fescueledge
