#pragma once

#include "fescueledge/endpointclient.h"

#include <memory>

namespace fescueledge {

class ClientPool;
class IoPool;
class Loop;

/// Sends requests to endpoints over HTTP/1.1. The header `X-Fescueledge-Epoch` carries the fencing token and
/// `X-Request-Id` the correlation id. A connection is closed after any failed exchange, so that a late answer is never
/// taken for the answer to another request.
class HttpEndpointClient : public EndpointClient
{
public:
    HttpEndpointClient(Loop *loop, IoPool *pool, Milliseconds connectTimeout);
    ~HttpEndpointClient() override;

    void send(const std::string &address, Epoch epoch, const ServiceRequest &request, TimePoint sendBefore,
              Milliseconds timeout, Handler handler) override;

private:
    Loop *m_loop;
    IoPool *m_pool;
    std::shared_ptr<ClientPool> m_clients;
};

} // namespace fescueledge
