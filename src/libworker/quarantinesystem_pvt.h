#pragma once

#include "fescueledge/types.h"

#include <deque>
#include <map>
#include <set>

namespace fescueledge {

struct AttemptRow;
struct WorkerContext;
struct WorkerRow;

/// Keeps work off workers whose attempts fail, and probes them with one attempt at a time after a backoff.
///
/// A failure counts against the worker only while its job is not known to fail everywhere.
class QuarantineSystem
{
public:
    explicit QuarantineSystem(WorkerContext *context);

    /// Records how an attempt ended.
    void onAttemptEnded(const AttemptRow &row);
    /// True if @p worker gets no attempts, or only probes.
    bool isQuarantined(const WorkerId &worker) const;
    /// True if @p worker may get an attempt now, possibly as a probe.
    bool admits(const WorkerRow &worker) const;
    /// Ends quarantines caused by jobs that turned out to fail everywhere, and drops old job records.
    void run();

private:
    struct Outcome
    {
        TimePoint when;
        JobId job;
        bool failed = false;
    };
    struct WorkerRecord
    {
        std::deque<Outcome> outcomes;
        bool quarantined = false;
        TimePoint probeAfter; ///< No probe before this.
        Duration backoff{};
    };
    struct JobRecord
    {
        std::set<WorkerId> failedOn;
        bool succeeded = false;
        TimePoint lastEndedAt;
    };

    bool failsEverywhere(const JobId &job) const;
    bool exceedsFailureLimits(const WorkerRecord &record) const;
    void release(const WorkerId &worker, WorkerRecord *record);
    void enter(const WorkerId &worker, WorkerRecord *record);

    WorkerContext *m_context;
    std::map<WorkerId, WorkerRecord> m_workers;
    std::map<JobId, JobRecord> m_jobs;
};

} // namespace fescueledge
