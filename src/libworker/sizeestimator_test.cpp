#include "sizeestimator_pvt.h"

#include <catch2/catch.hpp>

using namespace fescueledge;

namespace {

const Resources declared{2000, 1024, 0};
const Resources maxResources{16000, 61440, 2};

} // namespace

TEST_CASE("Attempts that run at their limit without failing do not raise the allocation")
{
    SizeEstimator sizes;
    for (int i = 0; i < 100; ++i) {
        const Resources allocation = sizes.allocationFor("plan", declared, maxResources);
        sizes.observe("plan", allocation);
    }
    CHECK(sizes.allocationFor("plan", declared, maxResources) == declared);
}

TEST_CASE("Attempts that fail at their limit raise the allocation, up to a bound")
{
    SizeEstimator sizes;
    for (int i = 0; i < 100; ++i) {
        const Resources allocation = sizes.allocationFor("plan", declared, maxResources);
        sizes.observeFailure("plan", allocation, allocation);
    }
    CHECK(sizes.allocationFor("plan", declared, maxResources).memoryMb == 8 * declared.memoryMb);
}

TEST_CASE("An attempt that fails well below its limit does not change the allocation")
{
    SizeEstimator sizes;
    sizes.observeFailure("plan", Resources{100, 10, 0}, declared);
    CHECK(sizes.allocationFor("plan", declared, maxResources) == declared);
}
