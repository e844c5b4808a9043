#pragma once

#include "fescueledge/peertransport.h"

#include <glog/logging.h>
#include <nlohmann/json.hpp>
#include <optional>

namespace fescueledge {

/// Parses the body of @p message as a @p Body. Logs an error and returns nothing if it does not match, as with a
/// message of a release that uses another format.
template<typename Body>
std::optional<Body> parseBody(const PeerMessage &message)
{
    try {
        return message.body.get<Body>();
    } catch (const nlohmann::json::exception &e) {
        LOG(ERROR) << "peer_message_malformed kind=" << message.kind << " error=" << e.what();
        return std::nullopt;
    }
}

} // namespace fescueledge
