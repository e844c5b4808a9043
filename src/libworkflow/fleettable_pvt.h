#pragma once

#include "entities_pvt.h"

namespace fescueledge::workflow {

/// Clock rates of two VMs differ by at most this much.
constexpr double clockDrift = 0.02;
/// Added to computed ends of leases for the time that timers and answers are late.
constexpr Milliseconds leaseMargin{100};

/// The workers, what is on them, and until when their leases run.
class FleetTable
{
public:
    /// Adds the worker or takes its new entry.
    Worker *upsert(const WorkerEntry &entry, TimePoint now);
    Worker *find(const WorkerId &id) const;
    void erase(const WorkerId &id);

    /// Counts @p task as on @p worker, whatever its phase; release() undoes it.
    static void place(Task *task, Worker *worker);
    static void release(Task *task);
    /// Notes the pace of @p task, and what it then uses of its worker.
    static void setPace(Task *task, int pace);

    /// Whether @p step's tasks fit on @p worker beside what is there.
    static bool hasRoom(const Worker &worker, const StepSpec &step);
    /// Tasks of @p step on @p worker.
    static std::uint32_t countOf(const Worker &worker, const Step &step);

    /// Takes the worker's clock from an answer received at @p now.
    static void setClock(Worker *worker, WorkerTime clock, TimePoint now);
    /// The worker's clock at @p now, or a little less.
    static WorkerTime clockAt(const Worker &worker, TimePoint now);
    /// Notes that an order with lease end @p leaseUntil is sent.
    static void recordLease(Worker *worker, WorkerTime leaseUntil);
    /// Notes that another coordinator may have sent a lease of @p lease until @p now.
    static void recordForeignLease(Worker *worker, Milliseconds lease, TimePoint now);

    const std::map<WorkerId, std::unique_ptr<Worker>> &all() const
    {
        return m_workers;
    }

private:
    std::map<WorkerId, std::unique_ptr<Worker>> m_workers;
};

} // namespace fescueledge::workflow
