// Forecasts of ends and of room, and what may start beside a reservation.
#include "fescueledge/reserve/endforecast.h"
#include "fescueledge/reserve/roomforecast.h"

#include <catch2/catch.hpp>

using namespace fescueledge;
using namespace fescueledge::reserve;

namespace {

const TimePoint now{std::chrono::seconds(100)};

Resources cores(std::int64_t n)
{
    return Resources{n * 1000, 0, 0};
}

} // namespace

// Load: estimates that are off by the same factor for all tasks of a kind, from 0.2 to 0.9. Guards against reservations
// that stay idle, or are passed over, because callers estimate badly.
TEST_CASE("the forecast follows the observed ends of a kind")
{
    EndForecast forecast;
    const Milliseconds estimate{1000};
    CHECK(forecast.expected("render", estimate) == Duration(estimate));
    for (int i = 0; i < 20; ++i) {
        forecast.record("render", estimate, Milliseconds(300));
        forecast.record("setup", estimate, Milliseconds(2000));
    }
    CHECK(forecast.expected("render", estimate) == Duration(Milliseconds(300)));
    CHECK(forecast.expected("render", 2 * estimate) == Duration(Milliseconds(600)));
    CHECK(forecast.expected("setup", estimate) == Duration(Milliseconds(2000)));
    CHECK(forecast.expected("other", estimate) == Duration(estimate));
}

TEST_CASE("one task that fails at once or hangs does not spoil the forecast")
{
    EndForecast forecast;
    forecast.record("render", Milliseconds(1000), Milliseconds(0));
    CHECK(forecast.expected("render", Milliseconds(1000)) >= Duration(Milliseconds(100)));
    forecast.record("setup", Milliseconds(1000), std::chrono::hours(1));
    CHECK(forecast.expected("setup", Milliseconds(1000)) <= Duration(std::chrono::seconds(10)));
    forecast.record("none", Milliseconds(0), Milliseconds(100));
    CHECK(forecast.expected("none", Milliseconds(0)) == Duration::zero());
}

// Load: steps of one queue whose estimates are off by different factors. Guards against forecasts that mix them up.
TEST_CASE("the ends of tasks of the same step go before those of its kind")
{
    for (const double factor : {0.2, 0.9, 1 / 0.9, 1 / 0.2}) {
        EndForecast forecast;
        EndFactor ofStep;
        const Milliseconds estimate{1000};
        const Duration took = std::chrono::duration_cast<Duration>(Duration(estimate) * factor);
        for (int i = 0; i < 3; ++i) {
            forecast.record("render", estimate, Milliseconds(1000));
            ofStep.record(estimate, took);
        }
        CAPTURE(factor);
        CHECK(forecast.expected("render", estimate) == Duration(estimate));
        const double error =
            std::chrono::duration<double>(forecast.expected("render", estimate, ofStep) - took).count();
        CHECK(error == Approx(0).margin(1e-6));
    }
}

TEST_CASE("the reported progress of a task goes before its estimate")
{
    const EndForecast forecast;
    const Milliseconds estimate{1000};
    CHECK(forecast.remaining("render", estimate, Milliseconds(400), 0) == Duration(Milliseconds(600)));
    CHECK(forecast.remaining("render", estimate, Milliseconds(400), 20) == Duration(Milliseconds(1600)));
    CHECK(forecast.remaining("render", estimate, Milliseconds(400), 80) == Duration(Milliseconds(100)));
    // A worker may report 100 from the beginning: "at once" would be wrong until the task ends.
    CHECK(forecast.remaining("render", estimate, Milliseconds(400), 100) == Duration(Milliseconds(600)));
    // Overdue: "at once" would be wrong at each look, and the room would stay reserved for a task that hangs.
    CHECK(forecast.remaining("render", estimate, Milliseconds(5000), 0) == Duration(Milliseconds(1250)));
}

TEST_CASE("room is free when enough tasks have ended")
{
    const std::vector<ExpectedEnd> ends{{cores(2), now + Milliseconds(900)}, {cores(1), now + Milliseconds(300)}};
    CHECK(roomFreeAt(cores(1), cores(1), ends, now) == now);
    CHECK(roomFreeAt(cores(1), cores(2), ends, now) == now + Milliseconds(300));
    CHECK(roomFreeAt(cores(1), cores(4), ends, now) == now + Milliseconds(900));
    CHECK_FALSE(roomFreeAt(cores(1), cores(5), ends, now).has_value());
    CHECK(roomFreeAt(cores(0), cores(2), {{cores(2), now - Milliseconds(50)}}, now) == now); // Overdue.
}

// Load: small tasks that take each piece of room as it comes free. Guards against large ones that wait for good, and
// against room that stays idle until they start.
TEST_CASE("a small task starts beside a reservation only if it is gone by then or leaves the room")
{
    const Reservation full{cores(4), now + Milliseconds(1000), cores(4)};
    CHECK(mayBackfill(full, cores(2), now + Milliseconds(1000)));
    CHECK_FALSE(mayBackfill(full, cores(2), now + Milliseconds(1001)));
    const Reservation roomy{cores(4), now + Milliseconds(1000), cores(6)};
    CHECK(mayBackfill(roomy, cores(2), now + std::chrono::seconds(60)));
    CHECK_FALSE(mayBackfill(roomy, cores(3), now + std::chrono::seconds(60)));
    CHECK(fitsBeside(roomy, cores(2)));
    CHECK_FALSE(fitsBeside(roomy, cores(3)));
}
