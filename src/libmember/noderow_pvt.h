#pragma once

#include "fescueledge/nodeidentity.h"
#include "grantorgroup_pvt.h"

#include <string>

namespace fescueledge {

struct Row;

/// The row `node/<id>`: one node as the table service knows it.
struct NodeRow
{
    NodeIdentity identity;
    Incarnation incarnation = 0; ///< Version of the write that registered this run of the daemon.
    GrantorGroup group;
    bool fenced = false; ///< This run has lost the right to act for good.
    bool listed = false; ///< The node has seen itself in the VM list.
    bool draining = false; ///< The node takes no more shards.

    Grantor grantor() const
    {
        return Grantor{identity.id, incarnation};
    }
};

/// Prefix of the keys of all node rows.
constexpr const char *nodePrefix = "node/";
/// Key of the row of @p node.
std::string nodeKey(const NodeId &node);
/// The value of @p row as JSON text.
std::string encodeNodeRow(const NodeRow &row);
/// Reads a node row. A row that has no incarnation yet is a registration: its incarnation is the row's version.
NodeRow decodeNodeRow(const Row &row);

} // namespace fescueledge
