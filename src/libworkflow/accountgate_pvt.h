#pragma once

#include "context_pvt.h"

namespace fescueledge::workflow {

class ObservationSystem;

/// Keeps what runs for an account on all workers within its limit.
///
/// What counts is all that may run: starts without an answer, runs that are being stopped, runs of earlier terms, and
/// runs on workers that don't answer. Where it isn't known what runs on a worker, because that worker has not answered
/// in this term or a job has not been read yet, the worker counts as full of tasks of each account.
class AccountGate
{
public:
    AccountGate(std::shared_ptr<Context> context, const ObservationSystem *observations);

    /// Brings what is not known up to date; to be called at the beginning of each run of the dispatch.
    void update();
    /// Whether @p tasks more tasks of @p step may start now.
    bool mayStart(const Step &step, std::uint32_t tasks) const;
    /// The limit of the account of @p job; nothing is limited if it has none.
    Resources limitOf(const Job &job) const;
    /// Capacity of the workers on which it isn't known what runs; it counts for each account.
    const Resources &unknown() const
    {
        return m_unknown;
    }
    /// The weighted share of all workers that the account of @p job uses.
    double shareOf(const Job &job) const;

private:
    const account::AccountPolicy *policyOf(const Job &job) const;

    std::shared_ptr<Context> m_context;
    const ObservationSystem *m_observations;
    Resources m_unknown; ///< Capacity of the workers on which it isn't known what runs.
    Resources m_total; ///< Capacity of all workers.
    bool m_hasUnknownWorkers = false; ///< There may be workers that aren't known at all.
};

} // namespace fescueledge::workflow
