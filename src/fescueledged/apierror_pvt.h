#pragma once

#include "fescueledge/error.h"

#include <httplib.h>
#include <nlohmann/json.hpp>

namespace fescueledge {

/// The HTTP status that stands for @p kind.
int httpStatus(ErrorKind kind);

/// Answers with `{"error": {"type", "message", "outcome"}}` and the status of @p kind.
void answerError(httplib::Response &response, ErrorKind kind, const std::string &message,
                 RunOutcome outcome = RunOutcome::NotRun);

/// Answers with @p json.
void answerJson(httplib::Response &response, const nlohmann::json &json, int status = 200);

/// Parses the body of @p request; throws Error of kind InvalidArgument if it is not a JSON object.
nlohmann::json parseBody(const httplib::Request &request);

/// Wraps @p handler so that an Error or a malformed body is answered as a typed error.
httplib::Server::Handler withErrorHandling(httplib::Server::Handler handler);

} // namespace fescueledge
