#include "commands_pvt.h"

#include "jsontext_pvt.h"

#include <ostream>

namespace fescueledge {

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
        printObject(m_environment.out, answer);
    });
}

} // namespace fescueledge
