#include "peerframe_pvt.h"

namespace fescueledge {

std::string encodeFrame(const PeerFrame &frame)
{
    const nlohmann::json json = {
        {"i", frame.id}, {"r", frame.isReply}, {"f", frame.from}, {"k", frame.message.kind}, {"b", frame.message.body}};
    std::string bytes;
    nlohmann::json::to_cbor(json, bytes);
    return bytes;
}

bool decodeFrame(const std::string &bytes, PeerFrame *frame)
{
    const nlohmann::json json = nlohmann::json::from_cbor(bytes, true, false);
    if (!json.is_object() || !json.contains("b")) {
        return false;
    }
    try {
        json.at("i").get_to(frame->id);
        json.at("r").get_to(frame->isReply);
        json.at("f").get_to(frame->from);
        json.at("k").get_to(frame->message.kind);
        frame->message.body = json.at("b");
    } catch (const nlohmann::json::exception &) {
        return false;
    }
    return true;
}

} // namespace fescueledge
