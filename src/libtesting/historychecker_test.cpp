#include "fescueledge/testing/historychecker.h"

#include <catch2/catch.hpp>

using namespace fescueledge;

namespace {

using Kind = RegisterOperation::Kind;
using Outcome = RegisterOperation::Outcome;

TimePoint at(int seconds)
{
    return TimePoint(std::chrono::seconds(seconds));
}

RegisterOperation change(int from, int to, std::uint64_t against, const std::string &value,
                         Outcome outcome = Outcome::Done)
{
    return RegisterOperation{Kind::Change, outcome, at(from), at(to), against, value};
}

RegisterOperation readOf(int from, int to, std::uint64_t version, const std::string &value)
{
    return RegisterOperation{Kind::Read, Outcome::Done, at(from), at(to), version, value};
}

OrderEvent ran(const std::string &key)
{
    return OrderEvent{OrderEvent::Kind::Ran, key, RunOutcome::NotRun};
}

OrderEvent answered(const std::string &key, RunOutcome outcome)
{
    return OrderEvent{OrderEvent::Kind::Answered, key, outcome};
}

} // namespace

TEST_CASE("histories with a valid order of their operations are linearizable")
{
    CHECK_FALSE(checkLinearizable({}).has_value());
    CHECK_FALSE(checkLinearizable({change(0, 1, 0, "a"), readOf(2, 3, 1, "a"), change(4, 5, 1, "b")}).has_value());
    // Two concurrent changes: one succeeds, and a read concurrent with both may see either state.
    CHECK_FALSE(checkLinearizable({change(0, 10, 0, "a"), change(0, 10, 0, "b", Outcome::Refused), readOf(1, 9, 0, ""),
                                   readOf(1, 9, 1, "a")})
                    .has_value());
    // A change with an unknown outcome may take effect late or never.
    const RegisterOperation lost = change(0, 0, 0, "a", Outcome::Unknown);
    CHECK_FALSE(checkLinearizable({lost, readOf(1, 2, 0, ""), readOf(8, 9, 1, "a")}).has_value());
    CHECK_FALSE(checkLinearizable({lost, change(1, 2, 0, "b"), readOf(3, 4, 1, "b")}).has_value());
}

TEST_CASE("histories without a valid order of their operations are rejected")
{
    // A read after an accepted change returns the state before it.
    CHECK(checkLinearizable({change(0, 1, 0, "a"), readOf(2, 3, 0, "")}).has_value());
    // Two changes against the same version are both accepted.
    CHECK(checkLinearizable({change(0, 5, 0, "a"), change(0, 5, 0, "b")}).has_value());
    // A read returns a value that was never written.
    CHECK(checkLinearizable({change(0, 1, 0, "a"), readOf(2, 3, 1, "b")}).has_value());
    // An accepted change is reverted.
    CHECK(checkLinearizable({change(0, 1, 0, "a"), change(2, 3, 1, "b"), readOf(4, 5, 2, "b"), readOf(6, 7, 1, "a")})
              .has_value());
    // A change was refused although its version was current.
    CHECK(checkLinearizable({change(0, 1, 0, "a", Outcome::Refused)}).has_value());
    // A refused change took effect.
    CHECK(checkLinearizable({change(0, 1, 0, "a", Outcome::Refused), readOf(2, 3, 1, "a")}).has_value());
    // A change with an unknown outcome takes effect before it was invoked.
    CHECK(checkLinearizable({readOf(0, 1, 1, "a"), change(2, 3, 0, "a", Outcome::Unknown)}).has_value());
    // A change with an unknown outcome takes effect and is then reverted.
    CHECK(checkLinearizable({change(0, 0, 0, "a", Outcome::Unknown), readOf(1, 2, 1, "a"), readOf(3, 4, 0, "")})
              .has_value());
}

TEST_CASE("orders that ran at most once and were reported correctly pass")
{
    CHECK_FALSE(
        checkAtMostOnce({ran("a"), answered("a", RunOutcome::Ran), answered("b", RunOutcome::NotRun)}).has_value());
    CHECK_FALSE(checkAtMostOnce({ran("a"), answered("a", RunOutcome::Unknown), answered("b", RunOutcome::Unknown)})
                    .has_value());
}

TEST_CASE("orders that ran twice or were reported incorrectly are rejected")
{
    CHECK(checkAtMostOnce({ran("a"), ran("b"), ran("a")}).has_value());
    CHECK(checkAtMostOnce({ran("a"), answered("a", RunOutcome::NotRun)}).has_value());
    CHECK(checkAtMostOnce({answered("a", RunOutcome::NotRun), ran("a")}).has_value());
    CHECK(checkAtMostOnce({answered("a", RunOutcome::Ran)}).has_value());
}

TEST_CASE("tasks that finished exactly once pass")
{
    using Event = FinishEvent::Kind;
    CHECK_FALSE(checkExactlyOnce({{Event::Accepted, "t", 0},
                                  {Event::Started, "t", 1},
                                  {Event::Stopped, "t", 1},
                                  {Event::Started, "t", 2},
                                  {Event::Finished, "t", 2}})
                    .has_value());
    // A task whose submission got no response may run or not.
    CHECK_FALSE(checkExactlyOnce({{Event::Started, "t", 1}, {Event::Finished, "t", 1}}).has_value());
}

TEST_CASE("tasks that were lost, finished twice or ran two attempts at once are rejected")
{
    using Event = FinishEvent::Kind;
    const FinishEvent accepted{Event::Accepted, "t", 0};
    CHECK(checkExactlyOnce({accepted}).has_value());
    CHECK(checkExactlyOnce({accepted, {Event::Started, "t", 1}, {Event::Stopped, "t", 1}}).has_value());
    CHECK(checkExactlyOnce({accepted, {Event::Finished, "t", 1}, {Event::Finished, "t", 1}}).has_value());
    CHECK(checkExactlyOnce({accepted, {Event::Finished, "t", 1}, {Event::Finished, "t", 2}}).has_value());
    CHECK(checkExactlyOnce({accepted, {Event::Started, "t", 1}, {Event::Started, "t", 2}}).has_value());
}
