#include "apierror_pvt.h"

#include "fescueledge/settingserror.h"

#include <glog/logging.h>
#include <utility>

namespace fescueledge {

namespace {

nlohmann::json findingsJson(const SettingsError &error)
{
    nlohmann::json out = nlohmann::json::array();
    for (const Finding &finding : error.findings()) {
        out.push_back({{"file", finding.file},
                       {"line", finding.line},
                       {"section", finding.section},
                       {"key", finding.key},
                       {"message", finding.message()}});
    }
    return out;
}

} // namespace

int httpStatus(ErrorKind kind)
{
    switch (kind) {
    case ErrorKind::InvalidArgument:
        return 400;
    case ErrorKind::InvalidSettings:
    case ErrorKind::NeverRunnable:
    case ErrorKind::DigestMismatch:
    case ErrorKind::KeyReused:
        return 422;
    case ErrorKind::Unauthorized:
        return 401;
    case ErrorKind::NotFound:
    case ErrorKind::NoRoute:
        return 404;
    case ErrorKind::Conflict:
    case ErrorKind::InProgress:
        return 409;
    case ErrorKind::LimitExceeded:
        return 429;
    case ErrorKind::DeadlineExceeded:
        return 504;
    case ErrorKind::EndpointFailed:
    case ErrorKind::EndpointUnreachable:
    case ErrorKind::PeerUnreachable:
        return 502;
    case ErrorKind::NoCapacity:
    case ErrorKind::StoreUnavailable:
    case ErrorKind::StoreOutcomeUnknown:
    case ErrorKind::NotActing:
    case ErrorKind::ShuttingDown:
        return 503;
    case ErrorKind::Internal:
        return 500;
    }
    return 500;
}

void answerError(httplib::Response &response, ErrorKind kind, const std::string &message, RunOutcome outcome)
{
    const nlohmann::json error = {
        {"type", errorKindName(kind)}, {"message", message}, {"outcome", runOutcomeName(outcome)}};
    answerJson(response, {{"error", error}}, httpStatus(kind));
}

void answerJson(httplib::Response &response, const nlohmann::json &json, int status)
{
    response.status = status;
    response.set_content(json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace), "application/json");
}

nlohmann::json parseBody(const httplib::Request &request)
{
    nlohmann::json json = nlohmann::json::parse(request.body, nullptr, false);
    if (!json.is_object()) {
        throw Error(ErrorKind::InvalidArgument, "the body must be a JSON object");
    }
    return json;
}

httplib::Server::Handler withErrorHandling(httplib::Server::Handler handler)
{
    return [handler = std::move(handler)](const httplib::Request &request, httplib::Response &response) {
        try {
            handler(request, response);
        } catch (const SettingsError &error) {
            answerError(response, error.kind(), error.what());
            nlohmann::json body = nlohmann::json::parse(response.body);
            body["findings"] = findingsJson(error);
            answerJson(response, body, 422);
        } catch (const Error &error) {
            answerError(response, error.kind(), error.what(), error.outcome());
        } catch (const nlohmann::json::exception &error) {
            answerError(response, ErrorKind::InvalidArgument, error.what());
        }
    };
}

} // namespace fescueledge
