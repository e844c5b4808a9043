#include "cli_pvt.h"
#include "cliclock_pvt.h"
#include "commands_pvt.h"
#include "commandtable_pvt.h"

#include "fescueledge/tableparser.h"

#include <catch2/catch.hpp>
#include <catch2/trompeloeil.hpp>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>
#include <unistd.h>

using namespace fescueledge;

namespace {

class MockTransport : public OperatorTransport
{
public:
    MAKE_MOCK3(send, ApiResponse(const std::string &, const ApiRequest &, Milliseconds), override);
};

/// Forwards requests to a mock that outlives it.
class ForwardingTransport : public OperatorTransport
{
public:
    explicit ForwardingTransport(OperatorTransport &target)
        : m_target(target)
    {
    }

    ApiResponse send(const std::string &node, const ApiRequest &request, Milliseconds timeout) override
    {
        return m_target.send(node, request, timeout);
    }

private:
    OperatorTransport &m_target;
};

class VirtualClock : public CliClock
{
public:
    TimePoint now() override
    {
        return m_now;
    }

    void sleepFor(Milliseconds time) override
    {
        m_now += time;
    }

private:
    TimePoint m_now;
};

const std::string routes = "[route r]\npath = /\npool = p\n";
const std::string pools = "[pool p]\nworkers = w-*\n";
const std::string newPools = "[pool p]\nworkers = w-*\nslots = 9\n";

void writeFile(const std::string &name, const std::string &text)
{
    std::ofstream(name) << text;
}

ApiResponse answered(int status, const nlohmann::json &body)
{
    return {ApiResponse::Delivery::Answered, status, body.dump()};
}

ApiResponse lost()
{
    return {ApiResponse::Delivery::Lost, 0, ""};
}

ApiResponse notSent()
{
    return {ApiResponse::Delivery::NotSent, 0, ""};
}

nlohmann::json errorBody(const std::string &type, const std::string &outcome)
{
    return {{"error", {{"type", type}, {"message", "said so"}, {"outcome", outcome}}}};
}

ApiResponse currentConfig(ControlVersion version)
{
    return answered(200,
                    {{"version", version},
                     {"digest", tablesDigest(routes, pools)},
                     {"routes", routes},
                     {"pools", pools},
                     {"data_centres_out", nlohmann::json::array()},
                     {"in_force", true},
                     {"waiting_for", nlohmann::json::array()}});
}

nlohmann::json accepted(ControlVersion version, bool inForce)
{
    std::vector<std::string> waitingFor;
    if (!inForce) {
        waitingFor.emplace_back("east-2");
    }
    return {{"version", version}, {"in_force", inForce}, {"waiting_for", waitingFor}};
}

/// A directory of its own that is the working directory while it exists.
struct WorkingDirectory
{
    WorkingDirectory()
    {
        std::filesystem::create_directories(path);
        std::filesystem::current_path(path);
    }
    ~WorkingDirectory()
    {
        std::error_code ec;
        std::filesystem::current_path(before, ec);
        std::filesystem::remove_all(path, ec);
    }
    WorkingDirectory(const WorkingDirectory &) = delete;
    WorkingDirectory &operator=(const WorkingDirectory &) = delete;

    std::filesystem::path before = std::filesystem::current_path();
    std::filesystem::path path = std::filesystem::temp_directory_path() / ("cli_test-" + std::to_string(getpid()));
};

/// Runs command lines against the mock. Files are written to the working directory.
struct CliFixture
{
    CliFixture()
    {
        writeFile("cli_test.token", "0123456789abcdef\n");
        writeFile("cli_test_routes.ini", routes);
        writeFile("cli_test_pools.ini", newPools);
        writeFile("cli_test_job.json", R"({"steps":[{"count":2,"cpu":500}]})");
    }

    const WorkingDirectory directory;

    ExitCode run(const std::vector<std::string> &words)
    {
        std::vector<std::string> line{"fescueledge"};
        line.insert(line.end(), words.begin(), words.end());
        std::vector<char *> argv;
        argv.reserve(line.size() + 1);
        for (std::string &word : line) {
            argv.push_back(word.data());
        }
        argv.push_back(nullptr);
        CliEnvironment environment{variables, out, err, clock, [this](const std::string &) {
                                       return std::make_unique<ForwardingTransport>(transport);
                                   }};
        return runCli(static_cast<int>(line.size()), argv.data(), environment);
    }

