#pragma once

#include <memory>

namespace fescueledge {

struct DaemonSettings;

/// All parts of one daemon, wired together.
class Daemon
{
public:
    /// Opens the listeners and starts to take part. @throws Error of kind InvalidSettings if a listener can't open.
    explicit Daemon(const DaemonSettings &settings);
    ~Daemon();
    Daemon(const Daemon &) = delete;
    Daemon &operator=(const Daemon &) = delete;

    /// Stops by plan: lets the balancer see it, finishes the requests in flight, hands over the shards. Returns true
    /// if all of that was done within the drain limit of the settings, or false at the limit or once @p abort
    /// returns true.
    bool drain(bool (*isAborted)());

private:
    struct Parts;
    std::unique_ptr<Parts> m_parts;
};

} // namespace fescueledge
