#include "fescueledge/settingsparser.h"

#include "fescueledge/settingserror.h"
#include "fescueledge/settingsschema.h"

#include <catch2/catch.hpp>
#include <cstdio>
#include <fstream>

using namespace fescueledge;

namespace {

const std::string validSettings = "[node]\n" // 1
                                  "name = east-1\n"
                                  "data-centre = east\n"
                                  "[listen]\n"
                                  "caller = 127.0.0.1:7001\n" // 5
                                  "operator = 127.0.0.1:7002\n"
                                  "peer = 127.0.0.1:7003\n"
                                  "[platform]\n"
                                  "table-service = 127.0.0.1:7101\n"
                                  "object-store = 127.0.0.1:7102\n" // 10
                                  "vm-list = 127.0.0.1:7103\n"
                                  "[operator]\n"
                                  "token = 0123456789abcdef\n"
                                  "[leases]\n"
                                  "store = 3s\n"; // 15

std::string withReplaced(const std::string &from, const std::string &to)
{
    std::string text = validSettings;
    return text.replace(text.find(from), from.size(), to);
}

Findings findingsOf(const std::string &text)
{
    try {
        parseSettings(text, "daemon.ini");
    } catch (const SettingsError &error) {
        CHECK(error.kind() == ErrorKind::InvalidSettings);
        return error.findings();
    }
    return {};
}

/// An invalid input and the finding that it must produce.
struct BadInput
{
    std::string text;
    int line;
    std::string section;
    std::string key;
    std::string message; ///< Part of the message.
};

void checkRefused(const BadInput &input)
{
    Findings findings = findingsOf(input.text);
    INFO(input.message);
    REQUIRE(findings.size() == 1);
    CHECK(findings[0].file == "daemon.ini");
    CHECK(findings[0].line == input.line);
    CHECK(findings[0].section == input.section);
    CHECK(findings[0].key == input.key);
    CHECK_FALSE(findings[0].remedy.empty());
    CHECK_THAT(findings[0].message(), Catch::Contains(input.message));
}

} // namespace

TEST_CASE("valid settings are parsed and missing keys get their defaults")
{
    DaemonSettings settings = parseSettings(validSettings, "daemon.ini");
    CHECK(settings.node.name == "east-1");
    CHECK(settings.listen.operatorAddress == "127.0.0.1:7002");
    CHECK(settings.leases.store == Milliseconds(3000));
    CHECK(settings.leases.grant == Milliseconds(2000));
    CHECK(settings.leases.driftPercent == 3);
    CHECK(settings.limits.bodyMb == 4);
    CHECK(settings.log.toStderr);
    CHECK(inForceTime(settings) < maxInForceTime);
}

