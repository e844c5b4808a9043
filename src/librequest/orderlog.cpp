#include "orderlog_pvt.h"

#include "forwardmessages_pvt.h"
#include "localattempt_pvt.h"
#include "peerbody_pvt.h"

#include "fescueledge/authority.h"
#include "fescueledge/error.h"
#include "fescueledge/loop.h"
#include "fescueledge/peertransport.h"

#include <algorithm>
#include <glog/logging.h>

namespace fescueledge {

namespace {

const char *const statusKind = "order-status";
/// Longest time for claiming a key, and at most half of the time until the request's deadline.
constexpr Milliseconds claimTimeout{2000};
constexpr Milliseconds writeTimeout{5000};
constexpr Milliseconds statusTimeout{300};
constexpr Milliseconds pollInterval{50};
constexpr Milliseconds initialBackoff{200};
constexpr Milliseconds maxBackoff{5000};
constexpr std::size_t maxStoredBodyBytes = 64 * 1024;

DispatchResult unknownOutcome(const std::string &message)
{
    DispatchResult result;
    result.error = ErrorKind::EndpointFailed;
    result.message = message;
    result.outcome = RunOutcome::Unknown;
    return result;
}

DispatchResult inProgress()
{
    DispatchResult result;
    result.error = ErrorKind::InProgress;
    result.message = "a request with this key is still running";
    result.outcome = RunOutcome::Unknown;
    return result;
}

DispatchResult storedResult(const OrderRow &row)
{
    DispatchResult result;
    result.ok = row.hasResponse;
    result.response = row.response;
    result.outcome = RunOutcome::Ran;
    result.error = ErrorKind::EndpointFailed;
    result.message = row.hasResponse ? "" : "it ran, but its answer was too large to be kept";
    result.replayed = true;
    return result;
}

} // namespace

/// A key that this node has claimed or is claiming.
struct OrderLog::Entry
{
    std::string rowKey;
    std::string digest;
    std::string requestId;
    Incarnation incarnation = 0;
    std::string claimWriteId;
    RowVersion baseVersion = 0; ///< Version of the row that the claim replaces.
    RowVersion version = 0; ///< Version of the row that the next write replaces.
    Transaction pendingWrite;
    Duration backoff = initialBackoff;
};

/// A caller's keyed request that waits for the decision whether to send it.
struct OrderLog::PendingRequest
{
    ServiceRequest request;
    std::string rowKey;
    std::string digest;
    TimePoint deadline;
    BeginHandler handler;
    RowVersion abandonedVersion = 0; ///< Row version whose node replied that it no longer runs the request.
};

OrderLog::OrderLog(Loop *loop, PeerTransport *transport, TableService *table, Authority *authority,
                   RequestStatistics *statistics, std::uint64_t seed)
    : m_loop(loop)
    , m_transport(transport)
    , m_table(table)
    , m_authority(authority)
    , m_statistics(statistics)
    , m_resolver(loop, table)
    , m_random(seed)
{
}

void OrderLog::start()
{
    m_transport->setReceiver(
        statusKind, [this](const NodeId &, const PeerMessage &message, const PeerTransport::Responder &respond) {
            const std::optional<OrderStatusRequest> request = parseBody<OrderStatusRequest>(message);
            if (!request) {
                return;
            }
            OrderStatusReply reply;
            reply.incarnation = m_authority->incarnation();
            const auto it = m_entries.find(request->rowKey);
            reply.active = it != m_entries.end();
            respond(PeerMessage{statusKind, reply});
        });
}

void OrderLog::setIdleHandler(std::function<void()> handler)
{
    m_idleHandler = std::move(handler);
}

int OrderLog::unsettled() const
{
    return static_cast<int>(m_entries.size());
}

void OrderLog::begin(const ServiceRequest &request, TimePoint deadline, BeginHandler handler)
{
    const auto pending = std::make_shared<PendingRequest>();
    pending->request = request;
    pending->rowKey = orderRowKey(request.customer, request.key);
    pending->digest = orderDigest(request);
    pending->deadline = deadline;
    pending->handler = std::move(handler);
    m_loop->post([this, pending] {
        lookUp(pending);
    });
}

void OrderLog::answer(const PendingRequestPtr &pending, const DispatchResult &result)
{
    pending->handler(&result);
}

void OrderLog::lookUp(const PendingRequestPtr &pending)
{
    const auto it = m_entries.find(pending->rowKey);
    if (it != m_entries.end()) {
        if (it->second->digest != pending->digest) {
            answer(pending, notRun(ErrorKind::KeyReused, "the key belongs to another request"));
        } else {
            lookUpLater(pending, pollInterval, inProgress());
        }
        return;
    }
    m_table->read({pending->rowKey}, [this, pending](const ReadResult &result) {
        onRow(pending, result);
    });
}

void OrderLog::lookUpLater(const PendingRequestPtr &pending, Duration delay, const DispatchResult &atDeadline)
{
    if (m_loop->now() + delay >= pending->deadline) {
        answer(pending, atDeadline);
        return;
    }
    m_loop->postAfter(delay, [this, pending] {
        lookUp(pending);
    });
}

void OrderLog::onRow(const PendingRequestPtr &pending, const ReadResult &result)
{
    if (!result.available) {
        answer(pending, notRun(ErrorKind::StoreUnavailable, "the key can't be recorded: the store does not answer"));
        return;
    }
    if (m_entries.count(pending->rowKey) != 0) {
        lookUp(pending);
        return;
    }
    const Row *found = result.find(pending->rowKey);
    if (found == nullptr) {
        claim(pending, 0);
        return;
    }
    const OrderRow row = decodeOrderRow(found->value);
    if (row.digest != pending->digest) {
        answer(pending, notRun(ErrorKind::KeyReused, "the key belongs to another request"));
        return;
    }
    switch (row.state) {
    case OrderRow::State::NotRun:
        claim(pending, found->version);
        return;
    case OrderRow::State::Done:
        ++m_statistics->replays;
        answer(pending, storedResult(row));
        return;
    case OrderRow::State::Unknown:
        answer(pending, unknownOutcome("an earlier request with this key may have run"));
        return;
    case OrderRow::State::Sending:
        onSendingElsewhere(pending, row, found->version);
        return;
    }
}

void OrderLog::claim(const PendingRequestPtr &pending, RowVersion version)
{
    if (m_authority->incarnation() == 0) {
        answer(pending, notRun(ErrorKind::NotActing, "this node is not registered"));
        return;
    }
    const TimePoint now = m_loop->now();
    if (now >= pending->deadline) {
        answer(pending, notRun(ErrorKind::DeadlineExceeded, "the deadline passed before the key was recorded"));
        return;
    }
    const auto entry = std::make_shared<Entry>();
    entry->rowKey = pending->rowKey;
    entry->digest = pending->digest;
    entry->requestId = pending->request.id;
    entry->incarnation = m_authority->incarnation();
    entry->baseVersion = version;
    m_entries[entry->rowKey] = entry;
    Transaction transaction;
    transaction.writeId = m_random.uniqueId();
    entry->claimWriteId = transaction.writeId;
    transaction.conditions = {{entry->rowKey, version}};
    transaction.puts = {{entry->rowKey, encode(*entry, OrderRow::State::Sending, nullptr)}};
    const Duration timeout = std::min<Duration>(claimTimeout, (pending->deadline - now) / 2);
    m_resolver.commit(transaction, timeout, [this, pending, entry](const CommitResult &result) {
        onClaim(pending, entry, result);
    });
}

void OrderLog::onClaim(const PendingRequestPtr &pending, const EntryPtr &entry, const CommitResult &result)
{
    switch (result.status) {
    case CommitStatus::Committed:
        entry->version = result.version;
        pending->handler(nullptr);
        return;
    case CommitStatus::Conflict:
        removeEntry(entry);
        lookUp(pending);
        return;
    case CommitStatus::Unavailable:
        removeEntry(entry);
        answer(pending, notRun(ErrorKind::StoreUnavailable, "the key can't be recorded: the store does not answer"));
        return;
    case CommitStatus::Rejected:
        removeEntry(entry);
        answer(pending, notRun(ErrorKind::InvalidArgument, "the key's record is too long to be stored"));
        return;
    case CommitStatus::Unknown:
        // The claim may still be committed, but nothing was sent and this node won't send the request.
        withdrawClaim(entry);
        answer(pending, notRun(ErrorKind::StoreOutcomeUnknown, "the store's answer to the key's record was lost"));
        return;
    }
}

void OrderLog::onSendingElsewhere(const PendingRequestPtr &pending, const OrderRow &row, RowVersion version)
{
    const NodeId self = m_authority->self();
    if (row.node == self && row.incarnation <= m_authority->incarnation()) {
        // An earlier incarnation of this daemon claimed the key, or this one no longer tracks it.
        answer(pending, unknownOutcome("the node that took the key has restarted"));
        return;
    }
    const std::vector<NodeId> live = m_authority->liveNodes();
    if (std::find(live.begin(), live.end(), row.node) == live.end() || version == pending->abandonedVersion) {
        answer(pending, unknownOutcome("the node that took the key is gone"));
        return;
    }
    const PeerMessage message{statusKind, OrderStatusRequest{pending->rowKey}};
    m_transport->call(row.node, message, statusTimeout, [this, pending, row, version](const PeerResult &result) {
        onStatus(pending, row, version, result);
    });
}

void OrderLog::onStatus(const PendingRequestPtr &pending, const OrderRow &row, RowVersion version,
                        const PeerResult &result)
{
    if (!result.answered) {
        lookUpLater(pending, pollInterval, unknownOutcome("the node that took the key does not answer"));
        return;
    }
    const std::optional<OrderStatusReply> reply = parseBody<OrderStatusReply>(result.reply);
    if (!reply || (reply->incarnation == row.incarnation && reply->active)) {
        lookUpLater(pending, pollInterval, inProgress());
        return;
    }
    // The row may have become final between the read and the reply, so it is read once more.
    pending->abandonedVersion = version;
    lookUp(pending);
}

std::string OrderLog::encode(const Entry &entry, OrderRow::State state, const ServiceResponse *response) const
{
    OrderRow row;
    row.state = state;
    row.digest = entry.digest;
    row.requestId = entry.requestId;
    row.node = m_authority->self();
    row.incarnation = entry.incarnation;
    row.hasResponse = response != nullptr && response->body.size() <= maxStoredBodyBytes;
    if (row.hasResponse) {
        row.response = *response;
    }
    return encodeOrderRow(row);
}

void OrderLog::settle(const ServiceRequest &request, const DispatchResult &result)
{
    const auto it = m_entries.find(orderRowKey(request.customer, request.key));
    if (it == m_entries.end()) {
        return;
    }
    const EntryPtr entry = it->second;
    OrderRow::State state = OrderRow::State::Unknown;
    if (result.ok) {
        state = OrderRow::State::Done;
    } else if (result.outcome == RunOutcome::NotRun) {
        state = OrderRow::State::NotRun;
    }
    entry->pendingWrite.writeId = m_random.uniqueId();
    entry->pendingWrite.conditions = {{entry->rowKey, entry->version}};
    entry->pendingWrite.puts = {{entry->rowKey, encode(*entry, state, result.ok ? &result.response : nullptr)}};
    write(entry);
}

void OrderLog::withdrawClaim(const EntryPtr &entry)
{
    // Any write that replaces the row's base version makes a late claim fail its version condition.
    entry->pendingWrite.writeId = m_random.uniqueId();
    entry->pendingWrite.conditions = {{entry->rowKey, entry->baseVersion}};
    entry->pendingWrite.puts = {{entry->rowKey, encode(*entry, OrderRow::State::NotRun, nullptr)}};
    write(entry);
}

void OrderLog::write(const EntryPtr &entry)
{
    m_resolver.commit(entry->pendingWrite, writeTimeout, [this, entry](const CommitResult &result) {
        onWritten(entry, result);
    });
}

void OrderLog::onWritten(const EntryPtr &entry, const CommitResult &result)
{
    if (result.status == CommitStatus::Committed) {
        removeEntry(entry);
    } else if (result.status == CommitStatus::Conflict) {
        onWriteConflict(entry);
    } else {
        retryWrite(entry);
    }
}

void OrderLog::onWriteConflict(const EntryPtr &entry)
{
    m_table->read({entry->rowKey}, [this, entry](const ReadResult &result) {
        if (!result.available) {
            retryWrite(entry);
            return;
        }
        const Row *found = result.find(entry->rowKey);
        const bool isWithdrawnClaim = found != nullptr && entry->version == 0 && found->writeId == entry->claimWriteId;
        if (!isWithdrawnClaim) {
            removeEntry(entry);
            return;
        }
        // The withdrawn claim was committed after all: the row that it wrote is replaced.
        entry->version = found->version;
        entry->pendingWrite.writeId = m_random.uniqueId();
        entry->pendingWrite.conditions = {{entry->rowKey, found->version}};
        write(entry);
    });
}

void OrderLog::retryWrite(const EntryPtr &entry)
{
    const double jitter = 0.5 + m_random.unit();
    const Duration delay = std::chrono::duration_cast<Duration>(entry->backoff * jitter);
    entry->backoff = std::min<Duration>(entry->backoff * 2, maxBackoff);
    m_loop->postAfter(delay, [this, entry] {
        write(entry);
    });
}

void OrderLog::removeEntry(const EntryPtr &entry)
{
    const auto it = m_entries.find(entry->rowKey);
    if (it != m_entries.end() && it->second == entry) {
        m_entries.erase(it);
    }
    if (m_idleHandler) {
        m_idleHandler();
    }
}

} // namespace fescueledge
