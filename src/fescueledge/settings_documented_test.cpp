#include "fescueledge/settingsparser.h"
#include "fescueledge/settingsschema.h"
#include "fescueledge/tableparser.h"

#include <catch2/catch.hpp>
#include <fstream>
#include <iterator>
#include <string>

using namespace fescueledge;

namespace {

std::string readSource(const std::string &name)
{
    std::ifstream file(SOURCE_DIR "/" + name);
    return {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
}

/// The text between the markers of one schema.
std::string documented(const std::string &text, const std::string &schema)
{
    std::string begin = "<!-- begin settings " + schema + " -->\n";
    std::string end = "<!-- end settings " + schema + " -->\n";
    std::size_t from = text.find(begin);
    std::size_t to = text.find(end);
    REQUIRE(from != std::string::npos);
    REQUIRE(to != std::string::npos);
    return text.substr(from + begin.size(), to - from - begin.size());
}

} // namespace

TEST_CASE("docs/OPERATIONS.md has every key of the schema and no other")
{
    std::string text = readSource("docs/OPERATIONS.md");
    INFO("print the tables with: fescueledge settings --markdown");
    CHECK(documented(text, "daemon") == schemaMarkdown(daemonSchema()));
    CHECK(documented(text, "routes") == schemaMarkdown(routesSchema()));
    CHECK(documented(text, "pools") == schemaMarkdown(poolsSchema()));
}

TEST_CASE("the examples in etc/ are valid")
{
    CHECK_NOTHROW(parseSettings(readSource("etc/fescueledged.ini"), "etc/fescueledged.ini"));
    CHECK_NOTHROW(parseTables(readSource("etc/routes.ini"), readSource("etc/pools.ini")));
}
