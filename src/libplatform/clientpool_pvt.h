#pragma once

#include "fescueledge/types.h"

#include <httplib.h>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace fescueledge {

/// Idle keep-alive connections by address. Thread-safe. A connection is taken out for one exchange and given back
/// only after a whole answer.
class ClientPool
{
public:
    explicit ClientPool(Milliseconds connectTimeout);

    /// A client for @p address (`ip:port`), connected or not, whose calls end after @p timeout.
    std::unique_ptr<httplib::Client> take(const std::string &address, Milliseconds timeout);
    /// Keeps @p client for later use.
    void giveBack(const std::string &address, std::unique_ptr<httplib::Client> client);

private:
    Milliseconds m_connectTimeout;
    std::mutex m_mutex;
    std::map<std::string, std::vector<std::unique_ptr<httplib::Client>>> m_idle;
};

/// Posts JSON to @p path at @p address. Returns the result; the connection is kept only after status 200.
httplib::Result postJson(ClientPool *clients, const std::string &address, const std::string &path,
                         const std::string &body, Milliseconds timeout);

/// True if @p response carries as many bytes as it announced.
bool isWhole(const httplib::Response &response);

} // namespace fescueledge