    ExitCode apply(const std::vector<std::string> &more = {})
    {
        std::vector<std::string> words{"config", "apply", "cli_test_routes.ini", "cli_test_pools.ini", "--why", "more"};
        words.insert(words.end(), more.begin(), more.end());
        return run(words);
    }

    /// The change id of the last POST.
    std::string changeId() const
    {
        return posted.value("change_id", "");
    }

    ApiResponse recordPost(const ApiRequest &request, const ApiResponse &response)
    {
        posted = nlohmann::json::parse(request.body);
        return response;
    }

    std::map<std::string, std::string> variables{
        {"FESCUELEDGE_NODES", "10.0.0.1:1"}, {"FESCUELEDGE_TOKEN_FILE", "cli_test.token"}, {"USER", "asha"}};
    MockTransport transport;
    VirtualClock clock;
    std::ostringstream out;
    std::ostringstream err;
    nlohmann::json posted;
};

} // namespace

#define EXPECT_SEND(verb, start) \
    REQUIRE_CALL(transport, send(trompeloeil::_, trompeloeil::_, trompeloeil::_)) \
        .WITH(_2.method == (verb) && _2.path.rfind((start), 0) == 0)
#define ALLOW_SEND(verb, start) \
    ALLOW_CALL(transport, send(trompeloeil::_, trompeloeil::_, trompeloeil::_)) \
        .WITH(_2.method == (verb) && _2.path.rfind((start), 0) == 0)

TEST_CASE_METHOD(CliFixture, "wrong command lines are usage errors and send nothing")
{
    const std::vector<std::vector<std::string>> lines{
        {},
        {"frobnicate"},
        {"config"},
        {"config", "frobnicate"},
        {"status", "--frobnicate"},
        {"status", "--timeout"},
        {"status", "--timeout", "5"},
        {"status", "--timeout", "5s", "--timeout", "6s"},
        {"status", "--why", "no reason"},
        {"status", "extra"},
        {"status", "--node", "localhost:1"},
        {"status", "--json=yes"},
        {"config", "apply", "cli_test_routes.ini", "--why", "one file"},
        {"config", "apply", "cli_test_routes.ini", "missing.ini", "--why", "no such file"},
        {"config", "apply", "cli_test_routes.ini", "cli_test_pools.ini"},
        {"config", "show", "tables"},
        {"config", "history", "--limit", "0"},
        {"datacentre", "out", "east"},
        {"datacentre", "out", "--why", "no name"},
        {"explain", "task", "no-index"},
        {"explain", "place", "cli_test_job.json", "--host", "desk.example"},
        {"explain", "place", "cli_test_job.json", "--path", "/orders/"},
        {"explain", "place", "missing.json", "--host", "desk.example", "--path", "/orders/"},
        {"explain", "place", "cli_test_routes.ini", "--host", "desk.example", "--path", "/orders/"},
        {"settings", "unknown"},
        {"jobs", "submit", "--cores", "many"},
    };
    for (const std::vector<std::string> &line : lines) {
        INFO(nlohmann::json(line).dump());
        CHECK(run(line) == ExitCode::Usage);
        CHECK_FALSE(err.str().empty());
    }
}

TEST_CASE_METHOD(CliFixture, "a change requires a node, a token and an operator name")
{
    for (const char *name : {"FESCUELEDGE_NODES", "FESCUELEDGE_TOKEN_FILE", "USER"}) {
        std::map<std::string, std::string> kept = variables;
        variables.erase(name);
        CHECK(run({"datacentre", "out", "east", "--why", "work"}) == ExitCode::Usage);
        variables = kept;
    }
}

