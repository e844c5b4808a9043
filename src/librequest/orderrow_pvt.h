#pragma once

#include "fescueledge/dispatchresult.h"

#include <string>

namespace fescueledge {

/// The row `order/<length>:<customer>/<key>`: the record of a keyed request, with the length of the customer's name.
struct OrderRow
{
    enum class State {
        Sending, ///< A node is about to send it, or has sent it.
        Done, ///< It ran and its answer is stored.
        NotRun, ///< It certainly did not run; a retry may claim the row.
        Unknown, ///< It may have run.
    };

    State state = State::Sending;
    std::string digest; ///< Digest of the request; a key may not be reused for a different one.
    std::string requestId; ///< The caller's request that wrote the row last.
    NodeId node;
    Incarnation incarnation = 0;
    ServiceResponse response; ///< Stored if the request is done and the body not too large.
    bool hasResponse = false;
};

/// Key of the row for @p key of @p customer.
std::string orderRowKey(const std::string &customer, const std::string &key);
/// Digest of the fields in which two equal requests agree: method, host, path and body.
std::string orderDigest(const ServiceRequest &request);
/// The row's value as JSON text.
std::string encodeOrderRow(const OrderRow &row);
/// Parses encodeOrderRow()'s text. Throws Error with ErrorKind::Internal if it is malformed.
OrderRow decodeOrderRow(const std::string &text);

} // namespace fescueledge
