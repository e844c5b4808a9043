#include "fescueledge/clientshare.h"

#include "fescueledge/daemonsettings.h"

#include <algorithm>

namespace fescueledge {

namespace {

constexpr std::size_t bytesPerMb = 1048576;
constexpr std::size_t inputDivisor = 8; ///< Of the memory.
constexpr std::size_t connectionsDivisor = 4; ///< Of the memory.
constexpr std::size_t descriptorsDivisor = 2;
/// 32 KB that the kernel may hold in either direction, a request that is not evicted, and the connection's own state.
constexpr std::size_t connectionBytes = 86016;
/// Load balancers and collectors of metrics need few connections.
constexpr std::size_t otherListeners = 2;
constexpr std::size_t otherListenersShare = 8;
constexpr std::size_t minConnections = 16;

std::size_t otherConnectionsFor(std::size_t connections)
{
    return std::max(minConnections, connections / otherListenersShare);
}

/// The connections to the callers' listener if all listeners together may have @p all.
std::size_t callersOf(std::size_t all)
{
    const std::size_t shared = all * otherListenersShare / (otherListenersShare + otherListeners);
    const std::size_t left = all - std::min(all, otherListeners * minConnections);
    return std::max(minConnections, std::min(shared, left));
}

} // namespace

std::size_t ClientShare::worstMemory() const
{
    return inputMemory + (connections + otherListeners * otherConnections) * connectionBytes;
}

std::size_t ClientShare::worstDescriptors() const
{
    return connections + otherListeners * otherConnections;
}

ClientShare clientShare(const WorkflowSettings &settings)
{
    const std::size_t memory = settings.memoryMb * bytesPerMb;
    const std::size_t all =
        std::min(memory / connectionsDivisor / connectionBytes, settings.descriptors / descriptorsDivisor);
    ClientShare share;
    share.inputMemory = settings.inputMemory.value_or(memory / inputDivisor);
    share.connections = settings.maxConnections.value_or(callersOf(all));
    share.otherConnections = otherConnectionsFor(share.connections);
    return share;
}

} // namespace fescueledge
