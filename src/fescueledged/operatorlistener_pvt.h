#pragma once

#include <memory>
#include <string>

namespace fescueledge {

struct DaemonContext;
struct LimitSettings;

/// The listener for operators: configuration, data centres, jobs, status, explanations, the audit trail and metrics.
/// All paths except the health checks and metrics require the operators' token.
class OperatorListener
{
public:
    /// Serves @p address until stop(). @throws Error of kind InvalidSettings if it can't bind to the address.
    OperatorListener(DaemonContext *context, const std::string &address, const LimitSettings &limits);
    ~OperatorListener();
    OperatorListener(const OperatorListener &) = delete;
    OperatorListener &operator=(const OperatorListener &) = delete;

    /// Stops accepting connections and waits for the requests in progress.
    void stop();

private:
    struct Private;
    std::unique_ptr<Private> m_private;
};

} // namespace fescueledge
