#include "listenerserver_pvt.h"

#include "apierror_pvt.h"
#include "daemoncontext_pvt.h"
#include "fescueledge/daemonsettings.h"
#include "fescueledge/nodeauthority.h"
#include "looprequest_pvt.h"

namespace fescueledge {

namespace {

constexpr std::size_t maxKeepAliveRequests = 1000000;
constexpr time_t keepAliveTimeoutSeconds = 5;
constexpr time_t ioTimeoutSeconds = 30;
constexpr std::size_t bytesPerMb = 1U << 20U;
constexpr Milliseconds healthCheckTimeout{1000};

} // namespace

ListenerServer::ListenerServer(const LimitSettings &limits)
{
    const std::size_t threads = static_cast<std::size_t>(limits.threads);
    m_server.new_task_queue = [threads] {
        return new httplib::ThreadPool(threads);
    };
    m_server.set_tcp_nodelay(true);
    m_server.set_keep_alive_max_count(maxKeepAliveRequests);
    m_server.set_keep_alive_timeout(keepAliveTimeoutSeconds);
    m_server.set_read_timeout(ioTimeoutSeconds);
    m_server.set_write_timeout(ioTimeoutSeconds);
    m_server.set_payload_max_length(static_cast<std::size_t>(limits.bodyMb) * bytesPerMb);
}

ListenerServer::~ListenerServer()
{
    stop();
}

httplib::Server *ListenerServer::http()
{
    return &m_server;
}

void ListenerServer::listen(const std::string &address)
{
    const std::size_t colon = address.rfind(':');
    const std::string host = address.substr(0, colon);
    const int port = std::atoi(address.substr(colon + 1).c_str());
    if (!m_server.bind_to_port(host, port)) {
        throw Error(ErrorKind::InvalidSettings, "cannot listen on " + address);
    }
    m_thread = std::thread([this] {
        m_server.listen_after_bind();
    });
}

void ListenerServer::stop()
{
    if (m_thread.joinable()) {
        m_server.stop();
        m_thread.join();
    }
}

void addHealthChecks(httplib::Server *server, DaemonContext *context)
{
    server->Get("/healthz", [](const httplib::Request &, httplib::Response &response) {
        answerJson(response, {{"status", "ok"}});
    });
    server->Get("/readyz", withErrorHandling([context](const httplib::Request &, httplib::Response &response) {
                    const bool mayAct = readOnLoop<bool>(context->loop, healthCheckTimeout, [context] {
                        return context->authority->actUntil() > context->loop->now();
                    });
                    if (context->draining) {
                        answerError(response, ErrorKind::ShuttingDown, "this node drains");
                    } else if (!mayAct) {
                        answerError(response, ErrorKind::NotActing, "this node may not act now");
                    } else {
                        answerJson(response, {{"status", "ready"}});
                    }
                }));
}

} // namespace fescueledge
