#include "remotecapacity_pvt.h"

#include "latencytracker_pvt.h"
#include "peerbody_pvt.h"

#include "fescueledge/authority.h"
#include "fescueledge/loop.h"
#include "fescueledge/peertransport.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace fescueledge {

namespace {

const char *const noticeKind = "endpoint-capacity";
constexpr Milliseconds noticeFreshnessWindow{3000};
constexpr Milliseconds noticeTimeout{1000};
constexpr double sameDataCentreHopMs = 1.0;
constexpr double otherDataCentreHopMs = 3.0;
constexpr double roundTripWeight = 0.2;

} // namespace

RemoteCapacity::RemoteCapacity(Loop *loop, PeerTransport *transport, Authority *authority)
    : m_loop(loop)
    , m_transport(transport)
    , m_authority(authority)
{
}

void RemoteCapacity::setDataCentre(const DataCentreId &dataCentre)
{
    m_dataCentre = dataCentre;
}

void RemoteCapacity::start(Milliseconds interval, LoadSource loadSource)
{
    m_noticeInterval = interval;
    m_loadSource = std::move(loadSource);
    m_transport->setReceiver(
        noticeKind, [this](const NodeId &from, const PeerMessage &message, const PeerTransport::Responder &respond) {
            const std::optional<EndpointCapacityNotice> notice = parseBody<EndpointCapacityNotice>(message);
            if (notice) {
                onNotice(from, *notice);
            }
            respond(PeerMessage{noticeKind, nlohmann::json::object()});
        });
    tick();
}

void RemoteCapacity::tick()
{
    broadcastNotice();
    m_loop->postAfter(m_noticeInterval, [this] {
        tick();
    });
}

void RemoteCapacity::broadcastNotice()
{
    if (!m_loadSource) {
        return;
    }
    EndpointCapacityNotice notice;
    notice.incarnation = m_authority->incarnation();
    notice.sequence = ++m_sequence;
    notice.dataCentre = m_dataCentre;
    notice.pools = m_loadSource();
    const PeerMessage message{noticeKind, notice};
    const TimePoint sentAt = m_loop->now();
    for (const NodeId &node : m_authority->liveNodes()) {
        if (node == m_authority->self()) {
            continue;
        }
        m_transport->call(node, message, noticeTimeout, [this, node, sentAt](const PeerResult &result) {
            if (result.answered) {
                double &roundTripMs = m_nodes[node].roundTripMs;
                const double ms = toMs(m_loop->now() - sentAt);
                roundTripMs = roundTripMs == 0 ? ms : roundTripMs + (ms - roundTripMs) * roundTripWeight;
            }
        });
    }
}

void RemoteCapacity::onNotice(const NodeId &from, const EndpointCapacityNotice &notice)
{
    Node &node = m_nodes[from];
    const bool isOlder = notice.incarnation < node.notice.incarnation
        || (notice.incarnation == node.notice.incarnation && notice.sequence <= node.notice.sequence);
    if (isOlder) {
        return;
    }
    node.notice = notice;
    node.receivedAt = m_loop->now();
    node.forwardsSinceNotice.clear();
}

std::vector<RemoteCapacity::Candidate> RemoteCapacity::candidates(const std::string &pool) const
{
    std::vector<Candidate> out;
    const std::vector<NodeId> live = m_authority->liveNodes();
    for (const auto &it : m_nodes) {
        const auto load = it.second.notice.pools.find(pool);
        if (load == it.second.notice.pools.end() || load->second.totalSlots == 0) {
            continue;
        }
        const bool isFresh = m_loop->now() - it.second.receivedAt < noticeFreshnessWindow;
        if (!isFresh || std::find(live.begin(), live.end(), it.first) == live.end()) {
            continue;
        }
        Candidate candidate{it.first, load->second, hopMs(it.second)};
        const auto forwarded = it.second.forwardsSinceNotice.find(pool);
        if (forwarded != it.second.forwardsSinceNotice.end()) {
            candidate.load.freeSlots -= forwarded->second;
            candidate.load.queued += std::max(0, -candidate.load.freeSlots);
            candidate.load.freeSlots = std::max(0, candidate.load.freeSlots);
        }
        out.push_back(candidate);
    }
    return out;
}

double RemoteCapacity::hopMs(const Node &node) const
{
    if (node.roundTripMs > 0) {
        return node.roundTripMs;
    }
    const bool isSameDataCentre = !m_dataCentre.empty() && node.notice.dataCentre == m_dataCentre;
    return isSameDataCentre ? sameDataCentreHopMs : otherDataCentreHopMs;
}

void RemoteCapacity::countForward(const NodeId &node, const std::string &pool)
{
    ++m_nodes[node].forwardsSinceNotice[pool];
}

void RemoteCapacity::invalidate(const NodeId &node)
{
    m_nodes[node].notice.pools.clear();
}

} // namespace fescueledge
