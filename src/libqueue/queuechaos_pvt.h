#pragma once

#include "queueworld_pvt.h"

namespace fescueledge {

/// A randomised run of a job queue under several kinds of faults at once. The same seed repeats the same run.
class QueueChaos
{
public:
    /// Faults of a run, in addition to node kills, pauses, cut links, moves of shards, lost answers and store outages.
    struct Options
    {
        int jobs = 30;
        int maxTasks = 80;
        double evictions = 0.3; ///< Probability of a wave of evictions at each step.
        double workerLosses = 0.1;
        double cancellations = 0.05;
        double staleReports = 0.3; ///< Probability that a message repeats a report of an attempt that has ended.
        double failures = 0.05; ///< Probability that an attempt fails.
        Duration faultDuration = std::chrono::seconds(30); ///< Time during which faults are injected.
    };

    QueueChaos(std::uint64_t seed, const Options &options);
    /// Injects the faults, ends them, and waits until all accepted jobs ended. Returns false if they did not in time.
    bool run();
    /// Returns the violations in the final state and those that the workers recorded.
    std::vector<std::string> findViolations();

    QueueWorld fleet;
    std::map<JobId, bool> cancelled; ///< Acknowledged cancellations; true if the job had ended before.

private:
    void submitAll();
    void step();
    void storeFault();
    void killNode();
    void pauseNode();
    void isolateNode();
    void moveShard();
    void loseWorker();
    void evictSome();
    void cancelSome();
    void releaseShards(const NodeId &node);
    void reassignShards();
    void heal();
    void checkJob(const JobId &job, std::vector<std::string> &found);

    Options m_options;
    std::map<std::string, JobSpec> m_specs;
    std::set<int> m_paused;
    std::set<int> m_isolated;
    std::map<ShardId, TimePoint> m_reassignAt;
};

} // namespace fescueledge
