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

/// The daemon's components that its listeners use. All of them must be used on the loop only, except the loop itself,
/// the transport's counters, the token and the draining flag.
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
