#pragma once

#include <stdexcept>
#include <string>

namespace fescueledge {

/// The safety properties that the program asserts of itself.
enum class Invariant {
    SingleOwner, ///< Two nodes act for one shard.
    WorkerCapacity, ///< A worker holds more than its processors, memory, accelerators, slots or connections.
    SingleAttempt, ///< Two attempts of one task run.
    StartAfterFence, ///< A task started in a data centre that is out.
    VersionMonotonic, ///< A control version, epoch or attempt went back.
    SendOnce, ///< A keyed request was sent twice.
};

/// The name of @p invariant in logs and metrics.
const char *invariantName(Invariant invariant);

/// Thrown when the program finds one of its own invariants broken. Never caught to go on with the same operation.
class InvariantViolation : public std::logic_error
{
public:
    InvariantViolation(Invariant invariant, const std::string &ids);
    Invariant invariant() const;

private:
    Invariant m_invariant;
};

/// Throws InvariantViolation and logs the event `invariant_violated` with @p ids unless @p holds.
void assertInvariant(bool holds, Invariant invariant, const std::string &ids);

} // namespace fescueledge
