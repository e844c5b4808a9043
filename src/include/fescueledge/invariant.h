#pragma once

#include <stdexcept>
#include <string>

namespace fescueledge {

/// Safety properties that the program asserts at run time. Each comment describes the violation.
enum class Invariant {
    SingleOwner, ///< Two nodes act for the same shard at once.
    WorkerCapacity, ///< A worker is assigned more than its CPU, memory, accelerators, slots or connections.
    SingleAttempt, ///< Two attempts of the same task run at once.
    StartAfterFence, ///< A task started in a data centre that is out of service.
    VersionMonotonic, ///< A control version, epoch or attempt number decreased.
    SendOnce, ///< A keyed request was sent twice.
};

/// The name of @p invariant in logs and metrics.
const char *invariantName(Invariant invariant);

/// Thrown when an invariant is violated. A handler must never continue the same operation.
class InvariantViolation : public std::logic_error
{
public:
    InvariantViolation(Invariant invariant, const std::string &ids);
    Invariant invariant() const;

private:
    Invariant m_invariant;
};

/// Logs the event `invariant_violated` with @p ids and throws InvariantViolation unless @p holds.
void assertInvariant(bool holds, Invariant invariant, const std::string &ids);

} // namespace fescueledge
