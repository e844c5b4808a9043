#include "operatorlistener_pvt.h"

#include "apierror_pvt.h"
#include "daemoncontext_pvt.h"
#include "fescueledge/daemonsettings.h"
#include "fescueledge/digest.h"
#include "jobsapi_pvt.h"
#include "listenerserver_pvt.h"
#include "metricspage_pvt.h"
#include "operatorapi_pvt.h"

namespace fescueledge {

namespace {

bool needsToken(const std::string &path)
{
    return path != "/healthz" && path != "/readyz" && path != "/metrics";
}

/// Rejects requests without the operators' token before any handler runs.
void requireToken(httplib::Server *server, const std::string &token)
{
    server->set_pre_routing_handler([token](const httplib::Request &request, httplib::Response &response) {
        const std::string expected = "Bearer " + token;
        if (!needsToken(request.path) || equalSecrets(request.get_header_value("Authorization"), expected)) {
            return httplib::Server::HandlerResponse::Unhandled;
        }
        answerError(response, ErrorKind::Unauthorized, "the operators' token is missing or wrong");
        return httplib::Server::HandlerResponse::Handled;
    });
}

} // namespace

struct OperatorListener::Private
{
    explicit Private(const LimitSettings &limits)
        : server(limits)
    {
    }

    ListenerServer server;
};

OperatorListener::OperatorListener(DaemonContext *context, const std::string &address, const LimitSettings &limits)
    : m_private(std::make_unique<Private>(limits))
{
    httplib::Server *server = m_private->server.http();
    requireToken(server, context->operatorToken);
    addHealthChecks(server, context);
    addMetricsPage(server, context);
    addJobsApi(server, context);
    addConfigApi(server, context);
    addDataCentresApi(server, context);
    addViewsApi(server, context);
    server->set_error_handler([](const httplib::Request &, httplib::Response &response) {
        if (response.status == 404 && response.body.empty()) {
            answerError(response, ErrorKind::NotFound, "no such path");
        }
    });
    m_private->server.listen(address);
}

OperatorListener::~OperatorListener() = default;

void OperatorListener::stop()
{
    m_private->server.stop();
}

} // namespace fescueledge
