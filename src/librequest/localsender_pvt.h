#pragma once

#include "endpointtable_pvt.h"
#include "requestqueue_pvt.h"

#include "fescueledge/random.h"
#include "fescueledge/requestpolicy.h"
#include "fescueledge/requeststatistics.h"

#include <map>

namespace fescueledge {

class Authority;
class Loop;

/// Runs attempts on the endpoints that this node owns: waits for a slot, picks an endpoint, checks that this node may
/// still act for the endpoint's shard, and sends once.
class LocalSender
{
public:
    LocalSender(Loop *loop, EndpointClient *client, Authority *authority, const EndpointDirectory *directory,
                RequestStatistics *statistics, std::uint64_t seed);

    void setPolicy(const RequestPolicy &policy);
    /// Runs @p attempt; its handler runs exactly once, never before this call returns.
    void submit(const std::shared_ptr<LocalAttempt> &attempt);
    /// Refuses queued attempts whose deadline passed and sends those for which a slot is free.
    void tick();

    PoolLoad load(const Pool &pool);
    const EndpointTable &endpoints() const;
    int queued() const;

private:
    using AttemptPtr = std::shared_ptr<LocalAttempt>;
    struct PendingSend;

    const Pool *findPool(const std::string &name) const;
    bool trySend(const AttemptPtr &attempt, const Pool &pool);
    const EndpointState *chooseEndpoint(const AttemptPtr &attempt, const Pool &pool);
    const EndpointState *pick(const AttemptPtr &attempt, const std::vector<EndpointState *> &free, const Pool &pool,
                              DecisionStep &step);
    void send(const AttemptPtr &attempt, const EndpointState &endpoint, Epoch epoch, const Pool &pool);
    void onResult(const PendingSend &sent, const SendResult &result);
    void enqueue(const AttemptPtr &attempt, const Pool &pool);
    bool wouldWaitTooLong(const AttemptPtr &attempt, const Pool &pool, std::size_t ahead);
    void sendQueued(const std::string &pool);
    void refuse(const AttemptPtr &attempt, ErrorKind error, const std::string &message);

    Loop *m_loop;
    EndpointClient *m_client;
    Authority *m_authority;
    RequestStatistics *m_statistics;
    EndpointTable m_endpoints;
    RequestPolicy m_policy;
    Random m_random;
    std::map<std::string, RequestQueue> m_queues;
};

} // namespace fescueledge
