#include "activitymeter_pvt.h"

#include <catch2/catch.hpp>

using namespace fescueledge;
using namespace fescueledge::workflow;

// Guards against a load report that blames the wrong activity: an inner one counted for the outer one as well.
TEST_CASE("the time of a nested activity counts for that alone")
{
    TimePoint now{};
    ActivityMeter meter([&now] {
        return now;
    });
    const auto usageOf = [](const ActivityMeter::Usages &usages, Activity activity) {
        return usages.at(static_cast<std::size_t>(activity));
    };
    now += Milliseconds(100); // Idle time counts for none.
    {
        const ActivityMeter::Scope dispatch(&meter, Activity::Dispatch);
        now += Milliseconds(3);
        for (int i = 0; i < 2; ++i) {
            const ActivityMeter::Scope start(&meter, Activity::Starts);
            now += Milliseconds(5);
        }
        now += Milliseconds(1);
    }
    now += Milliseconds(100);
    const ActivityMeter::Usages usages = meter.take();
    CHECK(usageOf(usages, Activity::Dispatch).time == Milliseconds(4));
    CHECK(usageOf(usages, Activity::Dispatch).calls == 1);
    CHECK(usageOf(usages, Activity::Starts).time == Milliseconds(10));
    CHECK(usageOf(usages, Activity::Starts).calls == 2);
    CHECK(usageOf(usages, Activity::Tick).calls == 0);
    CHECK(usageOf(meter.take(), Activity::Dispatch).calls == 0);
}

// A report within a long activity must not lose the time before it or count it twice.
TEST_CASE("an activity that lasts beyond a report is divided between reports")
{
    TimePoint now{};
    ActivityMeter meter([&now] {
        return now;
    });
    const ActivityMeter::Scope tick(&meter, Activity::Tick);
    now += Milliseconds(7);
    const std::size_t index = static_cast<std::size_t>(Activity::Tick);
    CHECK(meter.take().at(index).time == Milliseconds(7));
    now += Milliseconds(2);
    CHECK(meter.take().at(index).time == Milliseconds(2));
}
