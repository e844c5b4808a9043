#include "disruptionbudget_pvt.h"

#include "fescueledge/testing/simloop.h"
#include "fescueledge/testing/simworld.h"
#include "workflowworld_pvt.h"

#include <catch2/catch.hpp>
#include <functional>

using namespace fescueledge;
using namespace fescueledge::workflow;

namespace {

constexpr std::uint32_t taskCount = 4;

/// A step whose tasks are all at work, each on a worker of its own.
class WorkingStep
{
public:
    explicit WorkingStep(std::uint32_t maxUnavailable, bool isGang = false)
        : m_loop(&m_world)
        , context(std::make_shared<Context>())
        , budget(context)
    {
        context->loop = &m_loop;
        context->log = &log;
        StepSpec spec = simpleStep(taskCount);
        spec.longRunning = true;
        spec.filler = true;
        spec.maxUnavailable = maxUnavailable;
        spec.gang = isGang;
        m_world.runFor(std::chrono::minutes(1));
        Job *job = context->jobs.add("00000000000000aa", workflowOf({spec}), QueuePolicy{}, WallTime{}, context->now(),
                                     WallTime{});
        step = &job->open.at(0)->steps.front();
        for (Task &task : step->tasks) {
            WorkerEntry entry;
            entry.id = "w" + std::to_string(task.index);
            Worker *worker = context->fleet.upsert(entry, context->now());
            FleetTable::setContact(worker, WorkerContact::Adopted);
            FleetTable::place(&task, worker);
            setRunning(&task);
        }
        m_world.runFor(std::chrono::minutes(1));
        for (Task &task : step->tasks) {
            task.worker->observedAt = context->now();
        }
    }

    void setRunning(Task *task) const
    {
        context->jobs.setPhase(task, TaskPhase::Running, context->now());
        task->percentAtWork = fullPace;
        task->hasStartedUp = true;
    }

    Task &task(std::size_t index) const
    {
        return step->tasks.at(index);
    }

private:
    SimWorld m_world;
    SimLoop m_loop;

public:
    MemoryLog log;
    std::shared_ptr<Context> context;
    DisruptionBudget budget;
    Step *step = nullptr;
};

/// A reason for which a task is away, and where it is counted.
struct Absence
{
    const char *name;
    std::function<void(const WorkingStep &, Task *)> takeAway;
    std::uint32_t AwayTasks::*counter;
};

const std::vector<Absence> &absences()
{
    static const std::vector<Absence> all{
        {"on no worker",
         [](const WorkingStep &world, Task *task) {
             FleetTable::release(task);
             world.context->jobs.setIdle(task);
         },
         &AwayTasks::waiting},
        {"start not answered",
         [](const WorkingStep &world, Task *task) {
             world.context->jobs.setPhase(task, TaskPhase::Starting, world.context->now());
         },
         &AwayTasks::starting},
        {"start timed out",
         [](const WorkingStep &world, Task *task) {
             world.context->jobs.setPhase(task, TaskPhase::Uncertain, world.context->now());
         },
         &AwayTasks::starting},
        {"starting up",
         [](const WorkingStep &, Task *task) {
             task->percentAtWork = fullPace / 2;
         },
         &AwayTasks::starting},
        {"slowed down before it had started up",
         [](const WorkingStep &, Task *task) {
             task->percentAtWork = fullPace / 2;
             task->pace = fullPace / 2;
             task->hasStartedUp = false;
         },
         &AwayTasks::starting},
        {"seen at work for too short a time to rule out a stop by a predecessor",
         [](const WorkingStep &world, Task *task) {
             world.setRunning(task);
         },
         &AwayTasks::starting},
        {"no longer listed",
         [](const WorkingStep &, Task *task) {
             task->hasUnlistedEnd = true;
         },
         &AwayTasks::starting},
        {"being stopped",
         [](const WorkingStep &world, Task *task) {
             world.context->jobs.setPhase(task, TaskPhase::Stopping, world.context->now());
         },
         &AwayTasks::stopping},
        {"worker silent",
         [](const WorkingStep &, Task *task) {
             FleetTable::setContact(task->worker, WorkerContact::Silent);
         },
         &AwayTasks::unreachable},
        {"worker not adopted in this term",
         [](const WorkingStep &, Task *task) {
             FleetTable::setContact(task->worker, WorkerContact::Unadopted);
         },
         &AwayTasks::unreachable},
        {"worker left a call unanswered",
         [](const WorkingStep &, Task *task) {
             task->worker->life.unansweredCalls = 1;
         },
         &AwayTasks::unreachable},
        {"worker seems to have restarted",
         [](const WorkingStep &, Task *task) {
             task->worker->life.isDoubted = true;
         },
         &AwayTasks::unreachable},
    };
    return all;
}

} // namespace

// Guards against a task that counts as at work although it is away, for each reason that it can be away for.
TEST_CASE("a task may not be moved while as many others as max_unavailable are away, for whatever reason")
{
    for (const Absence &absence : absences()) {
        INFO(absence.name);
        const WorkingStep world(1);
        CHECK(world.budget.othersAway(world.task(0)).total() == 0);
        CHECK(world.budget.allowsMove(world.task(0)));
        absence.takeAway(world, &world.step->tasks[1]);
        const AwayTasks away = world.budget.othersAway(world.task(0));
        CHECK(away.total() == 1);
        CHECK(away.*absence.counter == 1);
        CHECK_FALSE(world.budget.allowsMove(world.task(0)));
        CHECK(world.log.count("run_move_deferred") == 1);
    }
}

TEST_CASE("tasks away below the limit, the task itself, done tasks and slowed ones do not hold a move back")
{
    const WorkingStep two(2);
    absences().front().takeAway(two, &two.step->tasks[1]);
    CHECK(two.budget.allowsMove(two.task(0)));
    absences().front().takeAway(two, &two.step->tasks[2]);
    CHECK_FALSE(two.budget.allowsMove(two.task(0)));

    const WorkingStep one(1);
    one.step->tasks[0].percentAtWork = 0;
    CHECK(one.budget.allowsMove(one.task(0)));
    one.step->tasks[1].pace = 0;
    one.step->tasks[1].percentAtWork = 0;
    CHECK(one.budget.allowsMove(one.task(0)));
    one.context->jobs.setPhase(&one.step->tasks[2], TaskPhase::Done, one.context->now());
    CHECK(one.budget.allowsMove(one.task(0)));
}

// Guards against the move of one member of a gang, which ends all others with it.
TEST_CASE("a member of a gang is moved only if all of the gang may be away")
{
    const WorkingStep few(taskCount - 1, true);
    CHECK(few.budget.othersAway(few.task(0)).ganged == taskCount - 1);
    CHECK_FALSE(few.budget.allowsMove(few.task(0)));
    const WorkingStep all(taskCount, true);
    CHECK(all.budget.allowsMove(all.task(0)));
}

TEST_CASE("a step without max_unavailable is not held back, and logs no deferred moves")
{
    const WorkingStep world(0);
    for (std::size_t i = 1; i < taskCount; ++i) {
        absences().front().takeAway(world, &world.step->tasks[i]);
    }
    CHECK(world.budget.allowsMove(world.task(0)));
    CHECK(world.log.lines.empty());
}
