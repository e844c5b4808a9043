#pragma once

#include "fescueledge/decisionrecord.h"
#include "fescueledge/dispatchresult.h"
#include "fescueledge/requestpolicy.h"
#include "fescueledge/requeststatistics.h"
#include "fescueledge/types.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

namespace fescueledge {

class Authority;
class EndpointDirectory;
class Loop;
class PeerTransport;
class TableService;

/// Dispatches callers' requests to endpoints: routing, limits, slots, retries, forwarding and keyed requests.
///
/// All calls on the control loop; handlers run on it. The object must outlive the loop's events.
class RequestDispatcher
{
public:
    using Handler = std::function<void(const DispatchResult &)>;

    RequestDispatcher(Loop *loop, EndpointClient *client, PeerTransport *transport, TableService *table,
                      Authority *authority, EndpointDirectory *directory, std::uint64_t seed);
    ~RequestDispatcher();
    RequestDispatcher(const RequestDispatcher &) = delete;
    RequestDispatcher &operator=(const RequestDispatcher &) = delete;

    /// Replaces the policy. Must be called before start().
    void setPolicy(const RequestPolicy &policy);
    /// Sets the data centre of this node, which forwarding prefers. Empty for no preference.
    void setDataCentre(const DataCentreId &dataCentre);
    /// Registers the message receivers (`forward`, `endpoint-capacity`, `order-status`) and starts the periodic work.
    void start();

    /// Runs @p request. The deadline is the route's, or @p callerDeadline if that is shorter. The handler runs exactly
    /// once, even when the request is rejected, and never before this call returns. An empty request id is filled in.
    void dispatch(const ServiceRequest &request, std::optional<Milliseconds> callerDeadline, const Handler &handler);

    /// Rejects new requests, including those forwarded by other nodes, and calls @p done once all accepted ones are
    /// answered.
    void drain(std::function<void()> done);

    /// Number of this node's requests that may be running on @p worker, including those it no longer waits for.
    int inFlight(const WorkerId &worker) const;
    /// Sum of inFlight() over all workers of rack @p shard.
    int inFlightOfShard(const ShardId &shard) const;
    /// The routing decisions for a recent request; nullopt if no longer kept.
    std::optional<DecisionRecord> explain(const std::string &requestId) const;
    RequestStatistics statistics() const;

private:
    struct Private;
    std::unique_ptr<Private> m_private;
};

} // namespace fescueledge
