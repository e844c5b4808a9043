#pragma once

#include "fescueledge/objectstore.h"
#include "fescueledge/types.h"

#include <memory>

namespace fescueledge {

class ClientPool;
class IoPool;
class Loop;

/// The platform's object store over HTTP: `PUT` and `GET /objects/<name>`.
class HttpObjectStore : public ObjectStore
{
public:
    HttpObjectStore(Loop *loop, IoPool *pool, const std::string &address, Milliseconds timeout);
    ~HttpObjectStore() override;

    void put(const std::string &name, const std::string &bytes, Handler handler) override;
    void fetch(const std::string &name, Handler handler) override;

private:
    Loop *m_loop;
    IoPool *m_pool;
    std::string m_address;
    Milliseconds m_timeout;
    std::shared_ptr<ClientPool> m_clients;
};

} // namespace fescueledge
