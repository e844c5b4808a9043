#pragma once

#include "fescueledge/types.h"

#include <cstddef>
#include <string>
#include <vector>

namespace fescueledge::workflow {

struct Worker;

/// Number of rows that the record of workers is divided into. A part of a fleet of 10,000 workers has about 40 of them.
constexpr std::size_t recordPartCount = 256;

/// The part that names the worker @p id, in all terms.
std::size_t recordPartOf(const WorkerId &id);
/// Whether the record names the runs of @p worker, which it does if the worker gets no starts. The next coordinator
/// then has to wait for the tasks of these runs only. The worker gets no starts until the record is written without
/// them.
bool namesRuns(const Worker &worker);

/// Whether the record names the end of the lease of @p worker, because it leaves, or has left, and does not answer. Its
/// lease is not extended before the record is written without, so that later coordinators need not wait for longer.
bool namesLeaseEnd(const Worker &worker);

/// The workers of one row of the durable record of workers.
struct RecordPart
{
    void add(Worker *worker);
    void remove(Worker *worker);
    /// Whether the row is to be written at @p now.
    bool isDue(TimePoint now) const
    {
        return changed && now >= keptUntil;
    }

    bool changed = false; ///< The row may be out of date.
    TimePoint keptUntil{}; ///< An unreadable row stays until then: it may name workers that still hold runs.
    std::vector<Worker *> workers; ///< Ordered by id.
    std::string
        written; ///< The value last sent to the store, or read from it; empty if there is none or if it is unknown.
};

} // namespace fescueledge::workflow