TEST_CASE_METHOD(CliFixture, "every command has help that names its options")
{
    for (const CommandEntry &entry : commandTable()) {
        std::string name = entry.name;
        std::vector<std::string> words{name.substr(0, name.find(' '))};
        if (name.find(' ') != std::string::npos) {
            words.push_back(name.substr(name.find(' ') + 1));
        }
        words.emplace_back("--help");
        out.str("");
        CHECK(run(words) == ExitCode::Ok);
        CHECK_THAT(out.str(), Catch::Contains("fescueledge " + name) && Catch::Contains("Exit codes"));
        for (const char *option : entry.options) {
            CHECK_THAT(out.str(), Catch::Contains("--" + std::string(option)));
        }
    }
    CHECK(run({"--version"}) == ExitCode::Ok);
}

TEST_CASE_METHOD(CliFixture, "config check prints all findings and needs no node")
{
    variables.clear();
    CHECK(run({"config", "check", "cli_test_routes.ini", "cli_test_pools.ini"}) == ExitCode::Ok);
    writeFile("cli_test_pools.ini", "[pool q]\nworkers = w\nslots = x\nlimit = 1\n");
    CHECK(run({"config", "check", "cli_test_routes.ini", "cli_test_pools.ini"}) == ExitCode::Refused);
    CHECK(run({"config", "check", "cli_test_routes.ini", "cli_test_pools.ini", "--json"}) == ExitCode::Refused);
    CHECK(nlohmann::json::parse(out.str().substr(out.str().find('{')))["findings"].size() == 3);
    CHECK_THAT(err.str(),
               Catch::Contains("cli_test_routes.ini:3: [route r] pool")
                   && Catch::Contains("cli_test_pools.ini:3: [pool q] slots")
                   && Catch::Contains("cli_test_pools.ini:4: [pool q] limit"));
}

TEST_CASE_METHOD(CliFixture, "config check with --node also checks on the node")
{
    nlohmann::json finding{
        {"file", "pools.ini"}, {"line", 3}, {"section", "pool p"}, {"key", "slots"}, {"message", "no"}};
    EXPECT_SEND("POST", "/v1/config/check").RETURN(answered(200, {{"ok", false}, {"findings", {finding}}}));
    std::vector<std::string> line{"config", "check",     "cli_test_routes.ini", "cli_test_pools.ini",
                                  "--node", "10.0.0.1:1"};
    CHECK(run(line) == ExitCode::Refused);
    CHECK(err.str() == "pools.ini:3: [pool p] slots: no\n");
}

TEST_CASE_METHOD(CliFixture, "config diff shows the changes, the version and the digest")
{
    EXPECT_SEND("GET", "/v1/config").RETURN(currentConfig(7));
    CHECK(run({"config", "diff", "cli_test_routes.ini", "cli_test_pools.ini"}) == ExitCode::Ok);
    CHECK_THAT(out.str(),
               Catch::Contains("~ pool p: slots: 8 -> 9")
                   && Catch::Contains("--expected-version 7 --digest " + tablesDigest(routes, newPools)));
}

TEST_CASE_METHOD(CliFixture,
                 "config apply sends version, digest, operator and reason, and reports the change as in force")
{
    EXPECT_SEND("GET", "/v1/config").RETURN(currentConfig(7));
    EXPECT_SEND("POST", "/v1/config").RETURN(recordPost(_2, answered(200, accepted(8, true))));
    CHECK(apply() == ExitCode::Ok);
    CHECK(posted["expected_version"] == 7);
    CHECK(posted["digest"] == tablesDigest(routes, newPools));
    CHECK(posted["pools"] == newPools);
    CHECK(posted["who"] == "asha");
    CHECK(posted["why"] == "more");
    CHECK_THAT(out.str(), Catch::Contains("version 8 is in force everywhere"));
}

TEST_CASE_METHOD(CliFixture, "config apply reports progress until the change is in force")
{
    ALLOW_SEND("GET", "/v1/config").RETURN(currentConfig(7));
    EXPECT_SEND("POST", "/v1/config").RETURN(answered(202, accepted(8, false)));
    trompeloeil::sequence polls;
    EXPECT_SEND("GET", "/v1/config/version/8").IN_SEQUENCE(polls).RETURN(answered(200, accepted(8, false)));
    EXPECT_SEND("GET", "/v1/config/version/8").IN_SEQUENCE(polls).RETURN(lost());
    EXPECT_SEND("GET", "/v1/config/version/8").IN_SEQUENCE(polls).RETURN(answered(200, accepted(8, true)));
    CHECK(apply() == ExitCode::Ok);
    CHECK_THAT(err.str(), Catch::Contains("version 8 accepted; not yet in force everywhere east-2"));
}

