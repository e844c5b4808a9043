#include "commands_pvt.h"

#include "jsontext_pvt.h"

#include "fescueledge/resources.h"
#include "fescueledge/settingsschema.h"

#include <fstream>
#include <ostream>

namespace fescueledge {

namespace {

constexpr std::int64_t maxOptionValue = 1000000000;

/// Parses option @p name as a number of @p type; 0 if it is not given.
std::int64_t numberOption(const Arguments &arguments, const char *name, ValueType type)
{
    if (!arguments.has(name)) {
        return 0;
    }
    std::string optionText = "--" + std::string(name);
    const SettingsKey key{optionText.c_str(), type, false, "", 0, maxOptionValue, ""};
    return parseNumber(key, arguments.value(name));
}

nlohmann::json readJson(const std::string &path)
{
    std::ifstream file(path);
    nlohmann::json json = nlohmann::json::parse(file, nullptr, false);
    if (!json.is_object()) {
        throw CommandFailure(ExitCode::Usage, path + " can't be read as a JSON object");
    }
    return json;
}

/// Determines the outcome of a request with @p lookUp after its answer was lost.
/// @throws CommandFailure with Unknown and @p remedy if the outcome stays unknown.
nlohmann::json recoverLostAnswer(const std::function<std::optional<nlohmann::json>()> &lookUp,
                                 const std::string &remedy)
{
    std::string reason = "the outcome is not known yet";
    try {
        std::optional<nlohmann::json> answer = lookUp();
        if (answer) {
            return *answer;
        }
    } catch (const CommandFailure &failure) {
        reason = failure.what();
    }
    throw CommandFailure(ExitCode::Unknown,
                         "the answer was lost and the outcome could not be determined: " + reason + "; " + remedy);
}

/// @p job if it was cancelled or has ended.
std::optional<nlohmann::json> jobIfEndedOrCancelled(const nlohmann::json &job)
{
    bool isOver = !job.value("cancelled_by", std::string()).empty() || job.value("ended", false);
    return isOver ? std::optional<nlohmann::json>(job) : std::nullopt;
}

} // namespace

nlohmann::json Commands::jobSpec() const
{
    nlohmann::json spec = m_arguments.words.empty() ? nlohmann::json::object() : readJson(m_arguments.words[0]);
    for (const char *name : {"customer", "team", "key", "name", "class", "pool"}) {
        if (m_arguments.has(name)) {
            spec[name] = m_arguments.value(name);
        }
    }
    if (m_arguments.has("tasks")) {
        spec["task_count"] = numberOption(m_arguments, "tasks", ValueType::Integer);
    }
    if (m_arguments.has("payload")) {
        spec["payloads"] = {m_arguments.value("payload")};
    }
    if (m_arguments.has("cores") || m_arguments.has("memory") || m_arguments.has("accelerators")) {
        spec["resources"] = Resources{numberOption(m_arguments, "cores", ValueType::Decimal),
                                      numberOption(m_arguments, "memory", ValueType::Size),
                                      numberOption(m_arguments, "accelerators", ValueType::Integer)};
    }
    if (!spec.contains("key")) {
        spec["key"] = uniqueId();
    }
    return spec;
}

ExitCode Commands::jobsSubmit()
{
    nlohmann::json spec = jobSpec();
    ApiRequest request{"POST", "/v1/jobs", spec.dump()};
    std::optional<nlohmann::json> answer = client().sendOnce(request);
    if (!answer) {
        // Sending the request again is the lookup: a job that was accepted is found by its idempotency key and not
        // submitted twice.
        m_environment.err << "the answer was lost; retrying with key " << spec["key"] << std::endl;
        answer = recoverLostAnswer(
            [&] {
                return client().sendOnce(request);
            },
            "submit the same job again with --key " + spec["key"].get<std::string>());
    }
    return print(*answer, [&] {
        printObject(m_environment.out, *answer);
    });
}

ExitCode Commands::jobsShow()
{
    nlohmann::json answer = client().read("/v1/jobs/" + urlEncoded(m_arguments.words[0]));
    return print(answer, [&] {
        printObject(m_environment.out, answer);
    });
}

ExitCode Commands::jobsList()
{
    std::string query = limitQuery();
    for (const char *name : {"customer", "state"}) {
        if (m_arguments.has(name)) {
            query += "&" + std::string(name) + "=" + urlEncoded(m_arguments.value(name));
        }
    }
    nlohmann::json answer = client().read("/v1/jobs?" + query);
    return print(answer, [&] {
        printTable(m_environment.out, answer.value("jobs", nlohmann::json::array()),
                   {"job", "customer", "team", "name", "state"});
    });
}

ExitCode Commands::jobsCancel()
{
    std::string path = "/v1/jobs/" + urlEncoded(m_arguments.words[0]);
    std::optional<nlohmann::json> answer =
        client().sendOnce({"DELETE", path + "?who=" + urlEncoded(operatorName()), ""});
    if (!answer) {
        answer = recoverLostAnswer(
            [&] {
                return jobIfEndedOrCancelled(client().read(path));
            },
            "cancel the job again, which is safe");
    }
    return print(*answer, [&] {
        printObject(m_environment.out, *answer);
    });
}

} // namespace fescueledge
