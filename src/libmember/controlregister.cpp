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

std::shared_ptr<const ControlState> parseControl(const ControlParser &parser, const ControlRow &row)
{
    auto state = std::make_shared<ControlState>();
    state->version = row.version;
    state->routesText = row.content.routesText;
    state->poolsText = row.content.poolsText;
    state->dataCentresOut = row.content.dataCentresOut;
    if (row.version != 0) {
        parser.parse(state.get());
    }
    return state;
}

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

bool ControlRegister::upToDate() const
{
    return m_knownVersion <= m_state->version;
}

void ControlRegister::setIncarnation(Incarnation incarnation)
{
    m_incarnation = incarnation;
}

void ControlRegister::noteVersion(ControlVersion version, const std::string &digest, const NodeId &from)
{
    if (version <= m_knownVersion) {
        return;
    }
    m_knownVersion = version;
    m_knownDigest = digest;
    m_knownFrom = from;
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

/// Loads a version from the value of its row unless it is older than the loaded one. False if it is unusable.
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

/// Fetches the newest known version from the node that told of it.
void ControlRegister::loadMissing()
{
    if (m_loading || upToDate()) {
        return;
    }
    m_loading = true;
    m_transport->call(m_knownFrom, PeerMessage{FetchRequest::kind, FetchRequest()}, m_timings.peerTimeout,
                      [this](const PeerResult &result) {
                          onFetched(result);
                          if (upToDate()) {
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

/// A change on its way into the store.
struct ControlRegister::Proposal
{
    ControlChange change;
    OutcomeHandler handler;
    std::string rowValue;

    void refuse(ControlOutcome::Status status, ControlVersion version, const std::string &message) const
    {
        handler(ControlOutcome{status, version, {}, message});
    }
};

void ControlRegister::propose(const ControlChange &change, OutcomeHandler handler)
{
    auto proposal = std::make_shared<Proposal>(Proposal{change, std::move(handler), {}});
    if (change.content.digest() != change.expectedDigest) {
        proposal->refuse(ControlOutcome::Status::DigestMismatch, 0, "the content is not the one that was reviewed");
        return;
    }
    try {
        parseControl(*m_parser, ControlRow{change.expectedVersion + 1, change.content});
    } catch (const Error &e) {
        proposal->refuse(ControlOutcome::Status::Invalid, 0, e.what());
        return;
    }
    m_table->read({currentControlKey}, [this, proposal](const ReadResult &result) {
        onProposalRead(proposal, result);
    });
}

void ControlRegister::onProposalRead(const std::shared_ptr<Proposal> &proposal, const ReadResult &result)
{
    if (!result.available) {
        proposal->refuse(ControlOutcome::Status::StoreUnavailable, 0, "the store does not answer");
        return;
    }
    const Row *row = result.find(currentControlKey);
    const ControlVersion current = row == nullptr ? 0 : decodeControlRow(row->value).version;
    if (current != proposal->change.expectedVersion) {
        proposal->refuse(ControlOutcome::Status::Conflict, current, "the current version is another");
        return;
    }
    commitProposal(proposal, row);
}

void ControlRegister::commitProposal(const std::shared_ptr<Proposal> &proposal, const Row *currentRow)
{
    const ControlChange &change = proposal->change;
    const ControlVersion version = change.expectedVersion + 1;
    const ControlContent before =
        currentRow == nullptr ? ControlContent() : decodeControlRow(currentRow->value).content;
    const ControlHistoryEntry entry{version, change.who, change.why, m_wallClock(), before, change.content};
    proposal->rowValue = encodeControlRow(ControlRow{version, change.content});
    Transaction transaction;
    transaction.writeId = m_random.uniqueId();
    transaction.conditions = {{historyKey(version), 0},
                              {currentControlKey, currentRow == nullptr ? 0 : currentRow->version}};
    transaction.puts = {{historyKey(version), encodeHistoryEntry(entry)}, {currentControlKey, proposal->rowValue}};
    m_resolver.commit(transaction, m_timings.storePatience, [this, proposal](const CommitResult &result) {
        onProposalCommitted(proposal, result);
    });
}

void ControlRegister::onProposalCommitted(const std::shared_ptr<Proposal> &proposal, const CommitResult &result)
{
    const ControlVersion version = proposal->change.expectedVersion + 1;
    switch (result.status) {
    case CommitStatus::Committed:
        LOG(INFO) << "control_accepted version=" << version << " who=" << proposal->change.who;
        load(proposal->rowValue);
        m_tracker->await(version, proposal->handler);
        return;
    case CommitStatus::Conflict:
        proposal->refuse(ControlOutcome::Status::Conflict, version, "another change was accepted first");
        return;
    case CommitStatus::Unavailable:
        proposal->refuse(ControlOutcome::Status::StoreUnavailable, 0, "the store does not answer");
        return;
    case CommitStatus::Unknown:
        proposal->refuse(ControlOutcome::Status::StoreOutcomeUnknown, version, "the store's answer was lost");
        return;
    }
}

/// A data centre to take out or bring back.
struct ControlRegister::CentreChange
{
    DataCentreId dataCentre;
    bool out = false;
    std::string who;
    std::string why;
    OutcomeHandler handler;
    TimePoint giveUpAt;
};

void ControlRegister::takeOut(const DataCentreId &dataCentre, const std::string &who, const std::string &why,
                              OutcomeHandler handler)
{
    const TimePoint giveUpAt = m_loop->now() + m_timings.storePatience;
    changeCentre(
        std::make_shared<CentreChange>(CentreChange{dataCentre, true, who, why, std::move(handler), giveUpAt}));
}

void ControlRegister::bringBack(const DataCentreId &dataCentre, const std::string &who, const std::string &why,
                                OutcomeHandler handler)
{
    const TimePoint giveUpAt = m_loop->now() + m_timings.storePatience;
    changeCentre(
        std::make_shared<CentreChange>(CentreChange{dataCentre, false, who, why, std::move(handler), giveUpAt}));
}

void ControlRegister::changeCentre(const std::shared_ptr<CentreChange> &change)
{
    m_table->read({currentControlKey}, [this, change](const ReadResult &result) {
        onCentreRead(change, result);
    });
}

void ControlRegister::onCentreRead(const std::shared_ptr<CentreChange> &change, const ReadResult &result)
{
    if (!result.available) {
        change->handler(ControlOutcome{ControlOutcome::Status::StoreUnavailable, 0, {}, "the store does not answer"});
        return;
    }
    const Row *row = result.find(currentControlKey);
    const ControlRow current = row == nullptr ? ControlRow() : decodeControlRow(row->value);
    ControlChange proposal{change->who, change->why, current.version, {}, current.content};
    if (change->out) {
        proposal.content.dataCentresOut.insert(change->dataCentre);
    } else {
        proposal.content.dataCentresOut.erase(change->dataCentre);
    }
    if (proposal.content == current.content) {
        // Nothing to change; the answer still means that no node acts on an older state.
        awaitInForce(current.version, change->handler);
        return;
    }
    proposal.expectedDigest = proposal.content.digest();
    propose(proposal, [this, change](const ControlOutcome &outcome) {
        const bool lostRace = outcome.status == ControlOutcome::Status::Conflict;
        if (lostRace && m_loop->now() < change->giveUpAt) {
            changeCentre(change);
        } else {
            change->handler(outcome);
        }
    });
}

void ControlRegister::awaitInForce(ControlVersion version, OutcomeHandler handler)
{
    if (version <= m_state->version) {
        m_tracker->await(version, std::move(handler));
        return;
    }
    refresh([this, version, handler = std::move(handler)](bool loaded) {
        if (version <= m_state->version) {
            m_tracker->await(version, handler);
            return;
        }
        const auto status = loaded ? ControlOutcome::Status::NotFound : ControlOutcome::Status::StoreUnavailable;
        handler(ControlOutcome{status, m_state->version, {}, "no such version is known to be accepted"});
    });
}

void ControlRegister::history(std::size_t limit, HistoryHandler handler)
{
    m_table->read({currentControlKey}, [this, limit, handler = std::move(handler)](const ReadResult &head) {
        onHistoryHead(limit, handler, head);
    });
}

void ControlRegister::onHistoryHead(std::size_t limit, const HistoryHandler &handler, const ReadResult &head)
{
    const Row *row = head.find(currentControlKey);
    if (!head.available || row == nullptr) {
        handler(head.available, {});
        return;
    }
    const ControlVersion newest = decodeControlRow(row->value).version;
    const ControlVersion oldest = newest > limit ? newest - limit + 1 : 1;
    std::vector<std::string> keys;
    for (ControlVersion version = oldest; version <= newest; ++version) {
        keys.push_back(historyKey(version));
    }
    m_table->read(keys, [handler](const ReadResult &result) {
        std::vector<ControlHistoryEntry> entries;
        for (const Row &it : result.rows) {
            entries.push_back(decodeHistoryEntry(it.value));
        }
        std::sort(entries.begin(), entries.end(), [](const ControlHistoryEntry &a, const ControlHistoryEntry &b) {
            return a.version > b.version;
        });
        handler(result.available, entries);
    });
}

} // namespace fescueledge
