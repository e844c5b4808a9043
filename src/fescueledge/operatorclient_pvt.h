#pragma once

#include "exitcode_pvt.h"
#include "operatortransport_pvt.h"

#include "fescueledge/types.h"

#include <functional>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

namespace fescueledge {

class CliClock;

/// A change of the control state that an operator asks for.
struct ChangeRequest
{
    std::string path;
    std::string changeId; ///< Unique; the change is found again by it.
    ControlVersion expectedVersion = 0; ///< Version it was made against; 0 if the change names none.
    nlohmann::json body; ///< With the change id.
};

/// What is known of a change.
struct ChangeResult
{
    ControlVersion version = 0;
    bool inForce = false;
    std::vector<std::string> waitingFor; ///< Nodes on which it may not be in force yet.
};

/// Asks the nodes. Any node serves anything, so the next is tried when one can't be reached; but a change is sent on
/// to the next only if the last one surely did not take it.
class OperatorClient
{
public:
    /// Called with each state while a change is not in force everywhere.
    using Progress = std::function<void(const ChangeResult &, Milliseconds waited)>;

    /// @p timeout bounds each command, waits included.
    OperatorClient(OperatorTransport &transport, CliClock &clock, std::vector<std::string> nodes, Milliseconds timeout);

    /// Sends a request that changes nothing, or that may be repeated.
    /// @throws CommandFailure with Refused or Unreachable.
    nlohmann::json sendRepeatable(const ApiRequest &request);
    nlohmann::json read(const std::string &path);

    /// Sends a request that changes something, at most once. Returns nothing if the answer was lost.
    /// @throws CommandFailure with Refused, Conflict or Unreachable.
    std::optional<nlohmann::json> sendOnce(const ApiRequest &request);

    /// Makes a change. A lost answer is looked up by the change id.
    /// @throws CommandFailure with Refused, Conflict, Unreachable or Unknown.
    ChangeResult change(const ChangeRequest &request);

    /// Waits until @p result is in force everywhere or the timeout passes; false if it passes.
    bool awaitInForce(ChangeResult &result, const Progress &progress);

private:
    ApiResponse sendToFirstReachable(const ApiRequest &request, bool repeatable);
    ChangeResult lookUpChange(const ChangeRequest &request);
    std::optional<ChangeResult> findInHistory(const ChangeRequest &request);
    ChangeResult fetchVersionState(ControlVersion version);
    Milliseconds nextRequestTimeout();

    OperatorTransport &m_transport;
    CliClock &m_clock;
    std::vector<std::string> m_nodes;
    TimePoint m_deadline;
};

} // namespace fescueledge
