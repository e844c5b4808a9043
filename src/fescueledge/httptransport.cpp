#include "httptransport_pvt.h"

#include <httplib.h>

namespace fescueledge {

namespace {

constexpr Milliseconds connectTimeout{1000};

httplib::Result sendRequest(httplib::Client &client, const ApiRequest &request)
{
    if (request.method == "POST") {
        return client.Post(request.path, request.body, "application/json");
    }
    if (request.method == "DELETE") {
        return client.Delete(request.path, request.body, "application/json");
    }
    return client.Get(request.path);
}

bool isConnectionFailure(httplib::Error error)
{
    return error == httplib::Error::Connection || error == httplib::Error::ConnectionTimeout
        || error == httplib::Error::BindIPAddress;
}

} // namespace

HttpTransport::HttpTransport(std::string token)
    : m_token(std::move(token))
{
}

ApiResponse HttpTransport::send(const std::string &node, const ApiRequest &request, Milliseconds timeout)
{
    httplib::Client client("http://" + node);
    client.set_connection_timeout(std::min(timeout, connectTimeout));
    client.set_read_timeout(timeout);
    client.set_write_timeout(timeout);
    client.set_bearer_token_auth(m_token);
    httplib::Result result = sendRequest(client, request);
    ApiResponse response;
    if (result) {
        response.delivery = ApiResponse::Delivery::Answered;
        response.status = result->status;
        response.body = result->body;
        return response;
    }
    response.delivery =
        isConnectionFailure(result.error()) ? ApiResponse::Delivery::NotSent : ApiResponse::Delivery::Lost;
    return response;
}

} // namespace fescueledge
