#pragma once

#include <memory>
#include <string>

namespace fescueledge {

struct DaemonContext;
struct LimitSettings;

/// The listener for callers: every request that a route matches, the paths of jobs, and the balancer's checks.
class CallerListener
{
public:
    /// Serves @p address until stop(). @throws Error of kind InvalidSettings if it can't be listened on.
    CallerListener(DaemonContext *context, const std::string &address, const LimitSettings &limits);
    ~CallerListener();
    CallerListener(const CallerListener &) = delete;
    CallerListener &operator=(const CallerListener &) = delete;

    /// Accepts no more connections and waits for the requests in service.
    void stop();

private:
    struct Private;
    std::unique_ptr<Private> m_private;
};

} // namespace fescueledge
