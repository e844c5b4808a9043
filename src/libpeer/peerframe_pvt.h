#pragma once

#include "fescueledge/peertransport.h"

#include <cstdint>
#include <string>

namespace fescueledge {

/// One websocket message: a call or the reply to one.
struct PeerFrame
{
    std::uint64_t id = 0; ///< Matches a reply to its call; unique for the caller's process.
    bool isReply = false;
    NodeId from;
    PeerMessage message;
};

/// The CBOR form of @p frame.
std::string encodeFrame(const PeerFrame &frame);

/// Reads a frame. Returns false if @p bytes are not one.
bool decodeFrame(const std::string &bytes, PeerFrame *frame);

} // namespace fescueledge
