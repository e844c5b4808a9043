// Which requests give way when the memory for unfinished requests is used up.
#include "fescueledge/inputbudget.h"

#include <catch2/catch.hpp>
#include <vector>

using namespace fescueledge;

namespace {

constexpr std::size_t large = 250'000;
constexpr std::size_t budgetBytes = 1'000'000;
const TimePoint begin{std::chrono::seconds(100)};

} // namespace

// Load: many large bodies that stop just short of their end. Guards against memory that grows with each of them.
TEST_CASE("of many stuck messages those that hold most for longest are evicted")
{
    InputBudget budget(budgetBytes);
    std::vector<int> evicted;
    for (int i = 0; i < 100; ++i) {
        const TimePoint now = begin + Milliseconds(i);
        const InputBudget::MessageId id = budget.add(now, [&evicted, i] {
            evicted.push_back(i);
        });
        CHECK(budget.hold(id, large, now));
        CHECK(budget.held() <= budgetBytes);
    }
    REQUIRE(evicted.size() == 96);
    CHECK(evicted.front() == 0);
    CHECK(evicted.back() == 95);
}

// Guards against an ordinary caller being closed for the sake of a crowd.
TEST_CASE("a small message is neither evicted nor refused")
{
    InputBudget budget(budgetBytes);
    bool isEvicted = false;
    const InputBudget::MessageId small = budget.add(begin, [&isEvicted] {
        isEvicted = true;
    });
    CHECK(budget.hold(small, InputBudget::smallMessage, begin));
    for (int i = 0; i < 20; ++i) {
        const InputBudget::MessageId id = budget.add(begin, [] {});
        CHECK(budget.hold(id, large, begin + std::chrono::seconds(i)));
    }
    CHECK_FALSE(isEvicted);
    CHECK(budget.hold(budget.add(begin, [] {}), InputBudget::smallMessage, begin));
}

TEST_CASE("a large message is refused only if all others are being handled")
{
    InputBudget budget(budgetBytes);
    std::vector<InputBudget::MessageId> handled;
    for (int i = 0; i < 4; ++i) {
        handled.push_back(budget.add(begin, [] {}));
        CHECK(budget.hold(handled.back(), large, begin));
        budget.pin(handled.back());
    }
    const InputBudget::MessageId late = budget.add(begin, [] {});
    CHECK_FALSE(budget.hold(late, large, begin + Milliseconds(1)));
    budget.remove(handled.front());
    CHECK(budget.hold(late, large, begin + Milliseconds(2)));
}

// Guards against memory that stays with the allocator after a crowd has gone, and against a release for each request.
TEST_CASE("the end of a crowd's requests is noted once, that of ordinary ones is not")
{
    InputBudget budget(budgetBytes);
    int relieved = 0;
    budget.setReliefHandler([&relieved] {
        ++relieved;
    });
    for (const std::size_t bytes : {large, 2 * large, large / 2, large, 2 * large}) {
        const InputBudget::MessageId first = budget.add(begin, [] {});
        const InputBudget::MessageId second = budget.add(begin, [] {});
        CHECK(budget.hold(first, bytes / 2, begin));
        CHECK(budget.hold(second, bytes / 2, begin));
        budget.remove(first);
        budget.remove(second);
    }
    CHECK(relieved == 2);
}
