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
/// Longest time that taking a key may last; within the request's deadline.
constexpr Milliseconds claimPatience{2000};
constexpr Milliseconds writePatience{5000};
constexpr Milliseconds statusTimeout{300};
constexpr Milliseconds pollDelay{50};
constexpr Milliseconds firstBackoff{200};
constexpr Milliseconds maxBackoff{5000};
constexpr std::size_t maxKeptBody = 64 * 1024;

DispatchResult mayHaveRun(const std::string &message)
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

DispatchResult stored(const OrderRow &row)
{
    DispatchResult result;
    result.ok = row.responseKept;
    result.response = row.response;
    result.outcome = RunOutcome::Ran;
    result.error = ErrorKind::EndpointFailed;
    result.message = row.responseKept ? "" : "it ran, but its answer was too large to be kept";
    result.replayed = true;
    return result;
}

} // namespace

/// A key that this node has taken, or tries to take.
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
    Duration backoff = firstBackoff;
};

/// A caller's request that wants to know whether to send.
struct OrderLog::Inquiry
{
    ServiceRequest request;
    std::string rowKey;
    std::string digest;
    TimePoint deadline;
    BeginHandler handler;
    RowVersion suspectVersion = 0; ///< Row version whose owner said that it no longer runs the request.
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
    const auto inquiry = std::make_shared<Inquiry>();
    inquiry->request = request;
    inquiry->rowKey = orderRowKey(request.customer, request.key);
    inquiry->digest = orderDigest(request);
    inquiry->deadline = deadline;
    inquiry->handler = std::move(handler);
    m_loop->post([this, inquiry] {
        look(inquiry);
    });
}

void OrderLog::answer(const InquiryPtr &inquiry, const DispatchResult &result)
{
    inquiry->handler(&result);
}

void OrderLog::look(const InquiryPtr &inquiry)
{
    const auto it = m_entries.find(inquiry->rowKey);
    if (it != m_entries.end()) {
        if (it->second->digest != inquiry->digest) {
            answer(inquiry, notRun(ErrorKind::KeyReused, "the key belongs to another request"));
        } else {
            lookLater(inquiry, pollDelay, inProgress());
        }
        return;
    }
    m_table->read({inquiry->rowKey}, [this, inquiry](const ReadResult &result) {
        onRow(inquiry, result);
    });
}

void OrderLog::lookLater(const InquiryPtr &inquiry, Duration delay, const DispatchResult &atDeadline)
{
    if (m_loop->now() + delay >= inquiry->deadline) {
        answer(inquiry, atDeadline);
        return;
    }
    m_loop->postAfter(delay, [this, inquiry] {
        look(inquiry);
    });
}

void OrderLog::onRow(const InquiryPtr &inquiry, const ReadResult &result)
{
    if (!result.available) {
        answer(inquiry, notRun(ErrorKind::StoreUnavailable, "the key can't be recorded: the store does not answer"));
        return;
    }
    if (m_entries.count(inquiry->rowKey) != 0) {
        look(inquiry);
        return;
    }
    const Row *found = result.find(inquiry->rowKey);
    if (found == nullptr) {
        claim(inquiry, 0);
        return;
    }
    const OrderRow row = decodeOrderRow(found->value);
    if (row.digest != inquiry->digest) {
        answer(inquiry, notRun(ErrorKind::KeyReused, "the key belongs to another request"));
        return;
    }
    switch (row.state) {
    case OrderRow::State::NotRun:
        claim(inquiry, found->version);
        return;
    case OrderRow::State::Done:
        ++m_statistics->replays;
        answer(inquiry, stored(row));
        return;
    case OrderRow::State::Unknown:
        answer(inquiry, mayHaveRun("an earlier request with this key may have run"));
        return;
    case OrderRow::State::Sending:
        onForeignSending(inquiry, row, found->version);
        return;
    }
}

void OrderLog::claim(const InquiryPtr &inquiry, RowVersion version)
{
    if (m_authority->incarnation() == 0) {
        answer(inquiry, notRun(ErrorKind::NotActing, "this node is not registered"));
        return;
    }
    const TimePoint now = m_loop->now();
    if (now >= inquiry->deadline) {
        answer(inquiry, notRun(ErrorKind::DeadlineExceeded, "the deadline passed before the key was recorded"));
        return;
    }
    const auto entry = std::make_shared<Entry>();
    entry->rowKey = inquiry->rowKey;
    entry->digest = inquiry->digest;
    entry->requestId = inquiry->request.id;
    entry->incarnation = m_authority->incarnation();
    entry->baseVersion = version;
    m_entries[entry->rowKey] = entry;
    Transaction transaction;
    transaction.writeId = m_random.uniqueId();
    entry->claimWriteId = transaction.writeId;
    transaction.conditions = {{entry->rowKey, version}};
    transaction.puts = {{entry->rowKey, encode(*entry, OrderRow::State::Sending, nullptr)}};
    const Duration resultTimeout = std::min<Duration>(claimPatience, (inquiry->deadline - now) / 2);
    m_resolver.commit(transaction, resultTimeout, [this, inquiry, entry](const CommitResult &result) {
        onClaim(inquiry, entry, result);
    });
}