TEST_CASE_METHOD(CliFixture, "a change that is not in force within the timeout has its own exit code")
{
    ALLOW_SEND("GET", "/v1/config").RETURN(currentConfig(7));
    EXPECT_SEND("POST", "/v1/config").RETURN(answered(202, accepted(8, false)));
    ALLOW_SEND("GET", "/v1/config/version/8").RETURN(answered(200, accepted(8, false)));
    CHECK(apply({"--timeout", "2s", "--json"}) == ExitCode::NotYetInForce);
    CHECK(nlohmann::json::parse(out.str())["in_force"] == false);
}

TEST_CASE_METHOD(CliFixture, "config apply sends no change if another digest or version was reviewed")
{
    CHECK(apply({"--digest", "00"}) == ExitCode::Refused);
    EXPECT_SEND("GET", "/v1/config").RETURN(currentConfig(7));
    CHECK(apply({"--expected-version", "6"}) == ExitCode::Conflict);
}

TEST_CASE_METHOD(CliFixture, "config apply of the tables in force sends no change")
{
    writeFile("cli_test_pools.ini", pools);
    EXPECT_SEND("GET", "/v1/config").RETURN(currentConfig(7));
    CHECK(apply() == ExitCode::Ok);
    CHECK_THAT(out.str(), Catch::Contains("no difference"));
}

TEST_CASE_METHOD(CliFixture, "typed errors of a change map to exit codes")
{
    struct Case
    {
        ApiResponse response;
        ExitCode code;
    };
    const Case cases[] = {
        {answered(409, errorBody("conflict", "not run")), ExitCode::Conflict},
        {answered(422, errorBody("invalid-settings", "not run")), ExitCode::Refused},
        {answered(401, errorBody("unauthorized", "not run")), ExitCode::Refused},
        {answered(503, errorBody("store-unavailable", "not run")), ExitCode::Refused},
        {notSent(), ExitCode::Unreachable},
    };
    for (const Case &it : cases) {
        EXPECT_SEND("GET", "/v1/config").RETURN(currentConfig(7));
        EXPECT_SEND("POST", "/v1/config").LR_RETURN(it.response);
        CHECK(apply() == it.code);
    }
}

TEST_CASE_METHOD(CliFixture, "findings of a node are printed")
{
    nlohmann::json body = errorBody("invalid-settings", "not run");
    body["findings"] = {
        {{"file", "pools.ini"}, {"line", 3}, {"section", "pool p"}, {"key", "slots"}, {"message", "no"}}};
    EXPECT_SEND("GET", "/v1/config").RETURN(currentConfig(7));
    EXPECT_SEND("POST", "/v1/config").RETURN(answered(422, body));
    CHECK(apply() == ExitCode::Refused);
    CHECK_THAT(err.str(), Catch::Contains("1 findings of the node (not run)\npools.ini:3: [pool p] slots: no\n"));
}

TEST_CASE_METHOD(CliFixture, "a change is sent to the next node only if the previous one certainly did not run it")
{
    variables["FESCUELEDGE_NODES"] = "10.0.0.1:1,10.0.0.2:1,10.0.0.3:1";
    ALLOW_SEND("GET", "/v1/config").RETURN(currentConfig(7));
    trompeloeil::sequence order;
    REQUIRE_CALL(transport, send("10.0.0.1:1", trompeloeil::_, trompeloeil::_))
        .WITH(_2.method == "POST")
        .IN_SEQUENCE(order)
        .RETURN(notSent());
    REQUIRE_CALL(transport, send("10.0.0.2:1", trompeloeil::_, trompeloeil::_))
        .WITH(_2.method == "POST")
        .IN_SEQUENCE(order)
        .RETURN(answered(503, errorBody("shutting-down", "not run")));
    REQUIRE_CALL(transport, send("10.0.0.3:1", trompeloeil::_, trompeloeil::_))
        .WITH(_2.method == "POST")
        .IN_SEQUENCE(order)
        .RETURN(answered(200, accepted(8, true)));
    CHECK(apply() == ExitCode::Ok);
}

