#include "fescueledge/httpvmlist.h"

#include "clientpool_pvt.h"
#include "fescueledge/iopool.h"
#include "fescueledge/loop.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace fescueledge {

namespace {

VmListResult vmListResultOf(const httplib::Result &result)
{
    VmListResult list;
    if (!result || result->status != 200 || !isWhole(*result)) {
        return list;
    }
    const nlohmann::json json = nlohmann::json::parse(result->body, nullptr, false);
    if (json.is_discarded()) {
        return list;
    }
    json.at("vms").get_to(list.entries);
    std::sort(list.entries.begin(), list.entries.end(), [](const VmEntry &a, const VmEntry &b) {
        return a.name < b.name;
    });
    list.available = true;
    return list;
}

} // namespace

HttpVmList::HttpVmList(Loop *loop, IoPool *pool, const std::string &address, Milliseconds timeout)
    : m_loop(loop)
    , m_pool(pool)
    , m_address(address)
    , m_timeout(timeout)
    , m_clients(std::make_shared<ClientPool>(timeout))
{
}

HttpVmList::~HttpVmList() = default;

void HttpVmList::list(Handler handler)
{
    m_pool->run([loop = m_loop, clients = m_clients, address = m_address, timeout = m_timeout, handler] {
        std::unique_ptr<httplib::Client> client = clients->take(address, timeout);
        const VmListResult list = vmListResultOf(client->Get("/vms"));
        if (list.available) {
            clients->giveBack(address, std::move(client));
        }
        loop->post([handler, list] {
            handler(list);
        });
    });
}

} // namespace fescueledge
