#pragma once

#include "context_pvt.h"

#include <nlohmann/json_fwd.hpp>

namespace fescueledge::workflow {

class AccountGate;
class Placement;

/// Tells where the tasks of a job would go if it were submitted now, and why. It changes nothing.
class PlaceQuery
{
public:
    PlaceQuery(std::shared_ptr<Context> context, const Placement *placement, const AccountGate *accounts);

    /// What is known of a job of @p spec in @p queue, for account @p account. Placement and accounts have to be up to
    /// date.
    nlohmann::json explain(const QueuePolicy &queue, const std::string &account, const WorkflowSpec &spec) const;

private:
    /// Where tasks of @p step would go, without its expected start.
    nlohmann::json explainStep(const Step &step) const;
    nlohmann::json explainAccount(const Job &job) const;
    nlohmann::json reservations() const;
    /// Work that waits already.
    nlohmann::json waiting() const;
    /// When a task of @p step could start if it came next; the latest time there is if that can't be told.
    TimePoint expectedStart(const Step &step) const;
    /// When the account of @p step is expected to be far enough below its limit.
    TimePoint expectedBelowLimit(const Step &step) const;

    std::shared_ptr<Context> m_context;
    const Placement *m_placement;
    const AccountGate *m_accounts;
};

} // namespace fescueledge::workflow
