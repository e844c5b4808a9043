#pragma once

#include "standinworker_pvt.h"

#include <atomic>
#include <condition_variable>
#include <httplib.h>
#include <mutex>
#include <thread>

namespace fescueledge {

/// The service endpoint of one stand-in worker. It answers every path after a delay of `ms` (a query parameter), serves
/// at most eight requests at a time, and counts the runs of each idempotency key. Thread-safe.
class StandInEndpoint
{
public:
    /// Serves the endpoint address of @p worker until destruction.
    explicit StandInEndpoint(StandInWorker *worker);
    ~StandInEndpoint();
    StandInEndpoint(const StandInEndpoint &) = delete;
    StandInEndpoint &operator=(const StandInEndpoint &) = delete;

    int inFlight() const;
    /// Returns the number of runs of each key and the highest number of requests in flight, queued ones included.
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