TEST_CASE_METHOD(CliFixture, "a change whose answer was lost is looked up and never sent again")
{
    variables["FESCUELEDGE_NODES"] = "10.0.0.1:1,10.0.0.2:1";
    nlohmann::json mine = {{"version", 8}, {"change_id", ""}};
    const ApiResponse answers[] = {lost(),
                                   answered(503, errorBody("store-outcome-unknown", "unknown")),
                                   answered(502, "no JSON object"),
                                   {ApiResponse::Delivery::Answered, 200, "cut of"}};
    for (const ApiResponse &it : answers) {
        ALLOW_SEND("GET", "/v1/config").RETURN(currentConfig(7));
        EXPECT_SEND("POST", "/v1/config").LR_RETURN(recordPost(_2, it));
        trompeloeil::sequence lookups;
        EXPECT_SEND("GET", "/v1/config/history")
            .IN_SEQUENCE(lookups)
            .RETURN(answered(200, {{"changes", nlohmann::json::array()}}));
        EXPECT_SEND("GET", "/v1/config/history")
            .IN_SEQUENCE(lookups)
            .LR_RETURN(answered(200, {{"changes", {{{"version", 8}, {"change_id", changeId()}}}}}));
        EXPECT_SEND("GET", "/v1/config/version/8").RETURN(answered(200, accepted(8, true)));
        CHECK(apply() == ExitCode::Ok);
    }
}

TEST_CASE_METHOD(CliFixture, "a change with a lost answer is a conflict if another change got its version")
{
    ALLOW_SEND("GET", "/v1/config").RETURN(currentConfig(7));
    EXPECT_SEND("POST", "/v1/config").RETURN(lost());
    EXPECT_SEND("GET", "/v1/config/history")
        .RETURN(answered(200, {{"changes", {{{"version", 8}, {"change_id", "theirs"}}}}}));
    CHECK(apply() == ExitCode::Conflict);
}

TEST_CASE_METHOD(CliFixture, "a lost answer that can't be looked up leaves the outcome unknown")
{
    ALLOW_SEND("GET", "/v1/config").RETURN(lost());
    EXPECT_SEND("POST", "/v1/datacentres/east/out").RETURN(recordPost(_2, lost()));
    CHECK(run({"datacentre", "out", "east", "--why", "work", "--timeout", "3s"}) == ExitCode::Unknown);
    CHECK_THAT(err.str(), Catch::Contains(changeId()));
}

TEST_CASE_METHOD(CliFixture, "reads try the next node, also after a lost answer")
{
    variables["FESCUELEDGE_NODES"] = "10.0.0.1:1,10.0.0.2:1";
    REQUIRE_CALL(transport, send("10.0.0.1:1", trompeloeil::_, trompeloeil::_)).RETURN(lost());
    REQUIRE_CALL(transport, send("10.0.0.2:1", trompeloeil::_, trompeloeil::_))
        .RETURN(answered(200, {{"node", "east-2"}, {"shards", {{{"shard", "queue:00"}, {"owner", "east-1"}}}}}));
    CHECK(run({"status"}) == ExitCode::Ok);
    CHECK(out.str() == "node: east-2\n\nshards:\nowner   shard\neast-1  queue:00\n");
}

TEST_CASE_METHOD(CliFixture, "a command fails as unreachable if no node answers")
{
    ALLOW_CALL(transport, send(trompeloeil::_, trompeloeil::_, trompeloeil::_)).RETURN(notSent());
    for (const std::vector<std::string> &line : std::vector<std::vector<std::string>>{
             {"status"},
             {"audit"},
             {"config", "show"},
             {"jobs", "list"},
             {"explain", "task", "j/0"},
             {"explain", "request", "r"},
             {"datacentre", "list"},
         }) {
        CHECK(run(line) == ExitCode::Unreachable);
    }
}

