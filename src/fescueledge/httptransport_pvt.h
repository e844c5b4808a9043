#pragma once

#include "operatortransport_pvt.h"

namespace fescueledge {

/// Sends requests over HTTP with a bearer token.
class HttpTransport : public OperatorTransport
{
public:
    explicit HttpTransport(std::string token);

    ApiResponse send(const std::string &node, const ApiRequest &request, Milliseconds timeout) override;

private:
    std::string m_token;
};

} // namespace fescueledge
