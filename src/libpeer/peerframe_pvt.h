#pragma once

#include "fescueledge/peertransport.h"

#include <cstdint>
#include <string>

namespace fescueledge {

/// One websocket message: a call or a reply.
struct PeerFrame
{
    std::uint64_t id = 0; ///< Matches a reply to its call; unique within the caller's process.
    bool isReply = false;
    NodeId from;
    PeerMessage message;
};

/// Encodes @p frame as CBOR.
std::string encodeFrame(const PeerFrame &frame);

/// Decodes a frame. Returns false if @p bytes are malformed.
bool decodeFrame(const std::string &bytes, PeerFrame *frame);

} // namespace fescueledge
