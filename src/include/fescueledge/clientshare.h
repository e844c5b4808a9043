#pragma once

#include <cstddef>

namespace fescueledge {

struct WorkflowSettings;

/// What the clients of a process may use of its memory and descriptors, in the worst case.
///
/// An eighth of the memory is for large requests and answers, and a quarter for connections, each with what the kernel
/// may hold of it and a request that is too small to be evicted. The rest is for the node's own work, and for what
/// handling a request takes for a moment.
struct ClientShare
{
    std::size_t inputMemory = 0; ///< Bytes of large requests and answers of all listeners.
    std::size_t connections = 0; ///< To the callers' listener.
    std::size_t otherConnections = 0; ///< To each of the two other listeners.

    /// Bytes that clients occupy at most, without what handling a request takes for a moment.
    std::size_t worstMemory() const;
    /// Descriptors that clients occupy at most.
    std::size_t worstDescriptors() const;
};

/// The share in force under @p settings: what they set, and otherwise what follows from the limits of the process.
ClientShare clientShare(const WorkflowSettings &settings);

} // namespace fescueledge
