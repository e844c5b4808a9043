#include "fescueledge/tableparser.h"

#include "fescueledge/digest.h"
#include "fescueledge/settingserror.h"
#include "fescueledge/settingsschema.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace fescueledge;

namespace {

const std::string validRoutes = "[route order]\n" // 1
                                "path = /order\n"
                                "methods = POST\n"
                                "pool = grind\n"
                                "deadline = 800ms\n" // 5
                                "[route preview]\n"
                                "host = shop.example.com\n"
                                "path = /preview\n"
                                "pool = grind\n"
                                "idempotent = yes\n" // 10
                                "max-attempts = 3\n";

const std::string validPools = "[pool grind]\n" // 1
                               "workers = arusha-1-*, spare-7\n"
                               "reserve-cores = 1.5\n"
                               "reserve-memory = 2GB\n"
                               "retry-budget = 20%\n" // 5
                               "[pool parts]\n"
                               "workers = graz-*\n"
                               "[team polish]\n"
                               "cores = 200\n"
                               "weight = 2.5\n"; // 10

std::string replaced(std::string text, const std::string &from, const std::string &to)
{
    return text.replace(text.find(from), from.size(), to);
}

Findings findingsOf(const std::string &routes, const std::string &pools)
{
    try {
        parseTables(routes, pools);
    } catch (const SettingsError &error) {
        return error.findings();
    }
    return {};
}

/// A change to one table that must produce one finding.
struct BadTable
{
    bool inRoutes;
    std::string from;
    std::string to;
    int line;
    std::string section;
    std::string key;
    std::string message; ///< Part of the message.
};

void checkRefused(const BadTable &input)
{
    Findings findings = input.inRoutes ? findingsOf(replaced(validRoutes, input.from, input.to), validPools)
                                       : findingsOf(validRoutes, replaced(validPools, input.from, input.to));
    INFO(input.message);
    REQUIRE(findings.size() == 1);
    CHECK(findings[0].file == (input.inRoutes ? "routes.ini" : "pools.ini"));
    CHECK(findings[0].line == input.line);
    CHECK(findings[0].section == input.section);
    CHECK(findings[0].key == input.key);
    CHECK_FALSE(findings[0].remedy.empty());
    CHECK_THAT(findings[0].message(), Catch::Contains(input.message));
}

/// Returns @p text with random bytes replaced, removed, duplicated or inserted.
std::string mutated(std::string text)
{
    int edits = *rc::gen::inRange(1, 8);
    for (int i = 0; i < edits && !text.empty(); ++i) {
        std::size_t at = *rc::gen::inRange<std::size_t>(0, text.size());
        int kind = *rc::gen::inRange(0, 4);
        if (kind == 0) {
            text[at] = *rc::gen::arbitrary<char>();
        } else if (kind == 1) {
            text.erase(at, *rc::gen::inRange<std::size_t>(1, 20));
        } else if (kind == 2) {
            text.insert(at, text.substr(at / 2, *rc::gen::inRange<std::size_t>(1, 40)));
        } else {
            text.insert(at, *rc::gen::elementOf(std::vector<std::string>{"[", "]", "=", "\n", ";", "*", ",", "%"}));
        }
    }
    return text;
}

} // namespace

TEST_CASE("valid tables are parsed, keep their text byte for byte and order routes by match precedence")
{
    ControlState control = parseTables(validRoutes, validPools);
    CHECK(control.routesText == validRoutes);
    CHECK(control.poolsText == validPools);
    REQUIRE(control.routes.size() == 2);
    CHECK(control.routes[0].name == "preview");
    CHECK(control.routes[0].maxAttempts == 3);
    CHECK(control.routes[1].deadline == Milliseconds(800));
    CHECK(control.routes[1].methods == std::vector<std::string>{"POST"});
    const Pool *pool = control.findPool("grind");
    REQUIRE(pool != nullptr);
    CHECK(pool->workers == std::vector<std::string>{"arusha-1-*", "spare-7"});
    CHECK(pool->serviceReserve == Resources{1500, 2048, 0});
    CHECK(pool->retryBudget == Approx(0.2));
    CHECK(control.findTeam("polish")->limit.milliCores == 200000);
    CHECK(control.findTeam("polish")->weight == Approx(2.5));
}

TEST_CASE("the defaults of the schema equal those of the structs")
{
    ControlState control = parseTables("[route r]\npath = /\npool = p\n", "[pool p]\nworkers = *\n[team t]\n");
    Pool pool;
    CHECK(control.pools[0].slots == pool.slots);
    CHECK(control.pools[0].connections == pool.connections);
    CHECK(control.pools[0].queue == pool.queue);
    CHECK(control.pools[0].customerLimit == pool.customerLimit);
    CHECK(control.pools[0].retryBudget == Approx(pool.retryBudget));
    CHECK(control.pools[0].batchPercent == pool.batchPercent);
    CHECK(control.pools[0].targetP99 == pool.targetP99);
    CHECK(control.routes[0].deadline == Route().deadline);
    CHECK(control.routes[0].maxAttempts == Route().maxAttempts);
    CHECK(control.teams[0].weight == Approx(TeamQuota().weight));
}

