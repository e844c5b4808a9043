#pragma once

#include "fescueledge/types.h"
#include "fescueledge/vmlist.h"

#include <memory>

namespace fescueledge {

class ClientPool;
class IoPool;
class Loop;

/// The platform's VM list over HTTP: `GET /vms`.
class HttpVmList : public VmList
{
public:
    HttpVmList(Loop *loop, IoPool *pool, const std::string &address, Milliseconds timeout);
    ~HttpVmList() override;

    void list(Handler handler) override;

private:
    Loop *m_loop;
    IoPool *m_pool;
    std::string m_address;
    Milliseconds m_timeout;
    std::shared_ptr<ClientPool> m_clients;
};

} // namespace fescueledge
