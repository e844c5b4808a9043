#pragma once

#include "fescueledge/dispatchmessages.h"
#include "fescueledge/types.h"

#include <set>
#include <utility>
#include <vector>

namespace fescueledge {

struct AttemptRow;
struct PeerResult;
struct WorkerContext;

/// Reports ended attempts to their queue owners until each is settled, and running attempts periodically.
class OutcomeReportSystem
{
public:
    explicit OutcomeReportSystem(WorkerContext *context);
    void run();

private:
    using Keys = std::vector<std::pair<TaskId, Attempt>>;

    bool isDue(const AttemptRow &row) const;
    void send(const NodeId &node, const Keys &keys);
    void receive(const NodeId &node, const std::set<std::pair<TaskId, Attempt>> &ends, const PeerResult &result);
    void settle(const OutcomeReply::Item &item, bool end);

    WorkerContext *m_context;
    std::set<NodeId> m_pendingCalls; ///< Nodes with an unanswered call.
};

} // namespace fescueledge
