#pragma once

#include "fescueledge/types.h"

#include <functional>

namespace fescueledge {

/// An event loop: it runs functions one after the other on one thread and provides the time.
///
/// All decision code runs on a loop and needs no locks. The daemon uses real-time loops; tests run the same code on a
/// SimLoop in virtual time. post() and postAfter() may be called from any thread.
class Loop
{
public:
    virtual ~Loop() = default;

    /// The current monotonic time.
    virtual TimePoint now() const = 0;
    /// Runs @p fn on the loop as soon as possible, never before this call returns.
    virtual void post(std::function<void()> fn) = 0;
    /// Runs @p fn on the loop once @p delay has passed.
    virtual void postAfter(Duration delay, std::function<void()> fn) = 0;
};

} // namespace fescueledge
