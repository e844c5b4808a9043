#pragma once

namespace fescueledge {

/// The type of a failure. Every error that leaves a module has one; callers see its name.
enum class ErrorKind {
    InvalidArgument, ///< The request is malformed.
    InvalidSettings, ///< A settings or table file was refused.
    NotFound, ///< No such job, task, route or data centre.
    Conflict, ///< The change was made against a version that is no longer current.
    DigestMismatch, ///< The content differs from the one that was reviewed.
    Unauthorized, ///< The operator's token is missing or wrong.
    KeyReused, ///< The idempotency key was used for a different request.
    InProgress, ///< A request with this key is still running.
    NoRoute, ///< No route matches the request.
    NoCapacity, ///< No endpoint has a free slot within the deadline.
    LimitExceeded, ///< A limit of the customer, team or pool is reached.
    DeadlineExceeded, ///< The deadline passed.
    EndpointFailed, ///< The endpoint closed, reset or answered short.
    EndpointUnreachable, ///< No connection to the endpoint could be made.
    StoreUnavailable, ///< The platform's store does not answer.
    StoreOutcomeUnknown, ///< The store's answer to a write was lost.
    NotActing, ///< This node may not act now: its leases have lapsed.
    ShuttingDown, ///< This node drains.
    NeverRunnable, ///< No worker could ever hold the task.
    PeerUnreachable, ///< Another node does not answer.
    Internal, ///< A fault of the program itself.
};

/// The name of @p kind in JSON answers and logs, in kebab case.
const char *errorKindName(ErrorKind kind);

} // namespace fescueledge
