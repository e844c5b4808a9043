#include "orderrow_pvt.h"

#include "fescueledge/digest.h"
#include "fescueledge/error.h"

#include <array>
#include <nlohmann/json.hpp>
#include <openssl/evp.h>

namespace fescueledge {

namespace {

const std::array<const char *, 4> stateNames{"sending", "done", "not-run", "unknown"};

OrderRow::State stateFromName(const std::string &name)
{
    for (std::size_t n = 0; n < stateNames.size(); ++n) {
        if (name == stateNames[n]) {
            return static_cast<OrderRow::State>(n);
        }
    }
    return OrderRow::State::Unknown;
}

std::string toBase64(const std::string &bytes)
{
    std::string text((bytes.size() + 2) / 3 * 4 + 1, '\0');
    const int n =
        EVP_EncodeBlock(reinterpret_cast<unsigned char *>(text.data()),
                        reinterpret_cast<const unsigned char *>(bytes.data()), static_cast<int>(bytes.size()));
    text.resize(static_cast<std::size_t>(n));
    return text;
}

std::string fromBase64(const std::string &text, std::size_t size)
{
    std::string bytes(text.size() / 4 * 3, '\0');
    const int n = EVP_DecodeBlock(reinterpret_cast<unsigned char *>(bytes.data()),
                                  reinterpret_cast<const unsigned char *>(text.data()), static_cast<int>(text.size()));
    if (n < 0 || static_cast<std::size_t>(n) < size) {
        throw Error(ErrorKind::Internal, "malformed body in an order row");
    }
    bytes.resize(size);
    return bytes;
}

/// Appends @p part with its length, so that different lists of parts never give the same text.
void append(std::string &text, const std::string &part)
{
    text += std::to_string(part.size()) + ":" + part;
}

} // namespace

std::string orderRowKey(const std::string &customer, const std::string &key)
{
    // The length keeps rows apart when customers or keys contain a slash.
    return "order/" + std::to_string(customer.size()) + ":" + customer + "/" + key;
}

std::string orderDigest(const ServiceRequest &request)
{
    std::string text;
    append(text, request.method);
    append(text, request.host);
    append(text, request.path);
    append(text, request.body);
    return sha256Hex(text);
}

std::string encodeOrderRow(const OrderRow &row)
{
    nlohmann::json json{{"state", stateNames.at(static_cast<std::size_t>(row.state))},
                        {"digest", row.digest},
                        {"request", row.requestId},
                        {"node", row.node},
                        {"incarnation", row.incarnation}};
    if (row.hasResponse) {
        json["response"] = {{"status", row.response.status},
                            {"headers", row.response.headers},
                            {"size", row.response.body.size()},
                            {"body", toBase64(row.response.body)}};
    }
    return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

OrderRow decodeOrderRow(const std::string &text)
{
    try {
        const nlohmann::json json = nlohmann::json::parse(text);
        OrderRow row;
        row.state = stateFromName(json.at("state").get<std::string>());
        json.at("digest").get_to(row.digest);
        json.at("request").get_to(row.requestId);
        json.at("node").get_to(row.node);
        json.at("incarnation").get_to(row.incarnation);
        const auto response = json.find("response");
        row.hasResponse = response != json.end();
        if (row.hasResponse) {
            response->at("status").get_to(row.response.status);
            response->at("headers").get_to(row.response.headers);
            row.response.body =
                fromBase64(response->at("body").get<std::string>(), response->at("size").get<std::size_t>());
        }
        return row;
    } catch (const nlohmann::json::exception &e) {
        throw Error(ErrorKind::Internal, std::string("malformed order row: ") + e.what());
    }
}

} // namespace fescueledge
