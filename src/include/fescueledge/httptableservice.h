#pragma once

#include "fescueledge/tableservice.h"

#include <memory>

namespace fescueledge {

class ClientPool;
class IoPool;
class Loop;

/// The platform's table service over HTTP with JSON bodies: `POST /read`, `/scan` and `/commit`.
class HttpTableService : public TableService
{
public:
    /// Calls @p address (`ip:port`) from threads of @p pool; handlers run on @p loop. A call fails after @p timeout.
    HttpTableService(Loop *loop, IoPool *pool, const std::string &address, Milliseconds timeout);
    ~HttpTableService() override;

    void read(const std::vector<std::string> &keys, ReadHandler handler) override;
    void scan(const std::string &prefix, ReadHandler handler) override;
    void commit(const Transaction &transaction, CommitHandler handler) override;

private:
    void query(const std::string &path, const std::string &body, const ReadHandler &handler);

    Loop *m_loop;
    IoPool *m_pool;
    std::string m_address;
    Milliseconds m_timeout;
    std::shared_ptr<ClientPool> m_clients;
};

} // namespace fescueledge
