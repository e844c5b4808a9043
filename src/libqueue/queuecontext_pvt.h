#pragma once

#include "fescueledge/commitresolver.h"
#include "fescueledge/jobqueue.h"
#include "fescueledge/random.h"

namespace fescueledge {

class Authority;
class Loop;
class PeerTransport;
class TableService;

/// Services and state that all parts of the job queue of one daemon share.
struct QueueContext
{
    QueueContext(Loop *loopOf, TableService *tableOf, PeerTransport *transportOf, Authority *authorityOf,
                 std::uint64_t seed, const QueuePolicy &policyOf)
        : loop(loopOf)
        , table(tableOf)
        , transport(transportOf)
        , authority(authorityOf)
        , random(seed)
        , resolver(loopOf, tableOf)
        , policy(policyOf)
    {
    }

    /// Returns @p base plus a random jitter of up to half of it.
    Duration jittered(Duration base)
    {
        return base + Duration(static_cast<Duration::rep>(static_cast<double>(base.count()) * random.unit() / 2));
    }

    Loop *loop;
    TableService *table;
    PeerTransport *transport;
    Authority *authority;
    Random random;
    CommitResolver resolver;
    QueuePolicy policy;
    QueueCounters counters;
};

} // namespace fescueledge
