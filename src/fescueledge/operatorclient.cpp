#include "operatorclient_pvt.h"

#include "cliclock_pvt.h"

#include <algorithm>

namespace fescueledge {

namespace {

constexpr Milliseconds maxRequestTimeout{10000}; ///< For one answer.
constexpr Milliseconds minRequestTimeout{500}; ///< For one answer, even if the command's timeout has nearly passed.
constexpr Milliseconds pollInterval{250};
constexpr int historyLookupLimit = 200; ///< Changes that one lookup searches for a change id.
constexpr int statusOk = 200;
constexpr int statusMultipleChoices = 300;
constexpr int statusConflict = 409;
constexpr int statusUnavailable = 503;

bool isSuccess(const ApiResponse &response)
{
    return response.status >= statusOk && response.status < statusMultipleChoices;
}

/// Parses the body of @p response; returns a discarded value if it is not JSON.
nlohmann::json parseBody(const ApiResponse &response)
{
    return nlohmann::json::parse(response.body, nullptr, false);
}

nlohmann::json errorObject(const nlohmann::json &body)
{
    return body.is_object() ? body.value("error", nlohmann::json::object()) : nlohmann::json::object();
}

std::string stringMember(const nlohmann::json &object, const char *member, const std::string &fallback)
{
    return object.is_object() && object.contains(member) && object[member].is_string()
        ? object[member].get<std::string>()
        : fallback;
}

/// True if the node states that it did not run the request; false if the answer has no such error body.
bool reportsNotRun(const ApiResponse &response)
{
    return stringMember(errorObject(parseBody(response)), "outcome", "unknown") == "not run";
}

std::string errorText(const ApiResponse &response)
{
    nlohmann::json body = parseBody(response);
    nlohmann::json error = errorObject(body);
    nlohmann::json findings = body.is_object() ? body.value("findings", nlohmann::json::array()) : nlohmann::json();
    std::string message = findings.empty() ? stringMember(error, "message", "no message")
                                           : std::to_string(findings.size()) + " findings of the node";
    std::string text = stringMember(error, "type", "status " + std::to_string(response.status)) + ": " + message + " ("
        + stringMember(error, "outcome", "outcome unknown") + ")";
    if (body.is_object() && body.contains("current_version")) {
        text += "; the current version is " + body["current_version"].dump();
    }
    for (const nlohmann::json &finding : findings) {
        text += "\n" + stringMember(finding, "file", "?") + ":" + std::to_string(finding.value("line", 0)) + ": ["
            + stringMember(finding, "section", "") + "] " + stringMember(finding, "key", "") + ": "
            + stringMember(finding, "message", "");
    }
    return text;
}

ChangeResult changeResult(const nlohmann::json &answer)
{
    ChangeResult result;
    result.version = answer.value("version", ControlVersion(0));
    result.inForce = answer.value("in_force", false);
    result.waitingFor = answer.value("waiting_for", std::vector<std::string>());
    return result;
}

} // namespace

OperatorClient::OperatorClient(OperatorTransport &transport, CliClock &clock, std::vector<std::string> nodes,
                               Milliseconds timeout)
    : m_transport(transport)
    , m_clock(clock)
    , m_nodes(std::move(nodes))
    , m_deadline(clock.now() + timeout)
{
}

Milliseconds OperatorClient::nextRequestTimeout()
{
    Milliseconds remaining = std::chrono::duration_cast<Milliseconds>(m_deadline - m_clock.now());
    return std::clamp(remaining, minRequestTimeout, maxRequestTimeout);
}

/// Tries the nodes in order. After a 503 the next node is tried if the request is repeatable or the node states that it
/// did not run it.
ApiResponse OperatorClient::sendToFirstReachable(const ApiRequest &request, bool repeatable)
{
    ApiResponse last;
    for (const std::string &node : m_nodes) {
        ApiResponse response = m_transport.send(node, request, nextRequestTimeout());
        bool tryNext = response.delivery == ApiResponse::Delivery::NotSent;
        if (response.delivery == ApiResponse::Delivery::Answered && response.status == statusUnavailable) {
            tryNext = repeatable || reportsNotRun(response);
        }
        if (response.delivery == ApiResponse::Delivery::Lost) {
            tryNext = repeatable;
        }
        if (!tryNext) {
            return response;
        }
        if (last.delivery != ApiResponse::Delivery::Answered) {
            last = response;
        }
    }
    return last;
}

nlohmann::json OperatorClient::sendRepeatable(const ApiRequest &request)
{
    ApiResponse response = sendToFirstReachable(request, true);
    if (response.delivery != ApiResponse::Delivery::Answered) {
        throw CommandFailure(ExitCode::Unreachable, "no node answered");
    }
    if (!isSuccess(response)) {
        throw CommandFailure(ExitCode::Refused, errorText(response));
    }
    nlohmann::json body = parseBody(response);
    if (body.is_discarded()) {
        throw CommandFailure(ExitCode::Unreachable, "the node's answer is not JSON");
    }
    return body;
}

nlohmann::json OperatorClient::read(const std::string &path)
{
    return sendRepeatable({"GET", path, ""});
}

std::optional<nlohmann::json> OperatorClient::sendOnce(const ApiRequest &request)
{
    ApiResponse response = sendToFirstReachable(request, false);
    if (response.delivery == ApiResponse::Delivery::NotSent) {
        throw CommandFailure(ExitCode::Unreachable, "no node could be reached; nothing was sent");
    }
    if (response.delivery == ApiResponse::Delivery::Lost) {
        return std::nullopt;
    }
    if (response.status == statusConflict) {
        throw CommandFailure(ExitCode::Conflict, errorText(response));
    }
    nlohmann::json body = parseBody(response);
    if (isSuccess(response) && body.is_object()) {
        return body;
    }
    if (isSuccess(response) || (response.status >= 500 && !reportsNotRun(response))) {
        return std::nullopt;
    }
    throw CommandFailure(ExitCode::Refused, errorText(response));
}

ChangeResult OperatorClient::change(const ChangeRequest &request)
{
    std::optional<nlohmann::json> answer = sendOnce({"POST", request.path, request.body.dump()});
    return answer ? changeResult(*answer) : lookUpChange(request);
}

/// Polls the history for the change until the command's timeout passes.
ChangeResult OperatorClient::lookUpChange(const ChangeRequest &request)
{
    while (true) {
        try {
            std::optional<ChangeResult> found = findInHistory(request);
            if (found) {
                return *found;
            }
        } catch (const CommandFailure &failure) {
            if (failure.code() == ExitCode::Conflict) {
                throw;
            }
        }
        if (m_clock.now() >= m_deadline) {
            throw CommandFailure(ExitCode::Unknown,
                                 "the answer was lost and change " + request.changeId
                                     + " is not in the history yet; it may still be made. Look for it with: "
                                       "fescueledge config history");
        }
        m_clock.sleepFor(pollInterval);
    }
}

/// Looks for the change in the history. If another change has become the version that this one asked for, this one was
/// not made and never will be.
std::optional<ChangeResult> OperatorClient::findInHistory(const ChangeRequest &request)
{
    nlohmann::json history = read("/v1/config/history?limit=" + std::to_string(historyLookupLimit));
    for (const nlohmann::json &change : history.value("changes", nlohmann::json::array())) {
        ControlVersion version = change.value("version", ControlVersion(0));
        if (change.value("change_id", std::string()) == request.changeId) {
            return fetchVersionState(version);
        }
        if (request.expectedVersion != 0 && version == request.expectedVersion + 1) {
            throw CommandFailure(ExitCode::Conflict,
                                 "another change became version " + std::to_string(version)
                                     + "; this one was not made");
        }
    }
    return std::nullopt;
}

/// Fetches the state of @p version, which was accepted; reports it as not in force if that fails.
ChangeResult OperatorClient::fetchVersionState(ControlVersion version)
{
    try {
        return changeResult(read("/v1/config/version/" + std::to_string(version)));
    } catch (const CommandFailure &) {
        ChangeResult result;
        result.version = version;
        return result;
    }
}

bool OperatorClient::awaitInForce(ChangeResult &result, const Progress &progress)
{
    TimePoint start = m_clock.now();
    while (!result.inForce) {
        progress(result, std::chrono::duration_cast<Milliseconds>(m_clock.now() - start));
        if (m_clock.now() >= m_deadline) {
            return false;
        }
        m_clock.sleepFor(pollInterval);
        result = fetchVersionState(result.version);
    }
    return true;
}

} // namespace fescueledge
