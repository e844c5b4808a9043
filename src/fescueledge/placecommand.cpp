#include "commands_pvt.h"

#include "jsontext_pvt.h"

#include <fstream>
#include <ostream>
#include <sstream>

namespace fescueledge {

namespace {

using nlohmann::json;

json readJob(const std::string &file)
{
    std::ifstream in(file, std::ios::binary);
    std::ostringstream text;
    text << in.rdbuf();
    if (!in) {
        throw CommandFailure(ExitCode::Usage, "cannot read " + file);
    }
    json job = json::parse(text.str(), nullptr, false);
    if (!job.is_object()) {
        throw CommandFailure(ExitCode::Usage, file + " is not a JSON object");
    }
    return job;
}

std::string amounts(const json &resources)
{
    return resources.is_object() ? resources.dump() : std::string("-");
}

/// The rows of the table of steps: one for each, without the lists.
json stepRows(const json &steps)
{
    json rows = json::array();
    for (const json &step : steps) {
        std::string workers;
        for (const auto &[verdict, count] : step.at("workers").items()) {
            workers += (workers.empty() ? "" : " ") + verdict + "=" + count.dump();
        }
        const json &candidates = step.at("candidates");
        rows.push_back({{"step", step.at("step")},
                        {"tasks", step.at("tasks")},
                        {"outcome", step.at("outcome")},
                        {"room_for_tasks", step.at("room_for_tasks")},
                        {"expected_start_ms", step.at("expected_start_ms")},
                        {"first_choice", candidates.empty() ? json() : candidates.at(0).at("worker")},
                        {"workers", workers}});
    }
    return rows;
}

json candidateRows(const json &steps)
{
    json rows = json::array();
    for (const json &step : steps) {
        for (const json &candidate : step.at("candidates")) {
            json row = candidate;
            row["step"] = step.at("step");
            row["free"] = amounts(candidate.at("free"));
            rows.push_back(std::move(row));
        }
    }
    return rows;
}

json reservationRows(const json &workers)
{
    json rows = json::array();
    for (const json &worker : workers) {
        json row = worker;
        row["free"] = amounts(worker.at("free"));
        row["need"] = amounts(worker.value("need", json()));
        row["expected_start_ms"] = worker.value("expected_start_ms", json());
        rows.push_back(std::move(row));
    }
    return rows;
}

void printPlace(std::ostream &out, const json &answer)
{
    const json &account = answer.at("account");
    out << "queue: " << answer.at("queue").get<std::string>() << "\nterm: " << answer.at("term")
        << "\nlook_ahead: " << (answer.at("look_ahead").get<bool>() ? "yes" : "no")
        << "\nsends_orders: " << (answer.at("sends_orders").get<bool>() ? "yes" : "no")
        << "\nwaiting: " << answer.at("waiting").at("tasks") << " tasks of " << answer.at("waiting").at("steps")
        << " steps\nreserved workers: " << answer.at("reservations").at("count") << '\n';
    if (account.is_object()) {
        out << "account: " << account.at("name").get<std::string>() << ", limit " << amounts(account.at("limit"))
            << ", used " << amounts(account.at("used")) << ", on workers with unknown runs "
            << amounts(account.at("unknown")) << '\n';
    }
    out << "\nsteps:\n";
    printTable(out, stepRows(answer.at("steps")),
               {"step", "tasks", "outcome", "room_for_tasks", "expected_start_ms", "first_choice", "workers"});
    if (answer.at("steps_left_out") != 0) {
        out << answer.at("steps_left_out") << " more steps are left out\n";
    }
    const json candidates = candidateRows(answer.at("steps"));
    if (!candidates.empty()) {
        out << "\ncandidates, the best first:\n";
        printTable(out, candidates, {"step", "worker", "data_centre", "rack", "cost", "free"});
    }
    const json reserved = reservationRows(answer.at("reservations").at("workers"));
    if (!reserved.empty()) {
        out << "\nreservations:\n";
        printTable(out, reserved, {"worker", "long_running", "expected_start_ms", "free", "need"});
    }
}

} // namespace

ExitCode Commands::explainPlace()
{
    const json question{{"host", requiredOption("host")},
                        {"path", requiredOption("path")},
                        {"account", m_arguments.value("account")},
                        {"job", readJob(m_arguments.words[0])}};
    const json answer = clientWithoutToken().sendRepeatable({"POST", "/explain/place", question.dump()});
    try {
        return print(answer, [&] {
            printPlace(m_environment.out, answer);
        });
    } catch (const json::exception &) {
        throw CommandFailure(ExitCode::Refused, "the node's answer is not an explanation; is it a metrics listener?");
    }
}

} // namespace fescueledge
