#pragma once

#include "fescueledge/types.h"

#include <httplib.h>
#include <mutex>
#include <random>

namespace fescueledge {

/// Faults of a stand-in server, set by `POST /faults` with JSON: `down`, `latency_ms`, `lose_request` and
/// `lose_answer` (probabilities), `lag_ms`. Thread-safe.
class FaultSwitch
{
public:
    /// Adds the control path to @p server.
    void attach(httplib::Server *server);

    /// Waits for the latency set. Returns false, after answering 503, if the stand-in is down or loses the request.
    bool admit(httplib::Response &response);
    /// True if the answer to a request that took effect is to be lost.
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

/// Answers with a body that is shorter than announced and closes, so that the caller sees a lost answer.
void loseAnswer(httplib::Response &response);

/// Settings every stand-in server has: many connections kept open, no delay.
void prepareServer(httplib::Server *server, int threads);

} // namespace fescueledge
