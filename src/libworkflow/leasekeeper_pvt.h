#pragma once

#include "context_pvt.h"
#include "workerrecord_pvt.h"

namespace fescueledge::workflow {

/// Renews the leases of all that runs on a worker before it is known what that is.
///
/// At the start of a term the jobs have yet to be read. When the store is slow that takes as long as a lease, and
/// everything that earlier coordinators started would be killed meanwhile.
class LeaseKeeper
{
public:
    explicit LeaseKeeper(std::shared_ptr<Context> context);

    /// Renews once on each of @p workers that answers.
    void renew(const std::vector<RecordedWorker> &workers);

private:
    /// Asks for the worker's clock, which a lease needs, and then sends the lease.
    void queryClock(const WorkerRef &worker);
    void sendLease(const WorkerRef &worker, WorkerTime clock);
    void checkTerm(const Observation &answer);

    std::shared_ptr<Context> m_context;
};

} // namespace fescueledge::workflow
