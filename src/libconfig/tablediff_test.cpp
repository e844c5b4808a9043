#include "fescueledge/tablediff.h"

#include "fescueledge/tableparser.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace fescueledge;

namespace {

std::vector<std::string> lines(const ControlState &before, const ControlState &after)
{
    std::vector<std::string> out;
    for (const TableChange &change : diffTables(before, after)) {
        out.push_back(change.toString());
    }
    return out;
}

const std::string pools = "[pool p]\nworkers = a-*\n[team t]\ncores = 4\n";

} // namespace

TEST_CASE("a diff lists added, removed and changed entities")
{
    ControlState before = parseTables("[route old]\npath = /old\npool = p\n[route r]\npath = /r\npool = p\n", pools);
    ControlState after =
        parseTables("[route new]\npath = /new\npool = p\n[route r]\npath = /r\npool = p\ndeadline = 250ms\n",
                    "[pool p]\nworkers = a-*, b\ntarget-p99 = 2s\n[team t]\ncores = 4.5\n");
    after.dataCentresOut = {"east"};
    CHECK(lines(before, after)
          == std::vector<std::string>{"- route old", "+ route new", "~ route r: deadline: 1s -> 250ms",
                                      "~ pool p: target-p99: none -> 2s", "~ pool p: workers: a-* -> a-*, b",
                                      "~ team t: cores: 4 -> 4.5", "+ data-centre east: out"});
}

TEST_CASE("comments and section order do not appear in a diff")
{
    ControlState before = parseTables("", pools);
    ControlState after = parseTables("; empty\n", "[team t]\ncores = 4\n; the pool\n[pool p]\nworkers = a-*\n");
    CHECK(lines(before, after).empty());
}

TEST_CASE("a change serializes to JSON with its kind, subject and values")
{
    ControlState before = parseTables("", pools);
    ControlState after = parseTables("", "[pool p]\nworkers = a-*\nslots = 9\n[team t]\ncores = 4\n");
    nlohmann::json json = diffTables(before, after);
    CHECK(json
          == nlohmann::json::parse(
              R"([{"kind":"changed","subject":"pool","name":"p","key":"slots","before":"8","after":"9"}])"));
}
