#pragma once

#include "fescueledge/taskcommand.h"
#include "fescueledge/types.h"

#include <cstdint>
#include <memory>

namespace fescueledge {

class AttemptSystem;
class CommandBuilder;
struct WorkerContext;
struct WorkerExchangeResult;
struct WorkerRequest;
struct WorkerRow;

/// Sends each worker a request at a fixed interval, or as soon as commands are pending, and applies the reply.
///
/// At most one exchange per worker is in flight.
///
/// The first exchange under an epoch fences earlier owners and carries no command; its reply adopts the worker.
class ExchangeSystem
{
public:
    ExchangeSystem(WorkerContext *context, AttemptSystem *attempts);

    void run();

private:
    void send(WorkerRow *worker);
    void addCommands(WorkerRow *worker, WorkerRequest *request, TimePoint *limit);
    void assertStartsAllowed(const WorkerRow &worker) const;
    void receive(const WorkerId &worker, std::uint64_t serial, const WorkerRequest &request,
                 const WorkerExchangeResult &result);
    void applyAcknowledged(const WorkerRow &worker, const WorkerRequest &request);
    Milliseconds toWorkerClock(const WorkerRow &worker, TimePoint when) const;

    WorkerContext *m_context;
    AttemptSystem *m_attempts;
};

} // namespace fescueledge
