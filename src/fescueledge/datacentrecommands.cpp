#include "commands_pvt.h"

#include "jsontext_pvt.h"

#include <ostream>

namespace fescueledge {

ExitCode Commands::changeDataCentre(const char *direction)
{
    ChangeRequest request;
    request.path = "/v1/datacentres/" + urlEncoded(m_arguments.words[0]) + "/" + direction;
    request.changeId = uniqueId();
    request.body = {{"change_id", request.changeId}, {"who", operatorName()}, {"why", requiredOption("why")}};
    return awaitAndPrintChange(client().change(request), request.changeId);
}

ExitCode Commands::dataCentreOut()
{
    return changeDataCentre("out");
}

ExitCode Commands::dataCentreIn()
{
    return changeDataCentre("in");
}

ExitCode Commands::dataCentreList()
{
    nlohmann::json answer = client().read("/v1/datacentres");
    return print(answer, [&] {
        printTable(m_environment.out, answer.value("data_centres", nlohmann::json::array()),
                   {"name", "out", "workers", "entry_vms", "tasks_running"});
    });
}

} // namespace fescueledge
