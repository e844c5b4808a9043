#pragma once

#include <atomic>
#include <string>

namespace fescueledge {

class ControlRegister;
class JobQueue;
class Loop;
class NodeAuthority;
class PeerQuery;
class RequestDispatcher;
class VmDirectory;
class WebsocketTransport;
class WorkerController;

/// What the listeners of a daemon work on. Everything but the loop, the transport's counters and the flags is used on
/// the loop only.
struct DaemonContext
{
    Loop *loop = nullptr;
    ControlRegister *control = nullptr;
    NodeAuthority *authority = nullptr;
    JobQueue *queue = nullptr;
    WorkerController *workers = nullptr;
    RequestDispatcher *dispatcher = nullptr;
    PeerQuery *peerQuery = nullptr;
    const VmDirectory *vms = nullptr;
    const WebsocketTransport *transport = nullptr;
    std::string operatorToken;
    std::atomic<bool> draining{false};
};

} // namespace fescueledge
