#pragma once

#include <memory>
#include <string>

namespace fescueledge {

struct DaemonContext;
struct LimitSettings;

/// The listener for callers: requests that match a route, the jobs API, and the load balancer's health checks.
class CallerListener
{
public:
    /// Serves @p address until stop(). @throws Error of kind InvalidSettings if it can't bind to the address.
    CallerListener(DaemonContext *context, const std::string &address, const LimitSettings &limits);
    ~CallerListener();
    CallerListener(const CallerListener &) = delete;
    CallerListener &operator=(const CallerListener &) = delete;

    /// Stops accepting connections and waits for the requests in progress.
    void stop();

private:
    struct Private;
    std::unique_ptr<Private> m_private;
};

} // namespace fescueledge
