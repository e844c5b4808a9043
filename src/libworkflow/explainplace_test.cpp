// Questions where a job would go: the answer matches what a submission then does, on every node, and changes nothing.
#include "readyworld_pvt.h"
#include "workflowworld_pvt.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace fescueledge;
using namespace fescueledge::workflow;
using nlohmann::json;

namespace {

json explained(WorkflowWorld *world, int node, const WorkflowSpec &spec)
{
    const CallerAnswer answer = world->explainPlace(node, spec);
    REQUIRE(answer.outcome == CallerOutcome::Ok);
    return json::parse(answer.explanation);
}

} // namespace

// Guards against an explanation that names another worker than the dispatch would choose.
TEST_CASE("a job starts where the explanation says, whichever node is asked")
{
    const std::unique_ptr<WorkflowWorld> world = readyWorld(2, 3);
    world->workers.workOf = [](const TaskKey &) {
        return std::make_pair(Milliseconds(5000), false);
    };
    world->submit(0, jobA, workflowOf({simpleStep(5)}));
    world->run(Milliseconds(300));
    const std::size_t runs = world->workers.runs().size();
    const int coordinator = world->coordinator();
    const json here = explained(world.get(), coordinator, workflowOf({simpleStep(1)}));
    const json there = explained(world.get(), otherThan(coordinator, 2), workflowOf({simpleStep(1)}));
    world->run(Milliseconds(300));
    CHECK(world->workers.runs().size() == runs); // Nothing was sent.
    const json &step = here.at("steps").at(0);
    CHECK(step.at("outcome") == "fits");
    CHECK(step.at("expected_start_ms") == 0);
    CHECK(step.at("workers") == json{{"fits", 3}});
    CHECK(there.at("steps").at(0).at("candidates") == step.at("candidates"));
    world->submit(0, jobB, workflowOf({simpleStep(1)}));
    world->run(Milliseconds(300));
    REQUIRE(world->workers.runsOf(jobB).size() == 1);
    CHECK(step.at("candidates").at(0).at("worker") == world->workers.runsOf(jobB).front().worker);
}

// Guards against an explanation that only says that there is no room.
TEST_CASE("the explanation of a full fleet tells when room is expected, step by step")
{
    const std::unique_ptr<WorkflowWorld> world = readyWorld(1, 2);
    world->workers.workOf = [](const TaskKey &) {
        return std::make_pair(Milliseconds(4000), false);
    };
    StepSpec full = simpleStep(8);
    full.estimate = Milliseconds(4000);
    world->submit(0, jobA, workflowOf({full}));
    world->run(Milliseconds(500));
    StepSpec second = simpleStep(1);
    second.dependsOn = {0};
    StepSpec impossible = simpleStep(1);
    impossible.perTask.milliCores = 9000;
    const json answer = explained(world.get(), 0, workflowOf({simpleStep(1), second, impossible}));
    const json &steps = answer.at("steps");
    CHECK(steps.at(0).at("outcome") == "room");
    CHECK(steps.at(0).at("candidates").empty());
    const int start = steps.at(0).at("expected_start_ms").get<int>();
    CHECK(start > 2500);
    CHECK(start <= 4000);
    CHECK(steps.at(1).at("expected_start_ms").get<int>() >= start + 100);
    CHECK(steps.at(2).at("expected_start_ms").is_null());
}

// Guards against an account that is told of room which its limit keeps from it, and against keys in the answer.
TEST_CASE("the explanation tells an account's limit and use, and never its keys")
{
    const std::unique_ptr<WorkflowWorld> world = readyWorld(1, 2);
    Catalog catalog = world->catalog;
    ++catalog.version;
    account::AccountPolicy policy;
    policy.name = "acme";
    policy.keys = {"secret-key"};
    policy.limit.milliCores = 2000;
    catalog.accounts["acme"] = policy;
    catalog.asksForKeys = true;
    world->setCatalog(catalog);
    world->workers.workOf = [](const TaskKey &) {
        return std::make_pair(Milliseconds(3000), false);
    };
    world->account = "acme";
    world->submit(0, jobA, workflowOf({simpleStep(2)}));
    world->run(Milliseconds(300));
    const CallerAnswer answer = world->explainPlace(0, workflowOf({simpleStep(1)}));
    CHECK(answer.explanation.find("secret-key") == std::string::npos);
    const json body = json::parse(answer.explanation);
    CHECK(body.at("account").at("name") == "acme");
    CHECK(body.at("account").at("limit").get<Resources>().milliCores == 2000);
    CHECK(body.at("account").at("used").get<Resources>().milliCores == 2000);
    CHECK(body.at("steps").at(0).at("outcome") == "account_limit");
    CHECK(body.at("steps").at(0).at("workers") == json{{"fits", 2}});
}

TEST_CASE("a question with an invalid job, or without a coordinator, is refused")
{
    const std::unique_ptr<WorkflowWorld> world = readyWorld(2, 1);
    StepSpec invalid = simpleStep(1);
    invalid.dependsOn = {0};
    CHECK(world->explainPlace(0, workflowOf({invalid})).outcome == CallerOutcome::Invalid);
    const int coordinator = world->coordinator();
    world->kill(coordinator);
    CHECK(world->explainPlace(otherThan(coordinator, 2), workflowOf({simpleStep(1)})).outcome
          == CallerOutcome::Unavailable);
}
