#pragma once

#include "fescueledge/types.h"

#include <httplib.h>
#include <mutex>
#include <random>

namespace fescueledge {

/// Fault injection for a stand-in server. `POST /faults` sets the faults with JSON: `down`, `latency_ms`,
/// `lose_request` and `lose_answer` (probabilities), `lag_ms`. Thread-safe.
class FaultSwitch
{
public:
    /// Adds the path `/faults` to @p server.
    void attach(httplib::Server *server);

    /// Sleeps for the injected latency. Sets status 503 and returns false if the server is down or loses the request.
    bool admit(httplib::Response &response);
    /// True if the response to a request that took effect should be lost.
    bool losesAnswer();
    Milliseconds lag();

private:
    std::mutex m_mutex;
    std::mt19937_64 m_random{1};
    bool m_down = false;
    Milliseconds m_latency{0};
    Milliseconds m_lag{0};
    double m_loseRequest = 0;
    double m_loseAnswer = 0;
};

/// Sends a body that is shorter than announced and closes the connection, so that the caller sees a lost response.
void loseAnswer(httplib::Response &response);

/// Configures @p server as all stand-in servers are: @p threads threads, long keep-alive, TCP_NODELAY.
void prepareServer(httplib::Server *server, int threads);

} // namespace fescueledge
