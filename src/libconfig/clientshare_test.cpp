// What the clients of a process may use of its memory and descriptors.
#include "fescueledge/clientshare.h"

#include "fescueledge/daemonsettings.h"

#include <catch2/catch.hpp>

using namespace fescueledge;

namespace {

constexpr std::size_t mb = 1048576;

} // namespace

// Guards against limits that fit each alone and not together: on the smallest node, clients could use 64 KB in the
// kernel for each of 1,250 connections, beside 36 MB in the process.
TEST_CASE("clients can use at most three eighths of the memory and half of the descriptors of any node")
{
    WorkflowSettings settings;
    settings.memoryMb = GENERATE(64, 160, 260, 512, 4096, 16777216);
    settings.descriptors = GENERATE(256, 1024, 4100, 8192, 1000000);
    const ClientShare share = clientShare(settings);
    CAPTURE(settings.memoryMb, settings.descriptors, share.connections);
    CHECK(share.worstMemory() <= settings.memoryMb * mb * 3 / 8);
    CHECK(share.worstDescriptors() <= settings.descriptors / 2);
    CHECK(share.connections >= 90);
    CHECK(share.otherConnections >= 16);
}

TEST_CASE("the share grows with the node")
{
    WorkflowSettings settings;
    const ClientShare smallest = clientShare(settings);
    CHECK(smallest.inputMemory == 20 * mb);
    CHECK(smallest.connections == 389);
    settings.memoryMb = 512;
    CHECK(clientShare(settings).inputMemory == 64 * mb);
    CHECK(clientShare(settings).connections > 2 * smallest.connections);
}

TEST_CASE("what operators set goes before what follows from the node")
{
    WorkflowSettings settings;
    settings.inputMemory = 8 * mb;
    settings.maxConnections = 500;
    const ClientShare share = clientShare(settings);
    CHECK(share.inputMemory == 8 * mb);
    CHECK(share.connections == 500);
    CHECK(share.otherConnections == 62);
}
