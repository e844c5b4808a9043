// The store forgets its history, so the coordinator reads all jobs again while it removes ended ones.
#include "readyworld_pvt.h"
#include "workflowworld_pvt.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace fescueledge;
using namespace fescueledge::workflow;

// Guards against a removed job that begins anew because a read from before its removal is answered after it.
TEST_CASE("a job that is removed while all jobs are read again does not come back")
{
    std::size_t lateReads = 0;
    for (const Milliseconds offset : {Milliseconds(0), Milliseconds(700), Milliseconds(1400), Milliseconds(2100)}) {
        WorkflowWorld world(1);
        world.settings.statusRetention = Milliseconds(5000);
        world.settings.watchTimeout = Milliseconds(100);
        world.kill(0);
        world.startNode(0);
        Resources capacity;
        capacity.milliCores = 8000;
        capacity.memoryMb = 100000;
        world.workers.add("w0", "dc-a", "r0", capacity);
        world.run(Milliseconds(1500) + offset);
        world.storeFaults(0).scanRounds = 200;
        for (int i = 0; i < 40; ++i) {
            world.submit(0, "00000000000000" + std::to_string(10 + i), workflowOf({simpleStep(1)}));
            world.run(Milliseconds(100));
        }
        for (int i = 0; i < 200; ++i) {
            Transaction other; // A change that the watch has not seen yet.
            other.puts = {{"node/other", std::to_string(i)}};
            world.rows.commit(other);
            world.rows.forgetHistory();
            world.run(Milliseconds(100));
        }
        CHECK(world.workers.runs().size() == 40);
        CHECK(world.workers.tasksRunTwice().empty());
        lateReads += world.log(0).count("job_row_old");
    }
    CHECK(lateReads > 0); // Otherwise nothing was tested.
}
