#pragma once

#include "fescueledge/peertransport.h"

#include <glog/logging.h>
#include <nlohmann/json.hpp>
#include <optional>

namespace fescueledge {

/// The body of @p message as a @p Body; nothing, with a log line, if another release spells it differently.
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
