#include "fescueledge/vmpoller.h"

#include "fescueledge/testing/fakevmlist.h"
#include "fescueledge/testing/simloop.h"
#include "fescueledge/testing/simworld.h"

#include <catch2/catch.hpp>

using namespace fescueledge;

namespace {

VmEntry namedEntry(const std::string &name)
{
    VmEntry entry;
    entry.name = name;
    return entry;
}

} // namespace

TEST_CASE("a VM counts as vanished only after it was listed, and until it is listed again")
{
    SimWorld world;
    SimLoop loop(&world);
    std::vector<VmEntry> entries{namedEntry("b"), namedEntry("a")};
    FakeVmList list(&loop, &entries);
    VmPoller poller(&loop, &list);

    poller.start();
    world.runFor(std::chrono::milliseconds(10));
    REQUIRE(poller.entries().size() == 2);
    CHECK(poller.entries().front().name == "a");
    CHECK(poller.find("b") != nullptr);
    CHECK_FALSE(poller.missingSince("never").has_value());

    entries = {namedEntry("a")};
    world.runFor(std::chrono::seconds(2));
    CHECK(poller.find("b") == nullptr);
    CHECK(poller.missingSince("b").has_value());
    CHECK_FALSE(poller.missingSince("a").has_value());

    list.down = true;
    entries.clear();
    world.runFor(std::chrono::seconds(5));
    CHECK(poller.find("a") != nullptr);

    list.down = false;
    entries = {namedEntry("b")};
    world.runFor(std::chrono::seconds(2));
    CHECK_FALSE(poller.missingSince("b").has_value());
    CHECK(poller.missingSince("a").has_value());
}
