#pragma once

#include "orderrow_pvt.h"

#include "fescueledge/commitresolver.h"
#include "fescueledge/random.h"
#include "fescueledge/requeststatistics.h"

#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace fescueledge {

class Authority;
class Loop;
class PeerTransport;
struct PeerResult;

/// Durable log of keyed requests that are not idempotent: each is sent at most once, even if it is
/// submitted through several nodes.
///
/// A transaction claims the row of the key before a byte is sent; a node without the claim never sends.
class OrderLog
{
public:
    /// Called once: with nullptr if this node claimed the key and must now send the request and then call settle();
    /// otherwise with the answer for the caller.
    using BeginHandler = std::function<void(const DispatchResult *answer)>;

    OrderLog(Loop *loop, PeerTransport *transport, TableService *table, Authority *authority,
             RequestStatistics *statistics, std::uint64_t seed);

    /// Registers the receiver of `order-status`.
    void start();
    /// Claims the key of @p request, or determines the outcome of the earlier request with it, until @p deadline.
    void begin(const ServiceRequest &request, TimePoint deadline, BeginHandler handler);
    /// Records the outcome of a request whose key begin() claimed. Retries until it is durable.
    void settle(const ServiceRequest &request, const DispatchResult &result);
    /// Keys whose final row is not durable yet.
    int unsettled() const;
    /// Sets the handler that is called when unsettled() may have decreased.
    void setIdleHandler(std::function<void()> handler);

private:
    struct Entry;
    struct PendingRequest;
    using EntryPtr = std::shared_ptr<Entry>;
    using PendingRequestPtr = std::shared_ptr<PendingRequest>;

    void lookUp(const PendingRequestPtr &pending);
    void lookUpLater(const PendingRequestPtr &pending, Duration delay, const DispatchResult &atDeadline);
    void onRow(const PendingRequestPtr &pending, const ReadResult &result);
    void claim(const PendingRequestPtr &pending, RowVersion version);
    void onClaim(const PendingRequestPtr &pending, const EntryPtr &entry, const CommitResult &result);
    void onSendingElsewhere(const PendingRequestPtr &pending, const OrderRow &row, RowVersion version);
    void onStatus(const PendingRequestPtr &pending, const OrderRow &row, RowVersion version, const PeerResult &result);
    void answer(const PendingRequestPtr &pending, const DispatchResult &result);

    void withdrawClaim(const EntryPtr &entry);
    void write(const EntryPtr &entry);
    void onWritten(const EntryPtr &entry, const CommitResult &result);
    void onWriteConflict(const EntryPtr &entry);
    void retryWrite(const EntryPtr &entry);
    void removeEntry(const EntryPtr &entry);
    std::string encode(const Entry &entry, OrderRow::State state, const ServiceResponse *response) const;

    Loop *m_loop;
    PeerTransport *m_transport;
    TableService *m_table;
    Authority *m_authority;
    RequestStatistics *m_statistics;
    CommitResolver m_resolver;
    Random m_random;
    std::map<std::string, EntryPtr> m_entries; ///< Keys that this node is claiming, sending or settling, by row key.
    std::function<void()> m_idleHandler;
};

} // namespace fescueledge
