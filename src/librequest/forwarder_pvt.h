#pragma once

#include "forwardmessages_pvt.h"
#include "localattempt_pvt.h"

#include "fescueledge/requeststatistics.h"

#include <deque>
#include <functional>
#include <set>

namespace fescueledge {

class Authority;
class Loop;
class LocalSender;
class PeerTransport;
struct PeerMessage;

/// Forwards attempts to other nodes that own endpoints of a pool, and serves the forwards of other nodes.
/// A forwarded request is never forwarded again.
class Forwarder
{
public:
    Forwarder(Loop *loop, PeerTransport *transport, LocalSender *sender, RequestStatistics *statistics);

    void start();
    /// Refuses all later forwards of other nodes.
    void stopServing();
    /// Number of forwards of other nodes that are not answered yet.
    int serving() const;
    /// Sets the handler that is called whenever serving() decreases.
    void setIdleHandler(std::function<void()> handler);

    /// Runs @p attempt on @p node. Without a reply the outcome is Unknown, since the request may have been sent.
    void forward(const NodeId &node, const std::string &attemptId, const std::shared_ptr<LocalAttempt> &attempt);

private:
    void onForward(const PeerMessage &message, const std::function<void(const PeerMessage &)> &respond);
    bool isDuplicate(const std::string &attemptId);

    Loop *m_loop;
    PeerTransport *m_transport;
    LocalSender *m_sender;
    RequestStatistics *m_statistics;
    std::function<void()> m_idleHandler;
    bool m_stopped = false;
    int m_serving = 0;
    std::set<std::string> m_seenAttempts;
    std::deque<std::pair<TimePoint, std::string>> m_seenAttemptsByTime;
};

} // namespace fescueledge
