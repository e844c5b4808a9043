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

/// The durable record of keyed requests that are not idempotent: each is sent at most once, through any node.
///
/// The row of the key is taken by a transaction before a byte is sent; whoever did not take it never sends.
class OrderLog
{
public:
    /// Called once, with nothing if this node took the key and must now send the request and then call settle();
    /// otherwise with the answer for the caller.
    using BeginHandler = std::function<void(const DispatchResult *answer)>;

    OrderLog(Loop *loop, PeerTransport *transport, TableService *table, Authority *authority,
             RequestStatistics *statistics, std::uint64_t seed);

    /// Registers the receiver of `order-status`.
    void start();
    /// Takes the key of @p request, or finds out what became of it, until @p deadline.
    void begin(const ServiceRequest &request, TimePoint deadline, BeginHandler handler);
    /// Records how a request went whose key begin() took. Retries until it is durable.
    void settle(const ServiceRequest &request, const DispatchResult &result);
    /// Keys whose final row is not durable yet.
    int unsettled() const;
    /// Called whenever unsettled() went down.
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
    std::map<std::string, EntryPtr> m_entries; ///< Keys that this node takes, sends or settles now, by row key.
    std::function<void()> m_idleHandler;
};

} // namespace fescueledge
