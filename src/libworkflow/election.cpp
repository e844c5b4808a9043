#include "election_pvt.h"

#include "fescueledge/workflow/catalogsource.h"
#include "rows_pvt.h"
#include "storemonitor_pvt.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>

namespace fescueledge::workflow {

using nlohmann::json;

namespace {

/// Interval between pings of the coordinator by the nodes that are best suited to replace it ...
constexpr Milliseconds pingInterval{150};
/// ... which are this many, so that pings load the coordinator of a large fleet little more than that of a small one
/// ...
constexpr int watcherCount = 12;
/// ... and by the other nodes. Their pings confirm the term of a coordinator that does not reach the store, so several
/// have to fit into the time for which a confirmation holds.
constexpr Milliseconds slowPingInterval{450};
constexpr Milliseconds basePingTimeout{300};
/// A coordinator that has not answered for this long, which means four lost pings, is suspected to have failed. A false
/// suspicion is affordable: a takeover costs a tenth of a second.
constexpr Milliseconds baseSuspicionTimeout{600};
/// Each false suspicion doubles the timeout, up to this many times ...
constexpr int maxFalseSuspicions = 3;
/// ... and after this time without one it is halved again.
constexpr std::chrono::seconds falseSuspicionMemory{20};
/// A term that is replaced sooner after its begin than this, by a node that did not wait for a resignation, may have
/// been busy loading: so the next one is given more time.
constexpr Milliseconds youngTermAge{6000};
/// Added to the takeover delay of a node for each other node that is better suited to coordinate.
constexpr Milliseconds takeoverDelayStep{60};
/// After this many consecutive failed calls to the store the coordinator reports the loss, and another node may take
/// over.
constexpr int maxStoreFailures = 3;
/// If a write of the coordinator waits this long while nothing else is answered, its connection to the store counts as
/// lost. A store that is 60 times slower than usual still answers in time.
constexpr Milliseconds storeAnswerTimeout{500};
/// A coordinator that reports the loss of the store for this long is replaced by a node that reaches the store well ...
constexpr Milliseconds storeLossTimeout{250};
/// ... which is one whose read was answered within this time.
constexpr Milliseconds healthyReadTimeout{250};
/// After this time without a coordinator that reaches the store, any node whose read was answered takes over.
constexpr Milliseconds storeOutageTimeout{3000};
/// A watch of the members ends after this time at the latest.
constexpr Milliseconds memberWatchTimeout{5000};
constexpr Milliseconds takeoverCommitTimeout{1000};

} // namespace

Election::Election(NodeDependencies parts, WorkflowNodeIdentity self, CoordinatorSettings settings,
                   std::shared_ptr<StoreMonitor> store)
    : m_parts(std::move(parts))
    , m_self(std::move(self))
    , m_settings(settings)
    , m_store(std::move(store))
    , m_resolver(m_parts.loop, m_parts.table)
    , m_random(m_self.seed)
    , m_alive(std::make_shared<bool>(true))
{
    const std::shared_ptr<bool> alive = m_alive;
    m_parts.peers->setReceiver(
        "coordinator-ping",
        [this, alive](const NodeId &from, const PeerMessage &message, const PeerTransport::Responder &respond) {
            if (*alive) {
                respond(answerPing(from, message.body));
            }
        });
    m_parts.peers->setReceiver(
        "coordinator-alive",
        [this, alive](const NodeId &, const PeerMessage &message, const PeerTransport::Responder &respond) {
            if (*alive) {
                recordFalseSuspicion(message.body.value("term", Term{0}));
            }
            respond(PeerMessage{"coordinator-alive", json::object()});
        });
}

Election::~Election()
{
    close();
}

void Election::close()
{
    *m_alive = false;
    m_store->close();
    m_localCoordinator.reset();
    m_memberFollower.reset();
}

std::string Election::encode(const CoordinatorRow &row)
{
    const json out{{"term", row.term}, {"node", row.node}, {"address", row.address}, {"resigned", row.resigned}};
    return out.dump();
}

std::optional<Election::CoordinatorRow> Election::decode(const std::string &value)
{
    try {
        const json in = json::parse(value);
        CoordinatorRow row;
        row.term = in.at("term").get<Term>();
        row.node = in.at("node").get<std::string>();
        row.address = in.at("address").get<std::string>();
        row.resigned = in.at("resigned").get<bool>();
        return row;
    } catch (const json::exception &) {
        return std::nullopt;
    }
}

void Election::start()
{
    m_coordinatorSeenAt = m_parts.loop->now();
    registerSelf();
    m_memberFollower = std::make_unique<CollectionFollower>(m_parts.loop, m_parts.table, "node", memberWatchTimeout);
    m_memberFollower->setContactHandler([this](bool answered) {
        m_store->recordWatch(answered);
    });
    m_memberFollower->start(
        [this](const std::vector<Row> &rows) {
            applyMemberRows(rows);
        },
        [this](const std::vector<WatchResult::Change> &changes) {
            std::vector<Row> rows;
            for (const WatchResult::Change &change : changes) {
                if (!change.removed) {
                    rows.push_back(change.row);
                }
            }
            applyMemberRows(rows);
        });
    readCoordinator();
    monitorCoordinator();
}

void Election::registerSelf()
{
    Transaction transaction;
    transaction.writeId = m_random.uniqueId();
    const json value{{"address", m_self.peerAddress}, {"cores", m_self.cores}};
    transaction.puts.push_back({rows::node(m_self.name), value.dump()});
    const std::shared_ptr<bool> alive = m_alive;
    // The row has the same content each time, so the write is idempotent and needs no condition.
    m_parts.table->commit(transaction, [this, alive](const CommitResult &result) {
        if (*alive && result.status != CommitStatus::Committed) {
            m_parts.loop->postAfter(m_settings.orderRetryDelay, [this, alive] {
                if (*alive) {
                    registerSelf();
                }
            });
        }
    });
}

void Election::applyMemberRows(const std::vector<Row> &rows)
{
    for (const Row &row : rows) {
        try {
            const json value = json::parse(row.value);
            m_members[row.key.substr(row.key.find('/') + 1)] =
                Member{value.at("address").get<std::string>(), value.value("cores", 0.0), row.version};
        } catch (const json::exception &error) {
            m_parts.log->write(LogLine("node_row_unreadable").with("row", row.key).with("detail", error.what()));
        }
    }
}

std::string Election::addressOf(const NodeId &node) const
{
    if (node == m_coordinator && !m_coordinatorAddress.empty()) {
        return m_coordinatorAddress;
    }
    const auto it = m_members.find(node);
    return it == m_members.end() ? std::string() : it->second.address;
}

void Election::monitorCoordinator()
{
    forgetFalseSuspicions();
    if (!m_localCoordinator) {
        if (!m_coordinator.empty() && m_parts.loop->now() >= m_pingedAt + pingIntervalOfSelf()) {
            ping();
        }
        if (suspectsCoordinator() && !m_resigned) {
            readCoordinator();
        }
    }
    const std::shared_ptr<bool> alive = m_alive;
    m_parts.loop->postAfter(pingInterval, [this, alive] {
        if (*alive) {
            monitorCoordinator();
        }
    });
}

bool Election::suspectsCoordinator() const
{
    return m_coordinator.empty() || m_parts.loop->now() > m_coordinatorSeenAt + suspicionTimeout()
        || coordinatorReportsStoreLoss();
}

Milliseconds Election::pingIntervalOfSelf() const
{
    return betterNodes() < watcherCount ? pingInterval : slowPingInterval;
}

Milliseconds Election::pingTimeout() const
{
    return basePingTimeout * (1 << m_falseSuspicions);
}

Duration Election::suspicionTimeout() const
{
    return baseSuspicionTimeout * (1 << m_falseSuspicions) + (pingIntervalOfSelf() - pingInterval);
}

void Election::recordFalseSuspicion(Term term)
{
    if (term <= m_falselySuspectedTerm) {
        return; // It has been reported already.
    }
    m_falselySuspectedTerm = term;
    m_falseSuspicions = std::min(m_falseSuspicions + 1, maxFalseSuspicions);
    m_falseSuspicionAt = m_parts.loop->now();
    m_parts.log->write(LogLine("false_suspicion")
                           .with("term", static_cast<std::int64_t>(term))
                           .with("timeout_ms", std::chrono::duration_cast<Milliseconds>(suspicionTimeout())));
}

void Election::forgetFalseSuspicions()
{
    if (m_falseSuspicions > 0 && m_parts.loop->now() > m_falseSuspicionAt + falseSuspicionMemory) {
        --m_falseSuspicions;
        m_falseSuspicionAt = m_parts.loop->now();
    }
}

void Election::considerReplacedTerm(Term next)
{
    const bool young = m_term > 0 && next > m_term && !m_coordinator.empty() && isTermYoung();
    m_termSeenAt = m_parts.loop->now();
    // One that is busy reports this itself, but only once it gets to it; by then the next one may be suspected. Without
    // such a report it may have failed, so this alone does not raise the timeout any further.
    if (young && m_falseSuspicions == 0) {
        recordFalseSuspicion(m_term);
    }
}

bool Election::isTermYoung() const
{
    return m_parts.loop->now() < m_termSeenAt + youngTermAge;
}

bool Election::wasReplacedInError() const
{
    // Loading may take longer than the right to send orders, and confirms the term only at its end.
    return (maySendOrders() || isTermYoung()) && isStoreResponsive();
}

void Election::reportFalseSuspicion(Term term)
{
    recordFalseSuspicion(term);
    for (const auto &[name, member] : m_members) {
        if (name != m_self.name) {
            m_parts.peers->call(name, PeerMessage{"coordinator-alive", json{{"term", term}}}, pingTimeout(),
                                [](const PeerResult &) {});
        }
    }
}

bool Election::coordinatorReportsStoreLoss() const
{
    return m_storeLossSince != TimePoint{} && m_parts.loop->now() >= m_storeLossSince + storeLossTimeout;
}

bool Election::isStoreResponsive() const
{
    if (!m_localCoordinator) {
        return true;
    }
    const Duration silent =
        std::min(m_localCoordinator->pendingWriteAge(), Duration(m_parts.sinceBoot() - m_storeAnsweredAt));
    return m_storeFailures < maxStoreFailures && silent < storeAnswerTimeout;
}

json Election::pingBody() const
{
    json body{{"term", m_term}};
    if (!m_coordinator.empty()) {
        body["node"] = m_coordinator;
        body["address"] = m_coordinatorAddress;
    }
    return body;
}

void Election::announceTerm()
{
    // The replaced coordinator may reach neither the store nor a worker that has seen the new term, so it is notified
    // directly.
    for (const auto &[name, member] : m_members) {
        if (name != m_self.name) {
            m_parts.peers->call(name, PeerMessage{"coordinator-ping", pingBody()}, pingTimeout(),
                                [](const PeerResult &) {});
        }
    }
}

void Election::ping()
{
    const std::shared_ptr<bool> alive = m_alive;
    m_pingedAt = m_parts.loop->now();
    json body = pingBody();
    if (m_coordinatorStamp != Milliseconds::zero()) {
        body["answers_ms"] = m_coordinatorStamp.count();
    }
    if (m_store->isSilent()) {
        body["store_silent"] = 1;
    }
    m_parts.peers->call(m_coordinator, PeerMessage{"coordinator-ping", body}, pingTimeout(),
                        [this, alive](const PeerResult &result) {
                            if (*alive && !m_localCoordinator) {
                                onPong(result);
                            }
                        });
}

void Election::onPong(const PeerResult &result)
{
    if (!result.answered) {
        return;
    }
    const json &body = result.reply.body;
    m_store->recordReport(m_coordinator, body.value("store_silent", 0));
    const Term term = body.value("term", Term{0});
    if (term > m_term && body.contains("node")) {
        adoptCoordinator(
            CoordinatorRow{term, body.value("node", std::string()), body.value("address", std::string()), false});
        return;
    }
    if (term == m_term && body.value("leads", false)) {
        m_coordinatorStamp = Milliseconds(body.value("now_ms", std::int64_t{0}));
        if (body.value("store", true)) {
            m_coordinatorSeenAt = m_parts.loop->now();
            m_storeLossSince = TimePoint{};
        } else if (m_storeLossSince == TimePoint{}) {
            m_storeLossSince = m_parts.loop->now();
        }
    } else if (term == m_term) {
        m_coordinatorSeenAt = std::min(
            m_coordinatorSeenAt, m_parts.loop->now() - suspicionTimeout() - pingInterval); // It no longer coordinates.
        m_termSeenAt = std::min(m_termSeenAt, m_parts.loop->now() - youngTermAge); // Replacing it is no mistake.
    }
}

PeerMessage Election::answerPing(const NodeId &from, const json &body)
{
    const Term theirTerm = body.value("term", Term{0});
    if (theirTerm > m_term && body.contains("node")) {
        adoptCoordinator(
            CoordinatorRow{theirTerm, body.value("node", std::string()), body.value("address", std::string()), false});
    }
    m_store->recordReport(from, body.value("store_silent", 0));
    if (m_localCoordinator) {
        if (theirTerm == m_term) {
            // The ping may have been on its way for long, but not since before the pong that it answers.
            Duration &confirmedAt = m_confirmedByPing[from];
            confirmedAt = std::max(confirmedAt, Duration(Milliseconds(body.value("answers_ms", std::int64_t{0}))));
        }
    }
    json reply = pingBody();
    reply["now_ms"] = std::chrono::duration_cast<Milliseconds>(m_parts.sinceBoot()).count();
    reply["leads"] = m_localCoordinator != nullptr;
    reply["store"] = isStoreResponsive();
    const int silentNodes = m_store->silentNodes(from);
    if (silentNodes > 0) {
        reply["store_silent"] = silentNodes;
    }
    return PeerMessage{"coordinator-pong", reply};
}

void Election::readCoordinator()
{
    if (m_reading || m_localCoordinator) {
        return;
    }
    m_reading = true;
    m_readStartedAt = m_parts.loop->now();
    const std::shared_ptr<bool> alive = m_alive;
    m_parts.table->read({rows::coordinator()}, [this, alive](const ReadResult &result) {
        if (*alive) {
            m_reading = false;
            onCoordinatorRow(result);
        }
    });
}

void Election::onCoordinatorRow(const ReadResult &result)
{
    if (!result.available || m_localCoordinator || m_resigned) {
        return;
    }
    const Row *row = result.find(rows::coordinator());
    if (row == nullptr) {
        handleCoordinator(CoordinatorRow{}, 0);
        return;
    }
    const std::optional<CoordinatorRow> current = decode(row->value);
    if (current) {
        handleCoordinator(*current, row->version);
    } else {
        recoverCoordinatorRow(row->version);
    }
}

void Election::recoverCoordinatorRow(RowVersion version)
{
    m_parts.log->write(LogLine("coordinator_row_unreadable").with("version", static_cast<std::int64_t>(version)));
    m_reading = true;
    const std::shared_ptr<bool> alive = m_alive;
    m_parts.table->read({rows::termMarker()}, [this, alive, version](const ReadResult &result) {
        if (!*alive) {
            return;
        }
        m_reading = false;
        if (!result.available || m_localCoordinator || m_resigned) {
            return;
        }
        const Row *marker = result.find(rows::termMarker());
        CoordinatorRow current;
        current.term =
            std::max(m_term, marker == nullptr ? Term{0} : static_cast<Term>(std::atoll(marker->value.c_str())));
        current.resigned = true; // Nobody is known to coordinate.
        handleCoordinator(current, version);
    });
}

void Election::handleCoordinator(const CoordinatorRow &current, RowVersion version)
{
    // Without a catalog this node would not know where nothing may start.
    const bool mayCoordinate = m_catalog != nullptr;
    if (current.term > m_term) {
        adoptCoordinator(current);
        // If the row names this node, an earlier process of the same name wrote it.
        if (!current.resigned && current.node != m_self.name) {
            return;
        }
    }
    const bool wellConnected = m_parts.loop->now() < m_readStartedAt + healthyReadTimeout;
    if (coordinatorReportsStoreLoss() && !wellConnected
        && m_parts.loop->now() < m_coordinatorSeenAt + storeOutageTimeout) {
        return; // The store is slow for this node too: taking over would not help.
    }
    if (!mayCoordinate || (!suspectsCoordinator() && !current.resigned && current.node != m_self.name)) {
        return;
    }
    m_reading = true;
    const std::shared_ptr<bool> alive = m_alive;
    m_parts.loop->postAfter(takeoverDelay(), [this, alive, current, version] {
        if (*alive) {
            m_reading = false;
            if (!m_localCoordinator && m_term <= current.term
                && (suspectsCoordinator() || current.resigned || current.node == m_self.name)) {
                takeOver(current, version);
            }
        }
    });
}

void Election::adoptCoordinator(const CoordinatorRow &row)
{
    if (m_localCoordinator) {
        stepDown("a later term has begun");
    }
    considerReplacedTerm(row.term);
    m_term = row.term;
    m_coordinator = row.node;
    m_coordinatorAddress = row.address;
    m_coordinatorSeenAt = m_parts.loop->now();
    m_coordinatorStamp = Milliseconds::zero();
    m_storeLossSince = TimePoint{};
    m_parts.log->write(
        LogLine("coordinator_known").with("node", row.node).with("term", static_cast<std::int64_t>(row.term)));
}

int Election::betterNodes() const
{
    // Among nodes of equal size the one that started last goes first: in a rolling restart it has already been
    // restarted.
    const auto self = m_members.find(m_self.name);
    const RowVersion registered = self == m_members.end() ? 0 : self->second.registeredVersion;
    int better = 0;
    for (const auto &[name, member] : m_members) {
        if (name == m_self.name || name == m_coordinator) {
            continue;
        }
        if (member.cores > m_self.cores || (member.cores == m_self.cores && member.registeredVersion > registered)) {
            ++better;
        }
    }
    return better;
}

Duration Election::takeoverDelay() const
{
    return betterNodes() * takeoverDelayStep;
}

void Election::takeOver(const CoordinatorRow &current, RowVersion version)
{
    CoordinatorRow next;
    next.term = current.term + 1;
    next.node = m_self.name;
    next.address = m_self.peerAddress;
    Transaction transaction;
    transaction.writeId = m_random.uniqueId();
    transaction.conditions.push_back({rows::coordinator(), version});
    transaction.puts.push_back({rows::coordinator(), encode(next)});
    transaction.puts.push_back({rows::termMarker(), std::to_string(next.term)});
    m_parts.log->write(
        LogLine("takeover_tried")
            .with("term", static_cast<std::int64_t>(next.term))
            .with("from", current.node)
            .with("silent_ms", std::chrono::duration_cast<Milliseconds>(m_parts.loop->now() - m_coordinatorSeenAt)));
    m_reading = true;
    const std::shared_ptr<bool> alive = m_alive;
    const Duration sentAt = m_parts.sinceBoot();
    m_resolver.commit(transaction, takeoverCommitTimeout, [this, alive, next, sentAt](const CommitResult &result) {
        if (!*alive) {
            return;
        }
        m_reading = false;
        if (result.status == CommitStatus::Committed) {
            beginTerm(next, result.version, sentAt);
        }
    });
}

void Election::beginTerm(const CoordinatorRow &row, RowVersion version, Duration confirmedAt)
{
    if (m_localCoordinator || m_term > row.term) {
        return;
    }
    considerReplacedTerm(row.term);
    m_term = row.term;
    m_storeLossSince = TimePoint{};
    m_coordinator = m_self.name;
    m_coordinatorAddress = m_self.peerAddress;
    m_confirmedByPing.clear();
    m_confirmedByStore = confirmedAt;
    m_storeFailures = 0;
    m_storeAnsweredAt = m_parts.sinceBoot();
    m_parts.log->write(LogLine("term_begun").with("term", static_cast<std::int64_t>(row.term)));
    const std::shared_ptr<Context> context = std::make_shared<Context>();
    context->loop = m_parts.loop;
    context->gateway = m_parts.gateway;
    context->log = m_parts.log;
    context->settings = m_settings;
    context->wallClock = m_parts.wallClock;
    context->sinceBoot = m_parts.sinceBoot;
    context->processorTime = m_parts.processorTime;
    context->catalogConfirmedAt = [catalogs = m_parts.catalogs] {
        return catalogs->confirmedAt();
    };
    const std::shared_ptr<bool> alive = m_alive;
    context->maySendOrders = [this] {
        return maySendOrders();
    };
    context->superseded = [this, alive, context = context.get()] {
        if (context->ended) {
            return;
        }
        context->ended = true;
        m_parts.loop->post([this, alive] {
            if (*alive) {
                stepDown("superseded");
            }
        });
    };
    TermStart start;
    start.term = row.term;
    start.chainVersion = version;
    start.chainValue = encode(row);
    context->catalog = m_catalog.get();
    announceTerm();
    m_localCoordinator =
        std::make_unique<Coordinator>(context, m_parts.table, m_parts.fleet, start, m_random.below(1U << 30U));
    m_localCoordinator->setStoreContactHandler([this, alive](bool answered) {
        if (*alive) {
            recordStoreContact(answered);
        }
    });
    m_localCoordinator->setTermConfirmedHandler([this, alive](Duration at) {
        if (*alive) {
            m_confirmedByStore = std::max(m_confirmedByStore, at);
        }
    });
}

void Election::setCatalog(std::shared_ptr<const Catalog> catalog)
{
    if (m_localCoordinator) {
        m_localCoordinator->setCatalog(catalog.get());
    }
    m_catalog = std::move(catalog);
}

void Election::recordStoreContact(bool answered)
{
    if (answered) {
        m_store->recordAnswer();
        m_storeAnsweredAt = m_parts.sinceBoot();
        m_storeFailures = 0;
    } else {
        ++m_storeFailures;
    }
}

bool Election::maySendOrders() const
{
    const Duration now = m_parts.sinceBoot();
    if (now < m_confirmedByStore + m_settings.isolationTimeout) {
        return true;
    }
    // During an outage of the store, pings from the other nodes show that none of them has taken over.
    const auto recent = std::count_if(m_confirmedByPing.begin(), m_confirmedByPing.end(), [&](const auto &entry) {
        return now < entry.second + m_settings.isolationTimeout;
    });
    return static_cast<std::size_t>(recent) + 1 > m_members.size() / 2;
}

void Election::stepDown(const char *reason)
{
    if (!m_localCoordinator) {
        return;
    }
    m_parts.log->write(LogLine("term_ended").with("term", static_cast<std::int64_t>(m_term)).with("reason", reason));
    if (wasReplacedInError()) {
        reportFalseSuspicion(m_term); // It has not failed: another node was too impatient.
    }
    m_localCoordinator.reset();
    m_coordinator.clear();
    m_coordinatorAddress.clear();
    readCoordinator();
}

void Election::resign()
{
    m_resigned = true;
    if (!m_localCoordinator) {
        return;
    }
    m_parts.log->write(LogLine("term_resigned").with("term", static_cast<std::int64_t>(m_term)));
    m_localCoordinator.reset();
    m_coordinator.clear();
    // Nodes that ping this one learn that it no longer coordinates, and take over.
}

} // namespace fescueledge::workflow
