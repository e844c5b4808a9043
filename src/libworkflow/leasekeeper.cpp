#include "leasekeeper_pvt.h"

#include <utility>

namespace fescueledge::workflow {

LeaseKeeper::LeaseKeeper(std::shared_ptr<Context> context)
    : m_context(std::move(context))
{
}

void LeaseKeeper::renew(const std::vector<RecordedWorker> &workers)
{
    m_context->log->write(LogLine("leases_renewed_early")
                              .with("term", static_cast<std::int64_t>(m_context->term))
                              .with("workers", static_cast<std::int64_t>(workers.size())));
    for (const RecordedWorker &worker : workers) {
        // An earlier coordinator has recorded when the lease of a worker that has left ends.
        if (worker.leaseEnd == Milliseconds::zero() && m_context->maySendOrders()) {
            queryClock(WorkerRef{worker.entry.id, worker.entry.address});
        }
    }
}

void LeaseKeeper::queryClock(const WorkerRef &worker)
{
    ObserveOrder order;
    order.term = m_context->term;
    const std::shared_ptr<Context> shared = m_context;
    m_context->gateway->observe(worker, order, m_context->settings.observeTimeout,
                                [this, shared, worker](const Observation &answer) {
                                    if (shared->ended) {
                                        return;
                                    }
                                    checkTerm(answer);
                                    if (answer.outcome == OrderOutcome::Done && !answer.active.empty()) {
                                        sendLease(worker, answer);
                                    }
                                });
}

void LeaseKeeper::sendLease(const WorkerRef &worker, const Observation &seen)
{
    if (!m_context->maySendOrders()) {
        return;
    }
    ObserveOrder order;
    order.term = m_context->term;
    order.incarnation = seen.incarnation;
    order.leaseUntil = seen.workerClock + m_context->settings.workerLease;
    const std::shared_ptr<Context> shared = m_context;
    m_context->gateway->observe(worker, order, m_context->settings.observeTimeout,
                                [this, shared](const Observation &answer) {
                                    if (!shared->ended) {
                                        checkTerm(answer);
                                    }
                                });
}

void LeaseKeeper::checkTerm(const Observation &answer)
{
    if (answer.outcome == OrderOutcome::StaleTerm) {
        m_context->superseded();
    }
}

} // namespace fescueledge::workflow
