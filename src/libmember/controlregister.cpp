#include "fescueledge/controlregister.h"

#include "controlcodec_pvt.h"
#include "controlmessages_pvt.h"
#include "fescueledge/controlparser.h"
#include "fescueledge/controlstate.h"
#include "fescueledge/error.h"
#include "fescueledge/invariant.h"
#include "fescueledge/loop.h"
#include "fescueledge/tableservice.h"
#include "fescueledge/vmdirectory.h"
#include "inforcetracker_pvt.h"

#include <algorithm>
#include <glog/logging.h>
#include <utility>

namespace fescueledge {

namespace {

constexpr Milliseconds loadRetryDelay{200};

} // namespace

ControlRegister::ControlRegister(Loop *loop, TableService *table, const VmDirectory *vms, PeerTransport *transport,
                                 const ControlParser *parser, const NodeId &self, const LeaseTimings &timings,
                                 WallClock wallClock, std::uint64_t seed)
    : m_loop(loop)
    , m_table(table)
    , m_vms(vms)
    , m_transport(transport)
    , m_parser(parser)
    , m_self(self)
    , m_timings(timings)
    , m_wallClock(std::move(wallClock))
    , m_random(seed)
    , m_resolver(loop, table)
    , m_tracker(std::make_unique<InForceTracker>(loop, table, vms, transport, timings,
                                                 [this] {
                                                     return m_rowValue;
                                                 }))
    , m_state(std::make_shared<ControlState>())
{
    setReceivers();
}

ControlRegister::~ControlRegister() = default;

void ControlRegister::setReceivers()
{
    m_transport->setReceiver(
        ApplyRequest::kind,
        [this](const NodeId &, const PeerMessage &message, const PeerTransport::Responder &respond) {
            const std::string rowValue = message.body.get<ApplyRequest>().rowValue;
            if (!rowValue.empty()) {
                load(rowValue);
            }
            respond(PeerMessage{ApplyReply::kind, ApplyReply{m_incarnation, m_state->version}});
        });
    m_transport->setReceiver(FetchRequest::kind,
                             [this](const NodeId &, const PeerMessage &, const PeerTransport::Responder &respond) {
                                 respond(PeerMessage{FetchReply::kind, FetchReply{m_rowValue}});
                             });
}

void ControlRegister::addApplyHook(ApplyHook hook)
{
    if (m_state->version != 0) {
        hook(m_state);
    }
    m_hooks.push_back(std::move(hook));
}

std::shared_ptr<const ControlState> ControlRegister::current() const
{
    return m_state;
}

const std::string &ControlRegister::currentDigest() const
{
    return m_digest;
}

bool ControlRegister::isUpToDate() const
{
    return m_knownVersion <= m_state->version;
}

void ControlRegister::setIncarnation(Incarnation incarnation)
{
    m_incarnation = incarnation;
}

void ControlRegister::observeVersion(ControlVersion version, const std::string &digest, const NodeId &from)
{
    if (version <= m_knownVersion) {
        return;
    }
    m_knownVersion = version;
    m_knownDigest = digest;
    m_knownVersionSource = from;
    loadMissing();
}

void ControlRegister::refresh(std::function<void(bool)> handler)
{
    m_table->read({currentControlKey}, [this, handler = std::move(handler)](const ReadResult &result) {
        const Row *row = result.find(currentControlKey);
        handler(result.available && (row == nullptr || load(row->value)));
    });
}

void ControlRegister::fetchFromPeers()
{
    for (const VmEntry &vm : m_vms->entries()) {
        if (vm.kind == VmEntry::Kind::Entry && vm.name != m_self) {
            m_transport->call(vm.name, PeerMessage{FetchRequest::kind, FetchRequest()}, m_timings.peerTimeout,
                              [this](const PeerResult &result) {
                                  onFetched(result);
                              });
        }
    }
}

/// Loads the version in @p rowValue if it is newer than the loaded one. Returns false if the tables are invalid or the
/// digest does not match.
bool ControlRegister::load(const std::string &rowValue)
{
    try {
        const ControlRow row = decodeControlRow(rowValue);
        const std::string digest = row.content.digest();
        if (row.version == m_knownVersion && !m_knownDigest.empty() && digest != m_knownDigest) {
            throw Error(ErrorKind::DigestMismatch, "control version " + std::to_string(row.version));
        }
        if (row.version > m_state->version) {
            if (row.version > m_knownVersion) {
                m_knownVersion = row.version;
                m_knownDigest = digest;
            }
            install(parseControl(*m_parser, row), digest, rowValue);
        }
        return true;
    } catch (const Error &e) {
        LOG(ERROR) << "control_not_loaded node=" << m_self << " error=" << errorKindName(e.kind()) << " " << e.what();
        return false;
    }
}

void ControlRegister::install(const std::shared_ptr<const ControlState> &state, const std::string &digest,
                              const std::string &rowValue)
{
    assertInvariant(state->version > m_state->version, Invariant::VersionMonotonic,
                    "node=" + m_self + " version=" + std::to_string(state->version));
    m_state = state;
    m_digest = digest;
    m_rowValue = rowValue;
    LOG(INFO) << "control_applied node=" << m_self << " version=" << state->version << " digest=" << digest;
    for (const ApplyHook &hook : m_hooks) {
        hook(m_state);
    }
}

/// Fetches the newest known version from the node that reported it, and if that fails, from the store.
void ControlRegister::loadMissing()
{
    if (m_loading || isUpToDate()) {
        return;
    }
    m_loading = true;
    m_transport->call(m_knownVersionSource, PeerMessage{FetchRequest::kind, FetchRequest()}, m_timings.peerTimeout,
                      [this](const PeerResult &result) {
                          onFetched(result);
                          if (isUpToDate()) {
                              m_loading = false;
                              return;
                          }
                          refresh([this](bool) {
                              retryLoadLater();
                          });
                      });
}

void ControlRegister::retryLoadLater()
{
    m_loop->postAfter(loadRetryDelay, [this] {
        m_loading = false;
        loadMissing();
    });
}

void ControlRegister::onFetched(const PeerResult &result)
{
    const std::string rowValue = result.answered ? result.reply.body.get<FetchReply>().rowValue : std::string();
    if (!rowValue.empty()) {
        load(rowValue);
    }
}

} // namespace fescueledge
