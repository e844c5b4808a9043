#include "fescueledge/httptableservice.h"

#include "clientpool_pvt.h"
#include "fescueledge/iopool.h"
#include "fescueledge/loop.h"
#include "fescueledge/tablewire.h"

#include <glog/logging.h>
#include <nlohmann/json.hpp>
#include <utility>

namespace fescueledge {

namespace {

/// True if the request had no effect: the service answers 503 before it does anything, or no connection was made.
bool hadNoEffect(const httplib::Result &result)
{
    if (result) {
        return result->status == 503;
    }
    return result.error() == httplib::Error::Connection || result.error() == httplib::Error::ConnectionTimeout;
}

CommitResult commitResultOf(const httplib::Result &result)
{
    if (hadNoEffect(result)) {
        return CommitResult{CommitStatus::Unavailable, 0};
    }
    if (!result || result->status != 200 || !isWhole(*result)) {
        return CommitResult{CommitStatus::Unknown, 0};
    }
    const nlohmann::json json = nlohmann::json::parse(result->body, nullptr, false);
    if (json.is_discarded()) {
        return CommitResult{CommitStatus::Unknown, 0};
    }
    return json.get<CommitResult>();
}

ReadResult readResultOf(const httplib::Result &result)
{
    if (!result || result->status != 200 || !isWhole(*result)) {
        return ReadResult();
    }
    const nlohmann::json json = nlohmann::json::parse(result->body, nullptr, false);
    return json.is_discarded() ? ReadResult() : json.get<ReadResult>();
}

} // namespace

HttpTableService::HttpTableService(Loop *loop, IoPool *pool, const std::string &address, Milliseconds timeout)
    : m_loop(loop)
    , m_pool(pool)
    , m_address(address)
    , m_timeout(timeout)
    , m_clients(std::make_shared<ClientPool>(timeout))
{
}

HttpTableService::~HttpTableService() = default;

void HttpTableService::read(const std::vector<std::string> &keys, ReadHandler handler)
{
    query("/read", nlohmann::json{{"keys", keys}}.dump(), handler);
}

void HttpTableService::scan(const std::string &prefix, ReadHandler handler)
{
    query("/scan", nlohmann::json{{"prefix", prefix}}.dump(), handler);
}

void HttpTableService::query(const std::string &path, const std::string &body, const ReadHandler &handler)
{
    m_pool->run([loop = m_loop, clients = m_clients, address = m_address, timeout = m_timeout, path, body, handler] {
        const ReadResult result = readResultOf(postJson(clients.get(), address, path, body, timeout));
        loop->post([handler, result] {
            handler(result);
        });
    });
}

void HttpTableService::commit(const Transaction &transaction, CommitHandler handler)
{
    const std::string body = nlohmann::json(transaction).dump();
    m_pool->run([loop = m_loop, clients = m_clients, address = m_address, timeout = m_timeout, body, handler] {
        const CommitResult result = commitResultOf(postJson(clients.get(), address, "/commit", body, timeout));
        loop->post([handler, result] {
            handler(result);
        });
    });
}

} // namespace fescueledge
