#include "fescueledge/invariant.h"

#include <glog/logging.h>

namespace fescueledge {

const char *invariantName(Invariant invariant)
{
    switch (invariant) {
    case Invariant::SingleOwner:
        return "single-owner";
    case Invariant::WorkerCapacity:
        return "worker-capacity";
    case Invariant::SingleAttempt:
        return "single-attempt";
    case Invariant::StartAfterFence:
        return "start-after-fence";
    case Invariant::VersionMonotonic:
        return "version-monotonic";
    case Invariant::SendOnce:
        return "send-once";
    }
    return "unnamed";
}

InvariantViolation::InvariantViolation(Invariant invariant, const std::string &ids)
    : std::logic_error(std::string(invariantName(invariant)) + ": " + ids)
    , m_invariant(invariant)
{
}

Invariant InvariantViolation::invariant() const
{
    return m_invariant;
}

void assertInvariant(bool holds, Invariant invariant, const std::string &ids)
{
    if (holds) {
        return;
    }
    LOG(ERROR) << "invariant_violated invariant=" << invariantName(invariant) << " " << ids;
    throw InvariantViolation(invariant, ids);
}

} // namespace fescueledge
