#pragma once

#include "standinworker_pvt.h"

#include <atomic>
#include <condition_variable>
#include <httplib.h>
#include <mutex>
#include <thread>

namespace fescueledge {

/// The service endpoint of one stand-in worker: it answers every path after the `ms` that the query names, serves at
/// most eight requests at a time, and counts how often each idempotency key ran. Thread-safe.
class StandInEndpoint
{
public:
    /// Serves the endpoint address of @p worker until destruction.
    explicit StandInEndpoint(StandInWorker *worker);
    ~StandInEndpoint();
    StandInEndpoint(const StandInEndpoint &) = delete;
    StandInEndpoint &operator=(const StandInEndpoint &) = delete;

    int inFlight() const;
    /// How often each key ran, and the most requests seen in service and in flight at once.
    nlohmann::json ledger();

private:
    void serve(const httplib::Request &request, httplib::Response &response);
    void enterSlot();
    void leaveSlot();
    int recordRun(const std::string &key);

    StandInWorker *m_worker;
    httplib::Server m_server;
    std::thread m_thread;
    std::atomic<int> m_inFlight{0};
    std::mutex m_mutex;
    std::condition_variable m_slotFree;
    int m_inService = 0;
    int m_mostInFlight = 0;
    std::map<std::string, int> m_runs;
};

} // namespace fescueledge
