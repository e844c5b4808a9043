#pragma once

#include "fescueledge/vmentry.h"
#include "fescueledge/workermessages.h"

#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace fescueledge {

/// The agent of one stand-in worker. An attempt runs for the `run_ms` of its payload and fails if the payload has
/// `"fail": true`. The ledger records what actually happened on the worker. Thread-safe.
class StandInWorker
{
public:
    explicit StandInWorker(VmEntry entry);

    const VmEntry &entry() const;
    /// Handles one exchange; @p requestsInFlight is the current number of requests at the endpoint.
    WorkerReply exchange(const WorkerRequest &request, int requestsInFlight);
    /// True if a request sent under @p epoch may be served.
    bool acceptsEpoch(Epoch epoch);
    /// Returns all events in order: `start`, `resume`, `finish`, `fail`, `checkpoint`, `stop`, `refuse`.
    nlohmann::json ledger();
    /// If @p fails is true, every attempt started from now on fails at once.
    void setFailsEverything(bool fails);

private:
    struct Attempted
    {
        TaskReport report;
        Resources resources;
        TimePoint startedAt;
        Milliseconds doneBefore{0};
        Milliseconds length{0};
        bool fails = false;
    };

    void advance(TimePoint now);
    void end(Attempted *attempted, TaskReport::State state, const char *event);
    void carryOut(const TaskCommand &command, Milliseconds startBefore, TimePoint now);
    void start(const TaskCommand &command, Milliseconds startBefore, TimePoint now);
    void checkpoint(Attempted *attempted, TimePoint now);
    void record(const char *event, const TaskId &task, Attempt attempt);
    Resources used() const;
    Milliseconds clock(TimePoint now) const;

    std::mutex m_mutex;
    VmEntry m_entry;
    TimePoint m_bootedAt;
    Epoch m_epoch = 0;
    TimePoint m_leaseEnds;
    bool m_failsEverything = false;
    std::map<std::pair<TaskId, Attempt>, Attempted> m_attempts;
    nlohmann::json m_ledger = nlohmann::json::array();
};

} // namespace fescueledge
