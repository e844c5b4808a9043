#pragma once

#include "fescueledge/types.h"

#include <httplib.h>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace fescueledge {

/// Pools idle keep-alive connections by address. A connection is checked out for one exchange and returned only after
/// a complete response. Thread-safe.
class ClientPool
{
public:
    explicit ClientPool(Milliseconds connectTimeout);

    /// Returns an idle or a new client for @p address (`ip:port`) whose calls time out after @p timeout.
    std::unique_ptr<httplib::Client> take(const std::string &address, Milliseconds timeout);
    /// Returns @p client to the pool for reuse.
    void giveBack(const std::string &address, std::unique_ptr<httplib::Client> client);

private:
    Milliseconds m_connectTimeout;
    std::mutex m_mutex;
    std::map<std::string, std::vector<std::unique_ptr<httplib::Client>>> m_idle;
};

/// Posts JSON to @p path at @p address. The connection is reused only after a complete response with status 200.
httplib::Result postJson(ClientPool *clients, const std::string &address, const std::string &path,
                         const std::string &body, Milliseconds timeout);

/// True if @p response is complete: its body is as long as announced, is chunked, or its status has no body.
bool isWhole(const httplib::Response &response);

} // namespace fescueledge
