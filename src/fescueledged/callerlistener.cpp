#include "callerlistener_pvt.h"

#include "apierror_pvt.h"
#include "daemoncontext_pvt.h"
#include "fescueledge/daemonsettings.h"
#include "fescueledge/requestdispatcher.h"
#include "jobsapi_pvt.h"
#include "listenerserver_pvt.h"
#include "looprequest_pvt.h"

#include <algorithm>
#include <array>
#include <cstdlib>
#include <strings.h>

namespace fescueledge {

namespace {

constexpr Milliseconds dispatchTimeout{600000};
constexpr Milliseconds maxDeadline{300000};

/// Hop-by-hop headers and headers that the HTTP library adds. They are not forwarded.
constexpr std::array<const char *, 13> connectionHeaders = {
    "Connection",        "Content-Length", "Keep-Alive",  "LOCAL_ADDR", "LOCAL_PORT",
    "Proxy-Connection",  "REMOTE_ADDR",    "REMOTE_PORT", "TE",         "Trailer",
    "Transfer-Encoding", "Upgrade",        "X-Request-Id"};

bool isConnectionHeader(const std::string &name)
{
    return std::any_of(connectionHeaders.begin(), connectionHeaders.end(), [&name](const char *other) {
        return strcasecmp(name.c_str(), other) == 0;
    });
}

ServiceRequest toServiceRequest(const httplib::Request &http)
{
    ServiceRequest request;
    request.method = http.method;
    const std::string host = http.get_header_value("Host");
    request.host = host.substr(0, host.rfind(':'));
    request.path = http.target;
    request.body = http.body;
    request.customer = http.get_header_value("X-Customer");
    request.key = http.get_header_value("Idempotency-Key");
    for (const auto &[name, value] : http.headers) {
        if (!isConnectionHeader(name) && strcasecmp(name.c_str(), "Idempotency-Key") != 0) {
            request.headers[name] = value;
        }
    }
    return request;
}

std::optional<Milliseconds> parseDeadline(const httplib::Request &http)
{
    if (!http.has_header("X-Deadline-Ms")) {
        return std::nullopt;
    }
    const std::string text = http.get_header_value("X-Deadline-Ms");
    char *end = nullptr;
    const long long value = std::strtoll(text.c_str(), &end, 10);
    if (text.empty() || *end != '\0' || value <= 0 || value > maxDeadline.count()) {
        throw Error(ErrorKind::InvalidArgument,
                    "X-Deadline-Ms must be a whole number of milliseconds from 1 to "
                        + std::to_string(maxDeadline.count()));
    }
    return Milliseconds(value);
}

void answerResponse(httplib::Response &http, const ServiceResponse &response)
{
    http.status = response.status;
    std::string contentType = "application/octet-stream";
    for (const auto &[name, value] : response.headers) {
        if (strcasecmp(name.c_str(), "Content-Type") == 0) {
            contentType = value;
        } else if (!isConnectionHeader(name)) {
            http.set_header(name, value);
        }
    }
    http.set_content(response.body, contentType);
}

void dispatchRequest(DaemonContext *context, const httplib::Request &http, httplib::Response &response)
{
    const ServiceRequest request = toServiceRequest(http);
    const std::optional<Milliseconds> deadline = parseDeadline(http);
    const DispatchResult result =
        awaitOnLoop<DispatchResult>(context->loop, dispatchTimeout, [&](const RequestDispatcher::Handler &done) {
            context->dispatcher->dispatch(request, deadline, done);
        });
    response.set_header("X-Request-Id", result.requestId);
    if (result.replayed) {
        response.set_header("X-Replayed", "true");
    }
    if (result.ok) {
        answerResponse(response, result.response);
        return;
    }
    if (result.retryAfter.count() > 0) {
        const Milliseconds::rep seconds = std::chrono::ceil<std::chrono::seconds>(result.retryAfter).count();
        response.set_header("Retry-After", std::to_string(seconds));
    }
    answerError(response, result.error, result.message, result.outcome);
}

} // namespace

struct CallerListener::Private
{
    explicit Private(const LimitSettings &limits)
        : server(limits)
    {
    }

    ListenerServer server;
};

CallerListener::CallerListener(DaemonContext *context, const std::string &address, const LimitSettings &limits)
    : m_private(std::make_unique<Private>(limits))
{
    httplib::Server *server = m_private->server.http();
    addHealthChecks(server, context);
    addJobsApi(server, context);
    const httplib::Server::Handler handler =
        withErrorHandling([context](const httplib::Request &request, httplib::Response &response) {
            dispatchRequest(context, request, response);
        });
    server->Get(".*", handler);
    server->Post(".*", handler);
    server->Put(".*", handler);
    server->Patch(".*", handler);
    server->Delete(".*", handler);
    server->Options(".*", handler);
    m_private->server.listen(address);
}

CallerListener::~CallerListener() = default;

void CallerListener::stop()
{
    m_private->server.stop();
}

} // namespace fescueledge
