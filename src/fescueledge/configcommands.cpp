#include "commands_pvt.h"

#include "jsontext_pvt.h"

#include "fescueledge/settingserror.h"
#include "fescueledge/settingsschema.h"
#include "fescueledge/tablediff.h"
#include "fescueledge/tableparser.h"

#include <fstream>
#include <iterator>
#include <ostream>

namespace fescueledge {

/// The routes and pools tables given on the command line.
struct Commands::Tables
{
    ControlState control;
    std::string digest;
};

namespace {

std::string readFile(const std::string &path)
{
    std::ifstream file(path, std::ios::binary);
    std::string text((std::istreambuf_iterator<char>(file)), std::istreambuf_iterator<char>());
    if (!file) {
        throw CommandFailure(ExitCode::Usage, "can't read " + path);
    }
    return text;
}

/// The changes that the tables of @p proposed make to @p current. Differences in data centres are ignored.
std::vector<TableChange> diffAgainst(const nlohmann::json &current, const ControlState &proposed)
{
    ControlState before = controlStateFromJson(current);
    before.dataCentresOut = proposed.dataCentresOut;
    return diffTables(before, proposed);
}

nlohmann::json tablesBody(const ControlState &control)
{
    return {{"routes", control.routesText}, {"pools", control.poolsText}};
}

std::string findingText(const nlohmann::json &finding)
{
    Finding text{finding.value("file", ""), finding.value("line", 0),     finding.value("section", ""),
                 finding.value("key", ""),  finding.value("message", ""), ""};
    return text.toString();
}

} // namespace

ControlState controlStateFromJson(const nlohmann::json &content)
{
    ControlState control;
    try {
        control = parseTables(content.value("routes", std::string()), content.value("pools", std::string()));
    } catch (const SettingsError &) {
        control = ControlState();
    }
    control.dataCentresOut = content.value("data_centres_out", std::set<DataCentreId>());
    return control;
}

Commands::Tables Commands::readTables() const
{
    const std::string &routes = m_arguments.words[0];
    const std::string &pools = m_arguments.words[1];
    Tables tables;
    tables.control = parseTables(readFile(routes), readFile(pools), {routes, pools});
    tables.digest = tablesDigest(tables.control.routesText, tables.control.poolsText);
    return tables;
}

ExitCode Commands::printFindings(const Findings &findings)
{
    m_environment.out << nlohmann::json{{"ok", false}, {"findings", findings}}.dump(2) << '\n';
    return ExitCode::Refused;
}

ExitCode Commands::configCheck()
{
    try {
        return checkOnNode(readTables());
    } catch (const SettingsError &error) {
        if (!m_arguments.has("json")) {
            throw;
        }
        return printFindings(error.findings());
    }
}

ExitCode Commands::checkOnNode(const Tables &tables)
{
    nlohmann::json answer = {{"ok", true}, {"digest", tables.digest}, {"findings", nlohmann::json::array()}};
    if (m_arguments.has("node")) {
        nlohmann::json checked =
            client().sendRepeatable({"POST", "/v1/config/check", tablesBody(tables.control).dump()});
        answer["ok"] = checked.value("ok", false);
        answer["findings"] = checked.value("findings", nlohmann::json::array());
    }
    bool ok = answer["ok"].get<bool>();
    print(answer, [&] {
        for (const nlohmann::json &finding : answer["findings"]) {
            m_environment.err << findingText(finding) << '\n';
        }
        m_environment.out << (ok ? "ok" : "refused") << ", digest " << tables.digest << '\n';
    });
    return ok ? ExitCode::Ok : ExitCode::Refused;
}

void Commands::printDiff(const nlohmann::json &current, const Tables &tables)
{
    std::vector<TableChange> changes = diffAgainst(current, tables.control);
    for (const TableChange &change : changes) {
        m_environment.out << change.toString() << '\n';
    }
    bool sameText = current.value("digest", std::string()) == tables.digest;
    if (changes.empty()) {
        m_environment.out << (sameText ? "no difference\n" : "only comments, spaces or order differ\n");
    }
}

ExitCode Commands::configDiff()
{
    Tables tables = readTables();
    nlohmann::json current = client().read("/v1/config");
    nlohmann::json answer = {{"version", current.value("version", ControlVersion(0))},
                             {"digest", tables.digest},
                             {"changes", diffAgainst(current, tables.control)}};
    return print(answer, [&] {
        printDiff(current, tables);
        m_environment.out << "against version " << answer["version"] << "; apply just this with --expected-version "
                          << answer["version"] << " --digest " << tables.digest << '\n';
    });
}

ChangeRequest Commands::makeApplyRequest(const nlohmann::json &current, const Tables &tables) const
{
    const SettingsKey key{"--expected-version", ValueType::Integer, false, "", 0, INT64_MAX, ""};
    ControlVersion version = current.value("version", ControlVersion(0));
    ChangeRequest request;
    request.path = "/v1/config";
    request.changeId = uniqueId();
    request.expectedVersion =
        static_cast<ControlVersion>(parseNumber(key, m_arguments.value("expected-version", std::to_string(version))));
    request.body = tablesBody(tables.control);
    request.body["change_id"] = request.changeId;
    request.body["who"] = operatorName();
    request.body["why"] = requiredOption("why");
    request.body["expected_version"] = request.expectedVersion;
    request.body["digest"] = tables.digest;
    return request;
}

ExitCode Commands::configApply()
{
    requiredOption("why");
    operatorName();
    Tables tables = readTables();
    if (m_arguments.value("digest", tables.digest) != tables.digest) {
        throw CommandFailure(ExitCode::Refused,
                             "digest-mismatch: the files have digest " + tables.digest + ", not the reviewed one");
    }
    nlohmann::json current = client().read("/v1/config");
    ChangeRequest request = makeApplyRequest(current, tables);
    ControlVersion version = current.value("version", ControlVersion(0));
    if (request.expectedVersion != version) {
        throw CommandFailure(ExitCode::Conflict,
                             "conflict: the current version is " + std::to_string(version) + ", not the reviewed "
                                 + std::to_string(request.expectedVersion));
    }
    if (!m_arguments.has("json")) {
        printDiff(current, tables);
    }
    if (current.value("digest", std::string()) == tables.digest) {
        ChangeResult result{version, current.value("in_force", false),
                            current.value("waiting_for", std::vector<std::string>())};
        return awaitAndPrintChange(result, "none; these tables were accepted before");
    }
    m_environment.err << "applying change " << request.changeId << " against version " << version << std::endl;
    return awaitAndPrintChange(client().change(request), request.changeId);
}

ExitCode Commands::configShow()
{
    std::string table = m_arguments.words.empty() ? std::string() : m_arguments.words[0];
    if (!table.empty() && table != "routes" && table != "pools") {
        throw CommandFailure(ExitCode::Usage, "there is no table " + table + "; give routes or pools");
    }
    nlohmann::json current = client().read("/v1/config");
    if (!table.empty()) {
        m_environment.out << current.value(table, std::string());
        return ExitCode::Ok;
    }
    return print(current, [&] {
        nlohmann::json summary = current;
        summary.erase("routes");
        summary.erase("pools");
        printObject(m_environment.out, summary);
        m_environment.out << "\nroutes:\n" << current.value("routes", std::string());
        m_environment.out << "\npools:\n" << current.value("pools", std::string());
    });
}

ExitCode Commands::printHistory()
{
    nlohmann::json history = client().read("/v1/config/history?" + limitQuery());
    return print(history, [&] {
        nlohmann::json rows = history.value("changes", nlohmann::json::array());
        for (nlohmann::json &row : rows) {
            row.erase("before");
            row.erase("after");
        }
        printTable(m_environment.out, rows, {"version", "when", "who", "kind", "why", "change_id"});
    });
}

ExitCode Commands::configHistory()
{
    return printHistory();
}

ExitCode Commands::settings()
{
    using Schema = const std::vector<SectionSchema> &(*)();
    const std::pair<const char *, Schema> schemas[] = {
        {"daemon", daemonSchema}, {"routes", routesSchema}, {"pools", poolsSchema}};
    std::string schemaName = m_arguments.words.empty() ? std::string() : m_arguments.words[0];
    bool found = false;
    for (const std::pair<const char *, Schema> &it : schemas) {
        if (schemaName.empty() || schemaName == it.first) {
            found = true;
            m_environment.out << (m_arguments.has("markdown") ? schemaMarkdown(it.second()) : schemaHelp(it.second()));
        }
    }
    if (!found) {
        throw CommandFailure(ExitCode::Usage,
                             "there are no settings of " + schemaName + "; give daemon, routes or pools");
    }
    return ExitCode::Ok;
}

} // namespace fescueledge
