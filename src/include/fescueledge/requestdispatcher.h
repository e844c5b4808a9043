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

/// Takes the requests of callers to endpoints: routes, limits, slots, retries, forwards and keyed requests.
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

    /// Replaces the policy; before start().
    void setPolicy(const RequestPolicy &policy);
    /// The data centre of this node; forwards prefer it. Empty for no preference.
    void setDataCentre(const DataCentreId &dataCentre);
    /// Registers the message receivers (`forward`, `endpoint-capacity`, `order-status`) and starts the ticks.
    void start();

    /// Runs @p request. The deadline is the route's, or @p callerDeadline if that is shorter. The handler runs exactly
    /// once, also when the request is refused, and never before this call returns. An empty request id is filled in.
    void dispatch(const ServiceRequest &request, std::optional<Milliseconds> callerDeadline, const Handler &handler);

    /// Refuses new requests, also those of other nodes, and calls @p done once all accepted ones are answered.
    void drain(std::function<void()> done);

    /// Requests that this node may have running on @p worker now, those it gave up on included.
    int inFlight(const WorkerId &worker) const;
    /// The same for all workers of the rack @p shard.
    int inFlightOfShard(const ShardId &shard) const;
    /// Why a recent request went where it went; nothing if it is no longer kept.
    std::optional<DecisionRecord> explain(const std::string &requestId) const;
    RequestStatistics statistics() const;

private:
    struct Private;
    std::unique_ptr<Private> m_private;
};

} // namespace fescueledge
