// Load pattern: serving tasks fill most of the fleet, fillers run beside them, and some images of fillers lengthen the
// tails of some images of serving tasks. Which ones is not known in advance.
#include "fescueledge/random.h"
#include "interferencemodel_pvt.h"
#include "servingtrend_pvt.h"
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

/// Gauges arrive every half second.
TimePoint gaugeTime(int index)
{
    return TimePoint{} + std::chrono::hours(1) + index * Milliseconds(500);
}

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
    ServingTrend web;
    ServingTrend mail;
    for (int i = 0; i < 200; ++i) {
        const TimePoint now = gaugeTime(i);
        const bool loud = i % 2 == 0;
        FillerLoad load{{"quiet", 0.1}};
        if (loud) {
            load["loud"] = 0.1;
        }
        model.learn("web", &web, 1 / (loud ? 1.7 : 0.5), load, now);
        model.learn("mail", &mail, 1 / 0.5, load, now);
    }
    CHECK(model.takenHeadroom("web", "loud", 0.1).expected > 0.6);
    CHECK(model.takenHeadroom("web", "quiet", 0.1).expected < 0.3);
    CHECK(model.takenHeadroom("mail", "loud", 0.1).expected < 0.1);
    InterferenceModel copy;
    REQUIRE(copy.decode(model.encode()));
    // Rows are rounded.
    CHECK(copy.takenHeadroom("web", "loud", 0.1).expected
          == Approx(model.takenHeadroom("web", "loud", 0.1).expected).margin(0.01));
}

TEST_CASE("a stored model that can't be decoded leaves the current one unchanged")
{
    InterferenceModel model;
    ServingTrend web;
    for (int i = 0; i < 20; ++i) {
        model.learn("web", &web, 1, {{"loud", 0.1}}, gaugeTime(i));
    }
    const std::string before = model.encode();
    for (const char *value : {"", "[]", "7", R"({"web":{"base":0.5,"effects":{"loud":3}}})", R"({"web":[]})"}) {
        CHECK_FALSE(model.decode(value));
        CHECK(model.encode() == before);
    }
}

TEST_CASE("variations of a serving task's own load are not attributed to fillers")
{
    InterferenceModel model;
    ServingTrend web;
    for (int i = 0; i < 400; ++i) {
        const double swing = 0.45 * (1 + 0.5 * std::sin(i * 0.031));
        model.learn("web", &web, 1 / swing, {{"quiet", 0.1}, {"calm", 0.2}}, gaugeTime(i));
    }
    CHECK(model.takenHeadroom("web", "quiet", 0.1).expected < 0.1);
    CHECK(model.takenHeadroom("web", "calm", 0.2).expected < 0.1);
}

TEST_CASE("varying load beside fillers of ten images: which ones disturb is known within ten seconds, at any load")
{
    // Tails of a queue: service time / (1 - load), with a target of 4.5 service times. Three of ten images disturb.
    Random random(11);
    InterferenceModel model;
    std::vector<ServingTrend> trends(4);
    const auto effect = [](int image) {
        return image < 3 ? 1.5 : 0.12;
    };
    const auto ownLoad = [](std::size_t step, double seconds) {
        return 0.42 * (1 + 0.5 * std::sin(0.6 * seconds + 1.7 * static_cast<double>(step)));
    };
    double worstError = 0;
    for (int round = 0; round < 60; ++round) {
        const TimePoint now = gaugeTime(round);
        const double seconds = 0.5 * round;
        for (std::size_t step = 0; step < trends.size(); ++step) {
            for (int worker = 0; worker < 6; ++worker) {
                FillerLoad load;
                double busy = ownLoad(step, seconds);
                for (int filler = 0; filler < 3; ++filler) {
                    const int image = static_cast<int>(random.below(10));
                    load["filler-" + std::to_string(image)] += 0.08;
                    busy += effect(image) * 0.08;
                }
                const double noise = 0.9 + 0.2 * random.unit();
                model.learn("web", &trends[step], 4.5 * std::max(0.05, 1 - busy) * noise, load, now);
            }
            if (round >= 20) {
                const double own = 4.5 * (1 - ownLoad(step, seconds + 0.6));
                worstError = std::max(worstError, std::abs(trends[step].headroomAt(now + Milliseconds(600)) - own));
            }
        }
    }
    for (int image = 0; image < 10; ++image) {
        const double taken = model.takenHeadroom("web", "filler-" + std::to_string(image), 0.1).expected;
        CHECK(taken == Approx(4.5 * effect(image) * 0.1).margin(0.15));
    }
    CHECK(worstError < 0.5); // The headroom itself varies by 1.9.
}

TEST_CASE("serving tasks at the peak of their load: fillers of an unknown image start one by one, known ones together")
{
    // Three serving tasks with headroom 1.7 on a worker of 16 cores; "light" is known to take little.
    InterferenceModel model;
    ServingTrend trend;
    for (int i = 0; i < 100; ++i) {
        model.learn("web", &trend, 1.7 - (i % 2 == 0 ? 0.06 : 0),
                    i % 2 == 0 ? FillerLoad{{"light", 0.1}} : FillerLoad{}, gaugeTime(i));
    }
    const auto leastLeft = [&model](const FillerLoad &load) {
        return 1.7 - model.takenHeadroom("web", load).worstCase();
    };
    CHECK(leastLeft({{"unknown", 0.08}}) > 1.15);
    CHECK(leastLeft({{"unknown", 0.16}}) < 1.15);
    CHECK(leastLeft({{"unknown", 0.08}, {"other", 0.08}}) < 1.15);
    CHECK(leastLeft({{"light", 0.4}}) > 1.15);
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
