#pragma once

namespace fescueledge {

/// The kind of a failure. Every error that leaves a module has one; callers see its name.
enum class ErrorKind {
    InvalidArgument, ///< The request is malformed.
    InvalidSettings, ///< A settings or table file is not valid.
    NotFound, ///< No such job, task, route or data centre.
    Conflict, ///< The change is based on a version that is no longer current.
    DigestMismatch, ///< The content differs from the reviewed one.
    Unauthorized, ///< The operator's token is missing or wrong.
    KeyReused, ///< The idempotency key was used for a different request.
    InProgress, ///< A request with this key is still running.
    NoRoute, ///< No route matches the request.
    NoCapacity, ///< No endpoint has a free slot within the deadline.
    LimitExceeded, ///< A limit of the customer, team or pool is reached.
    DeadlineExceeded, ///< The deadline passed.
    EndpointFailed, ///< The endpoint closed or reset the connection, or sent an incomplete answer.
    EndpointUnreachable, ///< The connection to the endpoint failed.
    StoreUnavailable, ///< The platform's store does not answer.
    StoreOutcomeUnknown, ///< The store's answer to a write was lost.
    NotActing, ///< This node may not act now: its leases have expired.
    ShuttingDown, ///< This node is draining.
    NeverRunnable, ///< No worker could ever hold the task.
    PeerUnreachable, ///< Another node does not answer.
    Internal, ///< A bug in the program.
};

/// The name of @p kind in JSON answers and logs, in kebab case.
const char *errorKindName(ErrorKind kind);

} // namespace fescueledge
