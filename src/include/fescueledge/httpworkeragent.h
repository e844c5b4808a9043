#pragma once

#include "fescueledge/workeragent.h"

#include <memory>

namespace fescueledge {

class ClientPool;
class IoPool;
class Loop;

/// Calls the agents on the workers over HTTP: `POST /workers/<name>/exchange`.
class HttpWorkerAgent : public WorkerAgent
{
public:
    HttpWorkerAgent(Loop *loop, IoPool *pool, Milliseconds connectTimeout);
    ~HttpWorkerAgent() override;

    void exchange(const VmEntry &worker, const WorkerRequest &request, Milliseconds timeout, Handler handler) override;

private:
    Loop *m_loop;
    IoPool *m_pool;
    std::shared_ptr<ClientPool> m_clients;
};

} // namespace fescueledge