void OrderLog::onClaim(const InquiryPtr &inquiry, const EntryPtr &entry, const CommitResult &result)
{
    switch (result.status) {
    case CommitStatus::Committed:
        entry->version = result.version;
        inquiry->handler(nullptr);
        return;
    case CommitStatus::Conflict:
        finish(entry);
        look(inquiry);
        return;
    case CommitStatus::Unavailable:
        finish(entry);
        answer(inquiry, notRun(ErrorKind::StoreUnavailable, "the key can't be recorded: the store does not answer"));
        return;
    case CommitStatus::Unknown:
        // The claim may still take effect, but nothing was sent and this node never will.
        withdraw(entry);
        answer(inquiry, notRun(ErrorKind::StoreOutcomeUnknown, "the store's answer to the key's record was lost"));
        return;
    }
}

void OrderLog::onForeignSending(const InquiryPtr &inquiry, const OrderRow &row, RowVersion version)
{
    const NodeId self = m_authority->self();
    if (row.node == self && row.incarnation <= m_authority->incarnation()) {
        // An earlier run of this daemon took the key, or this run lost track of it.
        answer(inquiry, mayHaveRun("the node that took the key has restarted"));
        return;
    }
    const std::vector<NodeId> live = m_authority->liveNodes();
    if (std::find(live.begin(), live.end(), row.node) == live.end() || version == inquiry->suspectVersion) {
        answer(inquiry, mayHaveRun("the node that took the key is gone"));
        return;
    }
    const PeerMessage message{statusKind, OrderStatusRequest{inquiry->rowKey}};
    m_transport->call(row.node, message, statusTimeout, [this, inquiry, row, version](const PeerResult &result) {
        onStatus(inquiry, row, version, result);
    });
}

void OrderLog::onStatus(const InquiryPtr &inquiry, const OrderRow &row, RowVersion version, const PeerResult &result)
{
    if (!result.answered) {
        lookLater(inquiry, pollDelay, mayHaveRun("the node that took the key does not answer"));
        return;
    }
    const std::optional<OrderStatusReply> reply = parseBody<OrderStatusReply>(result.reply);
    if (!reply || (reply->incarnation == row.incarnation && reply->active)) {
        lookLater(inquiry, pollDelay, inProgress());
        return;
    }
    // It may have become final between our read and the answer: one more look decides.
    inquiry->suspectVersion = version;
    look(inquiry);
}

std::string OrderLog::encode(const Entry &entry, OrderRow::State state, const ServiceResponse *response) const
{
    OrderRow row;
    row.state = state;
    row.digest = entry.digest;
    row.requestId = entry.requestId;
    row.node = m_authority->self();
    row.incarnation = entry.incarnation;
    row.responseKept = response != nullptr && response->body.size() <= maxKeptBody;
    if (row.responseKept) {
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

void OrderLog::withdraw(const EntryPtr &entry)
{
    // Any write that replaces the row's base version makes a late claim fail on its condition.
    entry->pendingWrite.writeId = m_random.uniqueId();
    entry->pendingWrite.conditions = {{entry->rowKey, entry->baseVersion}};
    entry->pendingWrite.puts = {{entry->rowKey, encode(*entry, OrderRow::State::NotRun, nullptr)}};
    write(entry);
}

void OrderLog::write(const EntryPtr &entry)
{
    m_resolver.commit(entry->pendingWrite, writePatience, [this, entry](const CommitResult &result) {
        onWritten(entry, result);
    });
}

void OrderLog::onWritten(const EntryPtr &entry, const CommitResult &result)
{
    if (result.status == CommitStatus::Committed) {
        finish(entry);
    } else if (result.status == CommitStatus::Conflict) {
        checkWritten(entry);
    } else {
        writeLater(entry);
    }
}

void OrderLog::checkWritten(const EntryPtr &entry)
{
    m_table->read({entry->rowKey}, [this, entry](const ReadResult &result) {
        if (!result.available) {
            writeLater(entry);
            return;
        }
        const Row *found = result.find(entry->rowKey);
        const bool isWithdrawnClaim = found != nullptr && entry->version == 0 && found->writeId == entry->claimWriteId;
        if (!isWithdrawnClaim) {
            finish(entry);
            return;
        }
        // The withdrawn claim did take effect: its own row is replaced now.
        entry->version = found->version;
        entry->pendingWrite.writeId = m_random.uniqueId();
        entry->pendingWrite.conditions = {{entry->rowKey, found->version}};
        write(entry);
    });
}

void OrderLog::writeLater(const EntryPtr &entry)
{
    const double jitter = 0.5 + m_random.unit();
    const Duration delay = std::chrono::duration_cast<Duration>(entry->backoff * jitter);
    entry->backoff = std::min<Duration>(entry->backoff * 2, maxBackoff);
    m_loop->postAfter(delay, [this, entry] {
        write(entry);
    });
}

void OrderLog::finish(const EntryPtr &entry)
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