TEST_CASE("each kind of invalid setting produces its finding")
{
    const BadInput inputs[] = {
        {withReplaced("store = 3s", "store = 3s\n[limist]"), 16, "limist", "", "did you mean limits?"},
        {withReplaced("store = 3s", "sotre = 3s"), 15, "leases", "sotre", "did you mean store?"},
        {withReplaced("store = 3s", "store = 3"), 15, "leases", "store", "the unit is missing"},
        {withReplaced("store = 3s", "store = 3MB"), 15, "leases", "store", "the unit MB is wrong"},
        {withReplaced("store = 3s", "store = 3 s"), 15, "leases", "store", "the unit  s is wrong"},
        {withReplaced("store = 3s", "store = soon"), 15, "leases", "store", "no number with a unit"},
        {withReplaced("store = 3s", "store ="), 15, "leases", "store", "the key has no value"},
        {withReplaced("store = 3s", "store = 9s"), 15, "leases", "store", "write 2s to 6s"},
        {withReplaced("store = 3s", "store = 99999999999999999s"), 15, "leases", "store", "out of range"},
        {withReplaced("store = 3s", "drift-percent = 2"), 15, "leases", "drift-percent", "the unit is missing"},
        {withReplaced("store = 3s", "store = 3s\nstore = 4s"), 16, "leases", "store", "twice, first on line 15"},
        {withReplaced("store = 3s", "grant = 2s\n[node]"), 16, "node", "", "twice, first on line 1"},
        {withReplaced("name = east-1\n", ""), 1, "node", "name", "the key is missing"},
        {withReplaced("east-1", "East_1"), 2, "node", "name", "a-z, 0-9 and -"},
        {withReplaced("[node]", "[node one]"), 1, "node one", "", "takes no name"},
        {withReplaced("127.0.0.1:7001", "localhost:7001"), 5, "listen", "caller", "no ip:port"},
        {withReplaced("127.0.0.1:7001", "127.0.0.1:70010"), 5, "listen", "caller", "no ip:port"},
        {withReplaced("127.0.0.1:7002", "127.0.0.1:7001"), 6, "listen", "operator", "the same address"},
        {withReplaced("token = 0123456789abcdef", "token = short"), 13, "operator", "token", "shorter than 16"},
        {withReplaced("token = 0123456789abcdef\n", ""), 12, "operator", "token", "no token"},
        {withReplaced("[leases]", "token-file = /etc/t\n[leases]"), 14, "operator", "token-file", "two tokens"},
        {withReplaced("store = 3s", "grant = 3s"), 15, "leases", "grant", "not shorter than the store lease"},
        {withReplaced("store = 3s", "store = 6s"), 15, "leases", "store", "to be in force everywhere"},
        {withReplaced("store = 3s", "worker = 11s"), 15, "leases", "worker", "before another node can take over"},
        {withReplaced("[operator]\ntoken = 0123456789abcdef\n[leases]\nstore = 3s",
                      "table-timeout = 2s\n[operator]\ntoken = 0123456789abcdef\n[leases]\nstore = 2s\ngrant = 1s"),
         12, "platform", "table-timeout", "lost answer"},
        {withReplaced("store = 3s", "[limits]\nthreads = 1.5"), 16, "limits", "threads", "no whole number"},
        {withReplaced("store = 3s", "[limits]\nbody-size = 4"), 16, "limits", "body-size", "the unit is missing"},
        {withReplaced("store = 3s", "[log]\nlevel = loud"), 16, "log", "level", "info, warning or error"},
        {withReplaced("store = 3s", "[log]\nto-stderr = maybe"), 16, "log", "to-stderr", "yes or no"},
        {withReplaced("store = 3s", "store 3s"), 15, "leases", "", "write key = value"},
        {withReplaced("[leases]\nstore = 3s", "[leases"), 14, "", "", "header is malformed"},
        {withReplaced("[leases]\nstore = 3s", "[leases] store = 3s"), 14, "", "", "header is malformed"},
        {"name = x\n" + validSettings, 1, "", "name", "before the first section"},
        {withReplaced("store = 3s", std::string("directory = a\0b", 15)), 15, "leases", "", "control character"},
        {withReplaced("store = 3s", "store = " + std::string(9000, '3')), 15, "leases", "", "too long"},
    };
    for (const BadInput &input : inputs) {
        checkRefused(input);
    }
}

// Guards against nodes that never start: the platform fills in their share of a processor with all its decimals.
TEST_CASE("the processor time of a VM may have more than three decimals")
{
    const auto coresFrom = [](const std::string &value) {
        return parseSettings(validSettings + "\n[workflow]\ncores = " + value + "\n", "daemon.ini").workflow.cores;
    };
    CHECK(coresFrom("0.0345") == Approx(0.034));
    CHECK(coresFrom("0.33333333333333331") == Approx(0.333));
    CHECK(coresFrom("2") == Approx(2));
    CHECK_THROWS_AS(coresFrom("0.0345x"), SettingsError);
    CHECK_THROWS_AS(coresFrom("0.0001"), SettingsError);
}

TEST_CASE("all findings are reported at once, in file order")
{
    Findings findings = findingsOf("[node]\nnam = x\n[listen]\ncaller = here\n");
    std::vector<std::string> keys;
    for (const Finding &finding : findings) {
        keys.push_back(finding.key);
    }
    CHECK(keys
          == std::vector<std::string>{"table-service", "object-store", "vm-list", "token", "name", "data-centre", "nam",
                                      "operator", "peer", "caller"});
}

TEST_CASE("comments, blank lines and CR LF are accepted")
{
    std::string text =
        "; a comment\n\n# another\n" + withReplaced("store = 3s", "store = 3s ; as long as a grant and a half");
    CHECK(parseSettings(text, "daemon.ini").leases.store == Milliseconds(3000));
    std::string crlf;
    for (char c : validSettings) {
        crlf += c == '\n' ? std::string("\r\n") : std::string(1, c);
    }
    CHECK(parseSettings(crlf, "daemon.ini").node.name == "east-1");
}

TEST_CASE("reading a token file returns its first line or throws a typed error")
{
    const char *path = "settingsparser_test.token";
    std::ofstream(path) << "0123456789abcdef  \nmore\n";
    CHECK(readTokenFile(path) == "0123456789abcdef");
    std::ofstream(path) << "short\n";
    CHECK_THROWS_AS(readTokenFile(path), Error);
    std::remove(path);
    CHECK_THROWS_AS(readTokenFile(path), Error);
}
