#include "forwarder_pvt.h"

#include "localsender_pvt.h"
#include "peerbody_pvt.h"

#include "fescueledge/loop.h"
#include "fescueledge/peertransport.h"

#include <algorithm>

namespace fescueledge {

namespace {

const char *const forwardKind = "forward";
/// Time for which duplicates of a forward are detected.
constexpr std::chrono::minutes deduplicationWindow{5};
/// The owner's deadline is earlier by this, so that its reply arrives before the forwarding node times out.
constexpr Milliseconds replyMargin{5};

DispatchResult noReply(const NodeId &node)
{
    DispatchResult result;
    result.error = ErrorKind::PeerUnreachable;
    result.message = "no answer from node " + node;
    result.outcome = RunOutcome::Unknown;
    return result;
}

} // namespace

Forwarder::Forwarder(Loop *loop, PeerTransport *transport, LocalSender *sender, RequestStatistics *statistics)
    : m_loop(loop)
    , m_transport(transport)
    , m_sender(sender)
    , m_statistics(statistics)
{
}

void Forwarder::start()
{
    m_transport->setReceiver(
        forwardKind, [this](const NodeId &, const PeerMessage &message, const PeerTransport::Responder &respond) {
            onForward(message, respond);
        });
}

void Forwarder::stopServing()
{
    m_stopped = true;
}

int Forwarder::serving() const
{
    return m_serving;
}

void Forwarder::setIdleHandler(std::function<void()> handler)
{
    m_idleHandler = std::move(handler);
}

void Forwarder::forward(const NodeId &node, const std::string &attemptId, const std::shared_ptr<LocalAttempt> &attempt)
{
    ForwardRequest request;
    request.attemptId = attemptId;
    request.request = attempt->request;
    request.pool = attempt->pool;
    request.urgency = attempt->urgency;
    request.idempotent = attempt->idempotent;
    const Milliseconds remaining = std::chrono::duration_cast<Milliseconds>(attempt->deadline - m_loop->now());
    request.remaining = std::max(Milliseconds(1), remaining - replyMargin);
    request.avoid = attempt->avoid;
    ++m_statistics->forwardsSent;
    m_transport->call(node, PeerMessage{forwardKind, request}, std::max(Milliseconds(1), remaining),
                      [attempt, node, attemptId](const PeerResult &result) {
                          if (!result.answered) {
                              attempt->handler(noReply(node));
                              return;
                          }
                          const std::optional<ForwardReply> reply = parseBody<ForwardReply>(result.reply);
                          if (!reply || reply->attemptId != attemptId) {
                              attempt->handler(noReply(node));
                              return;
                          }
                          DispatchResult out = reply->result;
                          out.node = node;
                          attempt->handler(out);
                      });
}

void Forwarder::onForward(const PeerMessage &message, const std::function<void(const PeerMessage &)> &respond)
{
    const std::optional<ForwardRequest> parsed = parseBody<ForwardRequest>(message);
    if (!parsed) {
        return;
    }
    const ForwardRequest &request = *parsed;
    const std::string attemptId = request.attemptId;
    const auto answer = [respond, attemptId](const DispatchResult &result) {
        respond(PeerMessage{forwardKind, ForwardReply{attemptId, result}});
    };
    if (isDuplicate(attemptId)) {
        // The first copy runs or has run; its result is the reply to that copy only.
        answer(noReply("that ran an earlier copy"));
        return;
    }
    if (m_stopped) {
        answer(notRun(ErrorKind::ShuttingDown, "the node drains"));
        return;
    }
    ++m_statistics->forwardsServed;
    ++m_serving;
    const auto attempt = std::make_shared<LocalAttempt>();
    attempt->request = request.request;
    attempt->pool = request.pool;
    attempt->deadline = m_loop->now() + request.remaining;
    attempt->urgency = request.urgency;
    attempt->idempotent = request.idempotent;
    attempt->avoid = request.avoid;
    attempt->handler = [this, answer](const DispatchResult &result) {
        answer(result);
        --m_serving;
        if (m_idleHandler) {
            m_idleHandler();
        }
    };
    m_sender->submit(attempt);
}

bool Forwarder::isDuplicate(const std::string &attemptId)
{
    const TimePoint now = m_loop->now();
    while (!m_seenAttemptsByTime.empty() && now - m_seenAttemptsByTime.front().first > deduplicationWindow) {
        m_seenAttempts.erase(m_seenAttemptsByTime.front().second);
        m_seenAttemptsByTime.pop_front();
    }
    if (!m_seenAttempts.insert(attemptId).second) {
        return true;
    }
    m_seenAttemptsByTime.emplace_back(now, attemptId);
    return false;
}

} // namespace fescueledge
