#pragma once

#include "fescueledge/types.h"

#include <cstdint>
#include <map>
#include <memory>
#include <utility>

namespace fescueledge {

class InterferencePolicy;
struct WorkerContext;

/// Learns from each fresh measurement of a service and lets the policy act on it, once for each reply.
class InterferenceSystem
{
public:
    explicit InterferenceSystem(WorkerContext *context);
    ~InterferenceSystem();
    void run();

private:
    WorkerContext *m_context;
    std::unique_ptr<InterferencePolicy> m_policy;
    std::map<WorkerId, std::pair<std::uint64_t, std::uint64_t>> m_seen; ///< Row serial and replies taken in.
};

} // namespace fescueledge
