#include "commands_pvt.h"

#include "jsontext_pvt.h"

#include "fescueledge/controlstate.h"
#include "fescueledge/tablediff.h"

#include <ostream>

namespace fescueledge {

namespace {

/// Prints who changed what, when and why, with each key before and after.
void printAudit(std::ostream &out, const nlohmann::json &change)
{
    out << "version " << change.value("version", ControlVersion(0)) << ", " << change.value("when", "?") << ", "
        << change.value("who", "?") << ": " << change.value("why", "?") << " (change " << change.value("change_id", "?")
        << ")\n";
    ControlState before = controlStateFromJson(change.value("before", nlohmann::json::object()));
    ControlState after = controlStateFromJson(change.value("after", nlohmann::json::object()));
    for (const TableChange &it : diffTables(before, after)) {
        out << "  " << it.toString() << '\n';
    }
}

} // namespace

ExitCode Commands::status()
{
    nlohmann::json answer = client().read("/v1/status");
    return print(answer, [&] {
        printObject(m_environment.out, answer);
    });
}

ExitCode Commands::explainTask()
{
    const std::string &task = m_arguments.words[0];
    std::size_t slash = task.rfind('/');
    if (slash == std::string::npos || slash + 1 == task.size()) {
        throw CommandFailure(ExitCode::Usage, "a task is named JOB/INDEX");
    }
    std::string path = urlEncoded(task.substr(0, slash)) + "/" + urlEncoded(task.substr(slash + 1));
    nlohmann::json answer = client().read("/v1/explain/task/" + path);
    return print(answer, [&] {
        printObject(m_environment.out, answer);
    });
}

ExitCode Commands::explainRequest()
{
    nlohmann::json answer = client().read("/v1/explain/request/" + urlEncoded(m_arguments.words[0]));
    return print(answer, [&] {
        printObject(m_environment.out, answer);
    });
}

ExitCode Commands::audit()
{
    nlohmann::json answer = client().read("/v1/audit?" + limitQuery());
    return print(answer, [&] {
        for (const nlohmann::json &change : answer.value("changes", nlohmann::json::array())) {
            printAudit(m_environment.out, change);
        }
    });
}

} // namespace fescueledge
