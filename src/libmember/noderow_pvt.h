#pragma once

#include "fescueledge/nodeidentity.h"
#include "grantorgroup_pvt.h"

#include <string>

namespace fescueledge {

struct Row;

/// The row `node/<id>`: the registration of one node in the table service.
struct NodeRow
{
    NodeIdentity identity;
    Incarnation incarnation = 0; ///< Row version of the write that registered this run of the daemon.
    GrantorGroup group;
    bool fenced = false; ///< This incarnation may never act again.
    bool listed = false; ///< The node has found itself in the VM list.
    bool draining = false; ///< The node accepts no more shards.

    Grantor grantor() const
    {
        return Grantor{identity.id, incarnation};
    }
};

/// Prefix of the keys of all node rows.
constexpr const char *nodePrefix = "node/";
/// Key of the row of @p node.
std::string nodeKey(const NodeId &node);
/// Encodes @p row as JSON text.
std::string encodeNodeRow(const NodeRow &row);
/// Decodes a node row. A row without an incarnation is a registration, and its incarnation is the row's version.
NodeRow decodeNodeRow(const Row &row);

} // namespace fescueledge
