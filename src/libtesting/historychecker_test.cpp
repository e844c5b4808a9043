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

TEST_CASE("histories that some order explains are linearizable")
{
    CHECK_FALSE(checkLinearizable({}).has_value());
    CHECK_FALSE(checkLinearizable({change(0, 1, 0, "a"), readOf(2, 3, 1, "a"), change(4, 5, 1, "b")}).has_value());
    // Two changes race: one wins, and a read beside both may see either.
    CHECK_FALSE(checkLinearizable({change(0, 10, 0, "a"), change(0, 10, 0, "b", Outcome::Refused), readOf(1, 9, 0, ""),
                                   readOf(1, 9, 1, "a")})
                    .has_value());
    // A change without an answer may take effect late, or never.
    const RegisterOperation lost = change(0, 0, 0, "a", Outcome::Unknown);
    CHECK_FALSE(checkLinearizable({lost, readOf(1, 2, 0, ""), readOf(8, 9, 1, "a")}).has_value());
    CHECK_FALSE(checkLinearizable({lost, change(1, 2, 0, "b"), readOf(3, 4, 1, "b")}).has_value());
}

TEST_CASE("histories that no order explains are rejected")
{
    // A read after an accepted change sees the state before it.
    CHECK(checkLinearizable({change(0, 1, 0, "a"), readOf(2, 3, 0, "")}).has_value());
    // Two changes against one version are both accepted.
    CHECK(checkLinearizable({change(0, 5, 0, "a"), change(0, 5, 0, "b")}).has_value());
    // A value that nobody wrote.
    CHECK(checkLinearizable({change(0, 1, 0, "a"), readOf(2, 3, 1, "b")}).has_value());
    // An accepted change goes back.
    CHECK(checkLinearizable({change(0, 1, 0, "a"), change(2, 3, 1, "b"), readOf(4, 5, 2, "b"), readOf(6, 7, 1, "a")})
              .has_value());
    // A change was refused although nothing stood against it.
    CHECK(checkLinearizable({change(0, 1, 0, "a", Outcome::Refused)}).has_value());
    // A refused change took effect.
    CHECK(checkLinearizable({change(0, 1, 0, "a", Outcome::Refused), readOf(2, 3, 1, "a")}).has_value());
    // A change without an answer takes effect before it was made.
    CHECK(checkLinearizable({readOf(0, 1, 1, "a"), change(2, 3, 0, "a", Outcome::Unknown)}).has_value());
    // A change without an answer takes effect twice.
    CHECK(checkLinearizable({change(0, 0, 0, "a", Outcome::Unknown), readOf(1, 2, 1, "a"), readOf(3, 4, 0, "")})
              .has_value());
}

TEST_CASE("orders that ran once at most and were answered so pass")
{
    CHECK_FALSE(
        checkAtMostOnce({ran("a"), answered("a", RunOutcome::Ran), answered("b", RunOutcome::NotRun)}).has_value());
    CHECK_FALSE(checkAtMostOnce({ran("a"), answered("a", RunOutcome::Unknown), answered("b", RunOutcome::Unknown)})
                    .has_value());
}

TEST_CASE("orders that ran twice or were answered wrongly are rejected")
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
    // A task whose submission was not answered may run or not.
    CHECK_FALSE(checkExactlyOnce({{Event::Started, "t", 1}, {Event::Finished, "t", 1}}).has_value());
}

TEST_CASE("tasks that were lost, finished twice or ran in two places are rejected")
{
    using Event = FinishEvent::Kind;
    const FinishEvent accepted{Event::Accepted, "t", 0};
    CHECK(checkExactlyOnce({accepted}).has_value());
    CHECK(checkExactlyOnce({accepted, {Event::Started, "t", 1}, {Event::Stopped, "t", 1}}).has_value());
    CHECK(checkExactlyOnce({accepted, {Event::Finished, "t", 1}, {Event::Finished, "t", 1}}).has_value());
    CHECK(checkExactlyOnce({accepted, {Event::Finished, "t", 1}, {Event::Finished, "t", 2}}).has_value());
    CHECK(checkExactlyOnce({accepted, {Event::Started, "t", 1}, {Event::Started, "t", 2}}).has_value());
}
