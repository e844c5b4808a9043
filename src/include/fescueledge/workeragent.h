#pragma once

#include "fescueledge/vmentry.h"
#include "fescueledge/workermessages.h"

#include <functional>

namespace fescueledge {

/// The result of one exchange with a worker.
struct WorkerExchangeResult
{
    bool answered = false; ///< False if no complete answer arrived; the request may still have been carried out.
    WorkerReply reply;
};

/// Calls the agents on the workers. The handler runs later on the caller's loop, exactly once.
class WorkerAgent
{
public:
    using Handler = std::function<void(const WorkerExchangeResult &)>;

    virtual ~WorkerAgent() = default;
    /// Sends @p request to @p worker and waits at most @p timeout for the reply.
    virtual void exchange(const VmEntry &worker, const WorkerRequest &request, Milliseconds timeout,
                          Handler handler) = 0;
};

} // namespace fescueledge
