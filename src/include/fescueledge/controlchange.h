#pragma once

#include "fescueledge/types.h"

#include <chrono>
#include <set>
#include <string>
#include <vector>

namespace fescueledge {

/// The configuration that operators decide, without a version.
struct ControlContent
{
    std::string routesText;
    std::string poolsText;
    std::set<DataCentreId> dataCentresOut;

    /// The SHA-256 of the whole content, in hexadecimal. Different contents have different digests.
    std::string digest() const;
    bool operator==(const ControlContent &other) const;
};

/// The origin of a change, for the audit trail.
struct ChangeOrigin
{
    std::string who; ///< Name of the operator.
    std::string why; ///< Reason given by the operator.
    std::string changeId = {}; ///< Chosen by the operator's program; identifies the change when an answer was lost.
};

/// A change that an operator proposes.
struct ControlChange
{
    ChangeOrigin origin;
    ControlVersion expectedVersion = 0; ///< The version that the change is based on.
    std::string expectedDigest; ///< Digest of the content that was reviewed.
    ControlContent content; ///< The whole new content.
};

/// The result of a proposed change.
struct ControlOutcome
{
    enum class Status {
        InForce, ///< Accepted, and no node acts on an older version.
        Waiting, ///< Accepted; some nodes may still act on an older version.
        Conflict, ///< The change is based on a version that is not the current one. Nothing was written.
        DigestMismatch, ///< The content differs from the reviewed one. Nothing was written.
        Invalid, ///< The parser rejected the tables. Nothing was written.
        NotFound, ///< No such data centre. Nothing was written.
        StoreUnavailable, ///< The store did not answer. Nothing was written.
        StoreOutcomeUnknown, ///< The store's answer was lost: the change may have been accepted as `version`.
    };

    Status status = Status::StoreUnavailable;
    ControlVersion version = 0; ///< The accepted version, or the current one on a conflict.
    std::vector<NodeId> waitingFor; ///< Nodes that may still act on an older version.
    std::string message; ///< For people; not meant to be parsed.
};

/// One accepted change in the audit trail.
struct ControlHistoryEntry
{
    ControlVersion version = 0;
    ChangeOrigin origin;
    std::chrono::system_clock::time_point when;
    ControlContent before;
    ControlContent after;
};

} // namespace fescueledge
