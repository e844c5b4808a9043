// Load pattern: serving tasks fill most of the fleet, fillers run beside them, and some images of fillers lengthen the
// tails of some images of serving tasks. Which ones is not known beforehand.
#include "interferencemodel_pvt.h"
#include "workflowworld_pvt.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <cmath>

using namespace fescueledge;
using namespace fescueledge::workflow;

namespace {

constexpr std::int64_t tailTargetMs = 20;
constexpr std::int64_t calmTailMs = 8;
constexpr std::int64_t disturbedTailMs = 60;

StepSpec servingStep(const std::string &image)
{
    StepSpec step = simpleStep(2);
    step.perTask.milliCores = 2000;
    step.longRunning = true;
    step.image = image;
    step.tailTarget = Milliseconds(tailTargetMs);
    return step;
}

StepSpec fillerStep(const std::string &image)
{
    StepSpec step = simpleStep(4);
    step.filler = true;
    step.checkpoints = true;
    step.image = image;
    return step;
}

} // namespace

TEST_CASE("the model finds out which filler disturbs which serving image")
{
    InterferenceModel model;
    for (int i = 0; i < 200; ++i) {
        const bool loud = i % 2 == 0;
        FillerLoad load{{"quiet", 0.1}};
        if (loud) {
            load["loud"] = 0.1;
        }
        model.learn("web", loud ? 1.7 : 0.5, load);
        model.learn("mail", 0.5, load);
    }
    CHECK(model.added("web", "loud", 0.1) > 0.6);
    CHECK(model.added("web", "quiet", 0.1) < 0.3);
    CHECK(model.added("mail", "loud", 0.1) < 0.1);
    InterferenceModel copy;
    copy.decode(model.encode());
    CHECK(copy.added("web", "loud", 0.1) == Approx(model.added("web", "loud", 0.1)).margin(0.01)); // Rows are rounded.
}

TEST_CASE("the swing of a serving task's own load blames nobody")
{
    InterferenceModel model;
    for (int i = 0; i < 400; ++i) {
        const double swing = 0.45 * (1 + 0.5 * std::sin(i * 0.031));
        model.learn("web", swing, {{"quiet", 0.1}, {"calm", 0.2}});
    }
    CHECK(model.added("web", "quiet", 0.1) < 0.1);
    CHECK(model.added("web", "calm", 0.2) < 0.1);
}

TEST_CASE("fillers that disturb are slowed down at once, moved away, and not placed there again")
{
    WorkflowWorld world(1);
    for (int i = 0; i < 4; ++i) {
        Resources capacity;
        capacity.milliCores = 8000;
        capacity.memoryMb = 100000;
        world.workers.add("w" + std::to_string(i), "dc-a", "r0", capacity);
    }
    world.workers.workOf = [](const TaskKey &key) {
        return std::make_pair(key.job[0] == 's' ? Milliseconds(600000) : Milliseconds(1500), false);
    };
    // Fillers of jobs named "l..." disturb; they use a core each.
    world.workers.gaugeOf = [&world](const SimWorkers::SimWorker &worker, const SimWorkers::RunRecord &record) {
        if (record.task.job[0] != 's') {
            return record.pace * std::int64_t{10};
        }
        const bool disturbed = std::any_of(worker.active.begin(), worker.active.end(), [&world](const auto &entry) {
            const SimWorkers::RunRecord &other = world.workers.runs()[entry.second];
            return other.task.job[0] == 'l' && other.pace > 0;
        });
        return disturbed ? disturbedTailMs : calmTailMs;
    };
    world.run(Milliseconds(1500));
    world.submit(0, "s000000000000000", workflowOf({servingStep("web")}), "urgent");
    world.run(Milliseconds(500));
    const auto overTarget = [&world] {
        int over = 0;
        for (const WorkerEntry &entry : world.workers.listed()) {
            SimWorkers::SimWorker *worker = world.workers.find(entry.id);
            for (const auto &[name, index] : worker->active) {
                const SimWorkers::RunRecord &record = world.workers.runs()[index];
                over += record.task.job[0] == 's' && world.workers.gaugeOf(*worker, record) > tailTargetMs ? 1 : 0;
            }
        }
        return over;
    };
    int late = 0;
    for (int round = 0; round < 60; ++round) {
        const std::string digits = std::to_string(100 + round);
        world.submit(0, "l000000000000" + digits, workflowOf({fillerStep("loud")}));
        world.submit(0, "q000000000000" + digits, workflowOf({fillerStep("quiet")}));
        world.run(Milliseconds(500));
        late += round >= 20 && overTarget() > 0 ? 1 : 0;
    }
    CHECK(late <= 2); // After ten seconds of learning.
    std::size_t done = 0;
    for (const SimWorkers::RunRecord &run : world.workers.runs()) {
        done += run.task.job[0] == 'l' && run.ended != TimePoint{} && run.how == RunEnd::Done ? 1U : 0U;
    }
    CHECK(done >= 180); // Of 240: the fillers are not starved.
}
