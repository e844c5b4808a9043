#pragma once

#include <memory>

namespace fescueledge {

struct DaemonSettings;

/// Owns and connects all components of the daemon.
class Daemon
{
public:
    /// Starts the components and opens the listeners. @throws Error of kind InvalidSettings if a listener can't open.
    explicit Daemon(const DaemonSettings &settings);
    ~Daemon();
    Daemon(const Daemon &) = delete;
    Daemon &operator=(const Daemon &) = delete;

    /// Shuts down gracefully: lets the load balancer notice, finishes the requests in flight and hands over the shards.
    /// Returns true if all of that completed within the drain limit of the settings, false if the limit was reached or
    /// @p isAborted returned true first.
    bool drain(bool (*isAborted)());

private:
    struct Parts;
    std::unique_ptr<Parts> m_parts;
};

} // namespace fescueledge
