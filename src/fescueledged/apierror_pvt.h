#pragma once

#include "fescueledge/error.h"

#include <httplib.h>
#include <nlohmann/json.hpp>

namespace fescueledge {

/// The HTTP status code for an error of kind @p kind.
int httpStatus(ErrorKind kind);

/// Sends `{"error": {"type", "message", "outcome"}}` with the HTTP status of @p kind.
void answerError(httplib::Response &response, ErrorKind kind, const std::string &message,
                 RunOutcome outcome = RunOutcome::NotRun);

/// Sends @p json with HTTP status @p status.
void answerJson(httplib::Response &response, const nlohmann::json &json, int status = 200);

/// Parses the body of @p request. @throws Error of kind InvalidArgument if it is not a JSON object.
nlohmann::json parseBody(const httplib::Request &request);

/// Wraps @p handler so that an Error or a JSON exception becomes a typed error response.
httplib::Server::Handler withErrorHandling(httplib::Server::Handler handler);

} // namespace fescueledge
