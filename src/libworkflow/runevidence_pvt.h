#pragma once

#include "fescueledge/workflow/workergateway.h"

/// What shows that a run is over. A task may start again, or its worker's capacity be given away, only on such
/// evidence: an end that is listed, a complete list without the run, another incarnation, or a lease that has certainly
/// expired. That a run does not appear is no evidence by itself. A start order under way may begin a run on any
/// incarnation that it reaches, so it is over only once the worker would refuse it. See docs/DESIGN.md.
namespace fescueledge::workflow {

struct EarlierRun;
struct Task;
struct Worker;

/// An order that was not answered may still take effect within this time, even after newer ones.
constexpr std::chrono::seconds lateOrderWindow{10};

/// Whether @p answer lists run @p run of @p task as active.
bool listsActive(const Observation &answer, const TaskKey &task, RunNumber run);

/// Whether @p answer shows that run @p run of @p task, which the worker had begun before it was asked, is over.
bool showsOver(const Observation &answer, const TaskKey &task, RunNumber run);

/// Whether @p answer, to a question sent at @p sentAt, can tell if the current run of @p task is on its worker: no
/// order about it was under way.
bool canTellOf(const Task &task, TimePoint sentAt);

/// Whether a start order of this term for the current run of @p task may still be carried out, as far as its worker has
/// shown.
bool isStartUnderWay(const Task &task);

/// The current run of @p task as an earlier run on its worker, at @p now.
EarlierRun asEarlierRun(const Task &task, TimePoint now);

/// Whether @p answer of a worker, to a question sent at @p sentAt, shows that @p run is over and can't begin there.
bool showsOver(const Observation &answer, const EarlierRun &run, TimePoint sentAt);

/// Whether the entry of @p worker names another incarnation than the known one. Its address may then be a former one,
/// and who answers there says nothing of the known incarnation.
bool isListedAsOther(const Worker &worker);

/// Whether a run on @p worker can start again only once the worker has shown that it refuses an unanswered start, or
/// has answered a question that was sent after the start was answered.
bool hasUnsettledStart(const Worker &worker);

/// Whether @p worker has yet to confirm that it refuses the start of one of its tasks.
bool awaitsStopOfStart(const Worker &worker);

/// Whether the start order of @p run may reach the next incarnation of @p worker, which does not answer, and whose
/// lease is over at @p now or which has ended.
bool mayReachNextLife(const EarlierRun &run, const Worker &worker, TimePoint now);

/// Whether the worker may hold runs that this term does not know of: it has not shown all its runs yet.
bool mayHoldUnknownRuns(const Worker &worker);

/// Whether nothing runs on a worker that does not answer, because its lease has certainly expired at @p now.
bool isLeaseOver(const Worker &worker, TimePoint now);

} // namespace fescueledge::workflow
