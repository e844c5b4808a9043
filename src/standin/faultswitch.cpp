#include "faultswitch_pvt.h"

#include <nlohmann/json.hpp>
#include <thread>

namespace fescueledge {

namespace {

constexpr std::size_t announcedBytes = 1000;
constexpr std::size_t keepAliveRequests = 1000000;
constexpr int keepAliveSeconds = 60;

} // namespace

void FaultSwitch::attach(httplib::Server *server)
{
    server->Post("/faults", [this](const httplib::Request &request, httplib::Response &response) {
        const nlohmann::json json = nlohmann::json::parse(request.body);
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_down = json.value("down", false);
        m_latency = Milliseconds(json.value("latency_ms", 0));
        m_lag = Milliseconds(json.value("lag_ms", 0));
        m_loseRequest = json.value("lose_request", 0.0);
        m_loseAnswer = json.value("lose_answer", 0.0);
        response.set_content("{}", "application/json");
    });
}

bool FaultSwitch::admit(httplib::Response &response)
{
    Milliseconds latency{0};
    bool lost = false;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        latency = m_latency;
        lost = m_down || std::uniform_real_distribution<double>(0, 1)(m_random) < m_loseRequest;
    }
    std::this_thread::sleep_for(latency);
    if (lost) {
        response.status = 503;
    }
    return !lost;
}

bool FaultSwitch::losesAnswer()
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return std::uniform_real_distribution<double>(0, 1)(m_random) < m_loseAnswer;
}

Milliseconds FaultSwitch::lag()
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_lag;
}

void loseAnswer(httplib::Response &response)
{
    response.set_content_provider(announcedBytes, "application/json",
                                  [](std::size_t, std::size_t, httplib::DataSink &) {
                                      return false;
                                  });
}

void prepareServer(httplib::Server *server, int threads)
{
    server->set_tcp_nodelay(true);
    server->set_keep_alive_max_count(keepAliveRequests);
    server->set_keep_alive_timeout(keepAliveSeconds);
    server->new_task_queue = [threads] {
        return new httplib::ThreadPool(static_cast<std::size_t>(threads));
    };
}

} // namespace fescueledge
