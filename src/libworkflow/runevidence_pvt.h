#pragma once

#include "fescueledge/workflow/workergateway.h"

/// What shows that a run is over. A task may start again, or its worker's capacity be given away, only on such
/// evidence: an end that is listed, a complete list without the run, another incarnation, or a lease that has certainly
/// expired. That a run does not appear is no evidence by itself. See docs/DESIGN.md.
namespace fescueledge::workflow {

struct Task;
struct Worker;

/// Whether @p answer lists run @p run of @p task as active.
bool listsActive(const Observation &answer, const TaskKey &task, RunNumber run);

/// Whether @p answer shows that run @p run of @p task, which the worker had begun before it was asked, is over.
bool showsOver(const Observation &answer, const TaskKey &task, RunNumber run);

/// Whether @p answer, to a question sent at @p sentAt, can tell if the current run of @p task is on its worker: no
/// order about it was under way.
bool canTellOf(const Task &task, TimePoint sentAt);

/// Whether the worker may hold runs that this term does not know of: it has not shown all its runs yet.
bool mayHoldUnknownRuns(const Worker &worker);

/// Whether nothing runs on a worker that does not answer, because its lease has certainly expired at @p now.
bool isLeaseOver(const Worker &worker, TimePoint now);

} // namespace fescueledge::workflow
