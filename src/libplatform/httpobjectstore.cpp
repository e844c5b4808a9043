#include "fescueledge/httpobjectstore.h"

#include "clientpool_pvt.h"
#include "fescueledge/iopool.h"
#include "fescueledge/loop.h"

#include <utility>

namespace fescueledge {

namespace {

ObjectResult objectResultOf(const httplib::Result &result)
{
    if (result && result->status == 404) {
        return ObjectResult{ObjectResult::Status::Missing, {}};
    }
    if (!result || result->status != 200 || !isWhole(*result)) {
        return ObjectResult{ObjectResult::Status::Unavailable, {}};
    }
    return ObjectResult{ObjectResult::Status::Ok, result->body};
}

} // namespace

HttpObjectStore::HttpObjectStore(Loop *loop, IoPool *pool, const std::string &address, Milliseconds timeout)
    : m_loop(loop)
    , m_pool(pool)
    , m_address(address)
    , m_timeout(timeout)
    , m_clients(std::make_shared<ClientPool>(timeout))
{
}

HttpObjectStore::~HttpObjectStore() = default;

void HttpObjectStore::put(const std::string &name, const std::string &bytes, Handler handler)
{
    m_pool->run([loop = m_loop, clients = m_clients, address = m_address, timeout = m_timeout, name, bytes, handler] {
        std::unique_ptr<httplib::Client> client = clients->take(address, timeout);
        const ObjectResult result = objectResultOf(client->Put("/objects/" + name, bytes, "application/octet-stream"));
        loop->post([handler, result] {
            handler(result);
        });
    });
}

void HttpObjectStore::fetch(const std::string &name, Handler handler)
{
    m_pool->run([loop = m_loop, clients = m_clients, address = m_address, timeout = m_timeout, name, handler] {
        std::unique_ptr<httplib::Client> client = clients->take(address, timeout);
        const ObjectResult result = objectResultOf(client->Get("/objects/" + name));
        loop->post([handler, result] {
            handler(result);
        });
    });
}

} // namespace fescueledge
