#include "fescueledge/dispatchmessages.h"
#include "fescueledge/workermessages.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace fescueledge;

TEST_CASE("a worker request is unchanged by encoding to CBOR and back")
{
    WorkerRequest request;
    request.owner = "entry-1";
    request.epoch = 7;
    request.lease = Milliseconds(30000);
    request.startBefore = Milliseconds(123);
    TaskCommand command;
    command.kind = TaskCommand::Kind::Checkpoint;
    command.task = "job/3";
    command.attempt = 2;
    request.commands.push_back(command);

    const nlohmann::json json = nlohmann::json::from_cbor(nlohmann::json::to_cbor(nlohmann::json(request)));
    const WorkerRequest copy = json.get<WorkerRequest>();

    CHECK(copy.epoch == 7);
    CHECK(copy.lease == Milliseconds(30000));
    REQUIRE(copy.commands.size() == 1);
    CHECK(copy.commands[0].kind == TaskCommand::Kind::Checkpoint);
    CHECK(copy.commands[0].attempt == 2);
}

TEST_CASE("an outcome report keeps workerLost when encoded and decoded")
{
    OutcomeReport report;
    OutcomeReport::Item item;
    item.report.task = "job/1";
    item.report.state = TaskReport::State::Stopped;
    item.workerLost = true;
    report.items.push_back(item);

    const OutcomeReport copy = nlohmann::json(report).get<OutcomeReport>();

    REQUIRE(copy.items.size() == 1);
    CHECK(copy.items[0].workerLost);
    CHECK(copy.items[0].report.isTerminal());
}
