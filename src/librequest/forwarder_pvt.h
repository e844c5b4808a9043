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

/// Hands attempts to other owners of a pool, and serves theirs. A forwarded request is never forwarded again.
class Forwarder
{
public:
    Forwarder(Loop *loop, PeerTransport *transport, LocalSender *sender, RequestStatistics *statistics);

    void start();
    /// Refuses forwards of other nodes from now on.
    void stopServing();
    /// Forwards of other nodes that are not answered yet.
    int serving() const;
    /// Called whenever serving() went down.
    void setIdleHandler(std::function<void()> handler);

    /// Runs @p attempt on @p node. A lost answer ends as Unknown, as it may have been sent.
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
