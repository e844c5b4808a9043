#pragma once

#include "fescueledge/types.h"

#include <cstdint>
#include <map>
#include <memory>
#include <utility>

namespace fescueledge {

class InterferencePolicy;
struct WorkerContext;

/// Passes each new measurement of a service to the estimator and the policy, once per worker reply.
class InterferenceSystem
{
public:
    explicit InterferenceSystem(WorkerContext *context);
    ~InterferenceSystem();
    void run();

private:
    WorkerContext *m_context;
    std::unique_ptr<InterferencePolicy> m_policy;
    std::map<WorkerId, std::pair<std::uint64_t, std::uint64_t>>
        m_seen; ///< Row generation and reply count last processed.
};

} // namespace fescueledge
