#include "standinendpoint_pvt.h"

#include "faultswitch_pvt.h"
#include "standinargs_pvt.h"

#include <algorithm>

namespace fescueledge {

namespace {

constexpr int slots = 8;
constexpr int serverThreads = 20;

} // namespace

StandInEndpoint::StandInEndpoint(StandInWorker *worker)
    : m_worker(worker)
{
    prepareServer(&m_server, serverThreads);
    const httplib::Server::Handler handler = [this](const httplib::Request &request, httplib::Response &response) {
        serve(request, response);
    };
    m_server.Get("/.*", handler);
    m_server.Post("/.*", handler);
    m_server.Put("/.*", handler);
    const std::string address = m_worker->entry().endpointAddress;
    m_thread = std::thread([this, address] {
        m_server.listen(hostOf(address), portOf(address));
    });
}

StandInEndpoint::~StandInEndpoint()
{
    m_server.stop();
    m_thread.join();
}

int StandInEndpoint::inFlight() const
{
    return m_inFlight;
}

nlohmann::json StandInEndpoint::ledger()
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return {{"worker", m_worker->entry().name}, {"runs", m_runs}, {"most_in_flight", m_mostInFlight}};
}

void StandInEndpoint::serve(const httplib::Request &request, httplib::Response &response)
{
    if (request.has_header("X-Request-Id")) {
        response.set_header("X-Request-Id", request.get_header_value("X-Request-Id"));
    }
    const Epoch epoch = request.get_header_value<std::uint64_t>("X-Fescueledge-Epoch");
    if (request.has_header("X-Fescueledge-Epoch") && !m_worker->acceptsEpoch(epoch)) {
        response.status = 421;
        return;
    }
    enterSlot();
    const int run = recordRun(request.get_header_value("Idempotency-Key"));
    if (request.has_param("ms")) {
        std::this_thread::sleep_for(Milliseconds(std::atoi(request.get_param_value("ms").c_str())));
    }
    const nlohmann::json out = {
        {"worker", m_worker->entry().name}, {"path", request.path}, {"run", run}, {"echo", request.body}};
    leaveSlot();
    response.set_content(out.dump(), "application/json");
}

void StandInEndpoint::enterSlot()
{
    std::unique_lock<std::mutex> lock(m_mutex);
    ++m_inFlight;
    m_mostInFlight = std::max(m_mostInFlight, m_inFlight.load());
    m_slotFree.wait(lock, [this] {
        return m_inService < slots;
    });
    ++m_inService;
}

void StandInEndpoint::leaveSlot()
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    --m_inService;
    --m_inFlight;
    m_slotFree.notify_one();
}

int StandInEndpoint::recordRun(const std::string &key)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return key.empty() ? 0 : ++m_runs[key];
}

} // namespace fescueledge
