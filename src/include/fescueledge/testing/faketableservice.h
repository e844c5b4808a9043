#pragma once

#include "fescueledge/random.h"
#include "fescueledge/watchabletable.h"

namespace fescueledge {

class Loop;
class MemoryTable;
class SimWorld;

/// One process's connection to a MemoryTable in virtual time, with fault injection.
class FakeTableService : public WatchableTable
{
public:
    /// Faults to inject between this process and the table service.
    struct Faults
    {
        bool down = false; ///< No call is answered; commits end as Unknown or Unavailable after the timeout.
        bool refuses = false; ///< Connections are refused: no call takes effect, and each ends at once.
        bool watchesSilent = false; ///< Watches end without an answer after their wait; all other calls work.
        double loseRequest = 0; ///< Probability that a commit is lost before it takes effect.
        double loseAnswer = 0; ///< Probability that the answer to a commit that took effect is lost.
        /// If it is not zero, commits take effect so much later, and their answers are lost.
        Milliseconds requestDelay{0};
        int scanRounds = 1; ///< Number of sequential calls that a scan of a whole collection takes: for its partitions.
        Milliseconds latency{5}; ///< Half of it elapses before the effect, half after it.
        Milliseconds timeout{500}; ///< Time after which a lost answer is detected.
    };

    FakeTableService(SimWorld *world, Loop *loop, MemoryTable *table, std::uint64_t seed);

    void read(const std::vector<std::string> &keys, ReadHandler handler) override;
    void scan(const std::string &prefix, ReadHandler handler) override;
    void commit(const Transaction &transaction, CommitHandler handler) override;
    void watch(const std::string &collection, RowVersion since, Milliseconds wait, WatchHandler handler) override;

    Faults faults;

private:
    void pollChanges(const std::string &collection, RowVersion since, TimePoint until, const WatchHandler &handler);
    void answerRead(const std::function<ReadResult()> &query, Duration latency, const ReadHandler &handler);

    SimWorld *m_world;
    Loop *m_loop;
    MemoryTable *m_table;
    Random m_random;
};

} // namespace fescueledge
