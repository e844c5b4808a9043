#include "noderow_pvt.h"

#include "fescueledge/row.h"

#include <nlohmann/json.hpp>

namespace fescueledge {

std::string nodeKey(const NodeId &node)
{
    return nodePrefix + node;
}

std::string encodeNodeRow(const NodeRow &row)
{
    nlohmann::json group = nlohmann::json::array();
    for (const Grantor &grantor : row.group) {
        group.push_back({{"node", grantor.node}, {"incarnation", grantor.incarnation}});
    }
    const nlohmann::json json = {{"node", row.identity.id},
                                 {"data_centre", row.identity.dataCentre},
                                 {"peer_address", row.identity.peerAddress},
                                 {"http_address", row.identity.httpAddress},
                                 {"incarnation", row.incarnation},
                                 {"group", group},
                                 {"fenced", row.fenced},
                                 {"listed", row.listed},
                                 {"draining", row.draining}};
    return json.dump();
}

NodeRow decodeNodeRow(const Row &row)
{
    const nlohmann::json json = nlohmann::json::parse(row.value);
    NodeRow result;
    json.at("node").get_to(result.identity.id);
    json.at("data_centre").get_to(result.identity.dataCentre);
    json.at("peer_address").get_to(result.identity.peerAddress);
    json.at("http_address").get_to(result.identity.httpAddress);
    json.at("incarnation").get_to(result.incarnation);
    json.at("fenced").get_to(result.fenced);
    json.at("listed").get_to(result.listed);
    json.at("draining").get_to(result.draining);
    for (const nlohmann::json &grantor : json.at("group")) {
        result.group.push_back(Grantor{grantor.at("node"), grantor.at("incarnation")});
    }
    if (result.incarnation == 0) {
        result.incarnation = row.version;
    }
    return result;
}

} // namespace fescueledge
