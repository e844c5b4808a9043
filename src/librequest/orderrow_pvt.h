#pragma once

#include "fescueledge/dispatchresult.h"

#include <string>

namespace fescueledge {

/// The row `order/<customer>/<key>`: the one record of a keyed request.
struct OrderRow
{
    enum class State {
        Sending, ///< A node was about to send it, or has sent it.
        Done, ///< It ran and its answer is stored.
        NotRun, ///< It certainly did not run; a retry may take it.
        Unknown, ///< It may have run.
    };

    State state = State::Sending;
    std::string digest; ///< Of the request; a key belongs to one request.
    std::string requestId; ///< The caller's request that wrote the row last.
    NodeId node;
    Incarnation incarnation = 0;
    ServiceResponse response; ///< When done and not too large.
    bool hasResponse = false;
};

/// Key of the row of @p key of @p customer.
std::string orderRowKey(const std::string &customer, const std::string &key);
/// Digest of what makes two requests the same.
std::string orderDigest(const ServiceRequest &request);
/// The row's value as JSON text.
std::string encodeOrderRow(const OrderRow &row);
/// Parses encodeOrderRow()'s text. Throws Error with ErrorKind::Internal if it is malformed.
OrderRow decodeOrderRow(const std::string &text);

} // namespace fescueledge