TEST_CASE_METHOD(CliFixture, "config show prints a table byte for byte")
{
    EXPECT_SEND("GET", "/v1/config").RETURN(currentConfig(7));
    CHECK(run({"config", "show", "pools"}) == ExitCode::Ok);
    CHECK(out.str() == pools);
}

TEST_CASE_METHOD(CliFixture, "a job is submitted from a file and options")
{
    writeFile("cli_test_job.json", R"({"customer": "kilima", "team": "grind", "payloads": ["a"]})");
    EXPECT_SEND("POST", "/v1/jobs").RETURN(recordPost(_2, answered(200, {{"job", "03-1"}})));
    std::vector<std::string> line{"jobs",    "submit", "cli_test_job.json", "--team", "polish",   "--key", "k-1",
                                  "--tasks", "3",      "--cores",           "1.5",    "--memory", "2GB"};
    CHECK(run(line) == ExitCode::Ok);
    CHECK(posted == nlohmann::json::parse(R"({"customer": "kilima", "team": "polish", "key": "k-1", "payloads": ["a"],
              "task_count": 3, "resources": {"milli_cores": 1500, "memory_mb": 2048, "accelerators": 0}})"));
    CHECK(out.str() == "job: 03-1\n");
}

TEST_CASE_METHOD(CliFixture, "a submission is retried with the same key after a lost answer")
{
    std::vector<std::string> keys;
    trompeloeil::sequence order;
    EXPECT_SEND("POST", "/v1/jobs")
        .IN_SEQUENCE(order)
        .LR_SIDE_EFFECT(keys.push_back(nlohmann::json::parse(_2.body)["key"]))
        .RETURN(lost());
    EXPECT_SEND("POST", "/v1/jobs")
        .IN_SEQUENCE(order)
        .LR_SIDE_EFFECT(keys.push_back(nlohmann::json::parse(_2.body)["key"]))
        .RETURN(answered(200, {{"job", "03-1"}}));
    CHECK(run({"jobs", "submit", "--customer", "kilima"}) == ExitCode::Ok);
    REQUIRE(keys.size() == 2);
    CHECK(keys[0] == keys[1]);
    CHECK_FALSE(keys[0].empty());
}

TEST_CASE_METHOD(CliFixture, "a submission has an unknown outcome if its retry fails")
{
    trompeloeil::sequence order;
    EXPECT_SEND("POST", "/v1/jobs").IN_SEQUENCE(order).RETURN(lost());
    EXPECT_SEND("POST", "/v1/jobs").IN_SEQUENCE(order).RETURN(notSent());
    CHECK(run({"jobs", "submit"}) == ExitCode::Unknown);
}

TEST_CASE_METHOD(CliFixture, "a cancellation is looked up in the job after a lost answer")
{
    EXPECT_SEND("DELETE", "/v1/jobs/03-1?who=asha").TIMES(2).RETURN(lost());
    trompeloeil::sequence order;
    EXPECT_SEND("GET", "/v1/jobs/03-1").IN_SEQUENCE(order).RETURN(answered(200, {{"cancelled_by", "asha"}}));
    EXPECT_SEND("GET", "/v1/jobs/03-1").IN_SEQUENCE(order).RETURN(answered(200, {{"cancelled_by", ""}}));
    CHECK(run({"jobs", "cancel", "03-1"}) == ExitCode::Ok);
    CHECK(run({"jobs", "cancel", "03-1"}) == ExitCode::Unknown);
}

TEST_CASE_METHOD(CliFixture, "names from the command line are encoded in paths")
{
    EXPECT_SEND("GET", "/v1/jobs?limit=20&customer=a%26b").RETURN(answered(200, {{"jobs", nlohmann::json::array()}}));
    CHECK(run({"jobs", "list", "--customer", "a&b"}) == ExitCode::Ok);
    EXPECT_SEND("GET", "/v1/explain/task/a%20b/7").RETURN(answered(200, {{"state", "running"}}));
    CHECK(run({"explain", "task", "a b/7"}) == ExitCode::Ok);
}