TEST_CASE("each kind of invalid table produces its finding")
{
    const BadTable inputs[] = {
        {true, "[route order]", "[rout order]", 1, "rout order", "", "did you mean route?"},
        {true, "[route order]", "[route]", 1, "route", "", "needs a name"},
        {true, "[route order]", "[route Order]", 1, "route Order", "", "needs a name"},
        {true, "[route preview]", "[route order]", 6, "route order", "", "twice, first on line 1"},
        {true, "deadline", "dedline", 5, "route order", "dedline", "did you mean deadline?"},
        {true, "800ms", "800", 5, "route order", "deadline", "the unit is missing"},
        {true, "800ms", "800MB", 5, "route order", "deadline", "the unit MB is wrong"},
        {true, "800ms", "10min", 5, "route order", "deadline", "1ms to 300s"},
        {true, "methods = POST", "path = /o", 3, "route order", "path", "twice, first on line 2"},
        {true, "path = /order\n", "", 1, "route order", "path", "the key is missing"},
        {true, "/order", "order", 2, "route order", "path", "starts with /"},
        {true, "POST", "post", 3, "route order", "methods", "malformed"},
        {true, "POST", "GET, GET", 3, "route order", "methods", "stands twice"},
        {true, "pool = grind", "pool = grid", 4, "route order", "pool", "did you mean grind?"},
        {true, "idempotent = yes", "idempotent = no", 11, "route preview", "max-attempts", "not idempotent"},
        {true, "max-attempts = 3", "max-attempts = 11", 11, "route preview", "max-attempts", "1 to 10"},
        {true, "host = shop.example.com\npath = /preview", "path = /order\nmethods = GET, POST", 7, "route preview",
         "path", "the same requests as route order on line 1"},
        {false, "2GB", "2", 4, "pool grind", "reserve-memory", "the unit is missing"},
        {false, "1.5", "1.5555", 3, "pool grind", "reserve-cores", "three decimals"},
        {false, "1.5", "1.", 3, "pool grind", "reserve-cores", "three decimals"},
        {false, "1.5", "-1", 3, "pool grind", "reserve-cores", "three decimals"},
        {false, "20%", "120%", 5, "pool grind", "retry-budget", "0% to 100%"},
        {false, "20%", "0.2", 5, "pool grind", "retry-budget", "wrong"},
        {false, "reserve-cores = 1.5", "slots = 65", 1, "pool grind", "connections", "fewer connections than slots"},
        {false, "graz-*", "graz *", 7, "pool parts", "workers", "malformed"},
        {false, "graz-*", "spare-7", 7, "pool parts", "workers", "same workers: spare-7"},
        {false, "graz-*", "spare*", 7, "pool parts", "workers", "same workers: spare-7 and spare*"},
        {false, "graz-*", "arusha-1-2-*", 7, "pool parts", "workers", "arusha-1-* and arusha-1-2-*"},
        {false, "[pool parts]\nworkers = graz-*", "[pool parts]", 6, "pool parts", "workers", "the key is missing"},
        {false, "weight = 2.5", "weight = 0", 10, "team polish", "weight", "0.01 to 1000"},
    };
    for (const BadTable &input : inputs) {
        checkRefused(input);
    }
}

TEST_CASE("findings of both tables are reported at once")
{
    Findings findings = findingsOf(replaced(validRoutes, "800ms", "1"), replaced(validPools, "2GB", "1"));
    REQUIRE(findings.size() == 2);
    CHECK(findings[0].file == "routes.ini");
    CHECK(findings[1].file == "pools.ini");
}

TEST_CASE("routes with the same path don't conflict if only one has a host or methods")
{
    std::string routes = "[route a]\npath = /\npool = parts\n[route b]\npath = /\nmethods = GET\npool = parts\n"
                         "[route c]\nhost = h\npath = /\npool = parts\n[route d]\npath = /long\npool = parts\n";
    ControlState control = parseTables(routes, validPools);
    std::string order;
    for (const Route &route : control.routes) {
        order += route.name;
    }
    CHECK(order == "dcba");
}

TEST_CASE("a randomly mutated table either parses or produces findings")
{
    bool held = rc::check([] {
        std::string routes = mutated(validRoutes);
        std::string pools = mutated(validPools);
        try {
            ControlState control = parseTables(routes, pools);
            RC_ASSERT(control.routesText == routes);
            for (const Route &route : control.routes) {
                RC_ASSERT(control.findPool(route.pool) != nullptr);
                RC_ASSERT(route.idempotent || route.maxAttempts == 1);
            }
        } catch (const SettingsError &error) {
            RC_ASSERT_FALSE(error.findings().empty());
        }
    });
    CHECK(held);
}

TEST_CASE("the digest covers both texts and the boundary between them")
{
    CHECK(tablesDigest("a", "b") == sha256Hex("a\n--\nb"));
    CHECK(tablesDigest("a", "b") != tablesDigest("b", "a"));
}
