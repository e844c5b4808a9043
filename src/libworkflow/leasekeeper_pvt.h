#pragma once

#include "context_pvt.h"
#include "workerrecord_pvt.h"

namespace fescueledge::workflow {

/// Renews the leases of workers before it is known what they run.
///
/// At the start of a term the jobs are still to be read. With a slow store that takes as long as a lease, and all runs
/// that earlier coordinators started would be killed in the meantime.
class LeaseKeeper
{
public:
    explicit LeaseKeeper(std::shared_ptr<Context> context);

    /// Renews the lease of each of @p workers that answers, once.
    void renew(const std::vector<RecordedWorker> &workers);

private:
    /// Queries the worker's clock, on which its lease is based, and then sends the lease.
    void queryClock(const WorkerRef &worker);
    /// Renews the lease of the runs that @p seen lists, on the clock of the incarnation that listed them.
    void sendLease(const WorkerRef &worker, const Observation &seen);
    void checkTerm(const Observation &answer);

    std::shared_ptr<Context> m_context;
};

} // namespace fescueledge::workflow