TEST_CASE_METHOD(CliFixture, "the audit trail shows each key before and after")
{
    nlohmann::json before = {{"routes", routes}, {"pools", pools}, {"data_centres_out", {"west"}}};
    nlohmann::json after = {{"routes", routes}, {"pools", newPools}, {"data_centres_out", nlohmann::json::array()}};
    nlohmann::json change = {{"version", 8},      {"when", "2026-01-02T03:04:05Z"},
                             {"who", "asha"},     {"why", "more"},
                             {"change_id", "c1"}, {"before", before},
                             {"after", after}};
    EXPECT_SEND("GET", "/v1/audit?limit=20").RETURN(answered(200, {{"changes", {change}}}));
    CHECK(run({"audit"}) == ExitCode::Ok);
    CHECK(out.str()
          == "version 8, 2026-01-02T03:04:05Z, asha: more (change c1)\n"
             "  ~ pool p: slots: 8 -> 9\n  - data-centre west: in\n");
}

namespace {

const nlohmann::json place = nlohmann::json::parse(R"({"term":3,"queue":"orders","look_ahead":true,"sends_orders":true,
    "account":{"name":"acme","limit":{"milli_cores":2000},"used":{"milli_cores":2000},"unknown":{},"share":0.5},
    "waiting":{"steps":1,"tasks":4},
    "reservations":{"count":1,"workers":[{"worker":"w7","long_running":false,"free":{"milli_cores":500},
        "need":{"milli_cores":4000},"expected_start_ms":1200}]},
    "steps":[{"step":0,"tasks":2,"per_task":{"milli_cores":500},"expected_work_ms":100,"outcome":"account_limit",
        "room_for_tasks":2,"expected_start_ms":800,"workers":{"fits":1,"held":1},
        "candidates":[{"worker":"w3","data_centre":"dc-a","rack":"r1","cost":0.25,"free":{"milli_cores":3500}}]}],
    "steps_left_out":0})");

const std::vector<std::string> placeWords{"explain", "place",    "cli_test_job.json", "--host", "desk.example",
                                          "--path",  "/orders/", "--account",         "acme"};

} // namespace

TEST_CASE_METHOD(CliFixture, "explain place posts the job without a token and prints what decides on its place")
{
    variables.erase("FESCUELEDGE_TOKEN_FILE");
    {
        REQUIRE_CALL(transport, send(trompeloeil::_, trompeloeil::_, trompeloeil::_))
            .WITH(_2.method == "POST" && _2.path == "/explain/place")
            .RETURN(recordPost(_2, answered(200, place)));
        CHECK(run(placeWords) == ExitCode::Ok);
    }
    CHECK(posted
          == nlohmann::json{{"host", "desk.example"},
                            {"path", "/orders/"},
                            {"account", "acme"},
                            {"job", {{"steps", {{{"count", 2}, {"cpu", 500}}}}}}});
    for (const char *part : {"account: acme", "account_limit", "fits=1 held=1", "w3", "w7", "800", "1200"}) {
        CHECK_THAT(out.str(), Catch::Contains(part));
    }
    out.str("");
    std::vector<std::string> words = placeWords;
    words.emplace_back("--json");
    REQUIRE_CALL(transport, send(trompeloeil::_, trompeloeil::_, trompeloeil::_)).RETURN(answered(200, place));
    CHECK(run(words) == ExitCode::Ok);
    CHECK(nlohmann::json::parse(out.str()) == place);
}

TEST_CASE_METHOD(CliFixture, "explain place reports refusals, other listeners and unreachable nodes by its exit code")
{
    const std::vector<std::pair<ApiResponse, ExitCode>> cases{
        {answered(404, errorBody("not found", "not run")), ExitCode::Refused},
        {answered(503, errorBody("unavailable", "not run")), ExitCode::Refused},
        {answered(200, {{"version", 1}}), ExitCode::Refused},
        {{ApiResponse::Delivery::Answered, 200, "# HELP metrics"}, ExitCode::Unreachable},
        {notSent(), ExitCode::Unreachable},
        {lost(), ExitCode::Unreachable}};
    for (const std::pair<ApiResponse, ExitCode> &it : cases) {
        REQUIRE_CALL(transport, send(trompeloeil::_, trompeloeil::_, trompeloeil::_)).RETURN(it.first);
        CHECK(run(placeWords) == it.second);
    }
}
