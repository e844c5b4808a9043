// Rows that can't be read, as another version or a fault may leave them.
#include "readyworld_pvt.h"
#include "rows_pvt.h"
#include "workflowworld_pvt.h"

#include <catch2/catch.hpp>

using namespace fescueledge;
using namespace fescueledge::workflow;

namespace {

const JobId job = "a000000000000001";

void putRow(WorkflowWorld *world, const std::string &key, const std::string &value)
{
    Transaction transaction;
    transaction.puts.push_back({key, value});
    REQUIRE(world->rows.commit(transaction).status == CommitStatus::Committed);
}

} // namespace

// Guards against a row that ends every process that reads it.
TEST_CASE("a coordinator's row that can't be read is replaced in a later term")
{
    constexpr int nodes = 3;
    for (const char *value : {"", "{", "[]", R"({"term": "x"})", R"({"term": 5, "node": 1})"}) {
        const std::unique_ptr<WorkflowWorld> world = readyWorld(nodes, 2);
        const int old = world->coordinator();
        const int other = otherThan(old, nodes);
        putRow(world.get(), rows::coordinator(), value);
        world->kill(old);
        world->submit(other, job, workflowOf({simpleStep(4)}));
        CHECK(reachesState(*world, other, job, "complete", std::chrono::seconds(10)));
        std::size_t unreadable = 0;
        for (int i = 0; i < nodes; ++i) {
            unreadable += world->log(i).count("coordinator_row_unreadable");
        }
        CHECK(unreadable >= 1);
        CHECK(world->workers.tasksRunTwice().empty());
    }
}

TEST_CASE("the row of a node that can't be read leaves the other nodes as they are")
{
    const std::unique_ptr<WorkflowWorld> world = readyWorld(2, 2);
    for (const char *value : {"", "{", "7", R"({"address": 4})", R"({"address": "a", "cores": "many"})"}) {
        putRow(world.get(), rows::node("stranger"), value);
    }
    world->run(std::chrono::seconds(6)); // Longer than a watch of the nodes.
    world->submit(0, job, workflowOf({simpleStep(4)}));
    CHECK(reachesState(*world, 1, job, "complete", std::chrono::seconds(5)));
    CHECK(world->log(0).count("node_row_unreadable") >= 1);
}
