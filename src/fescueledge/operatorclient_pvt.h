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

/// A change of the control state that an operator requests.
struct ChangeRequest
{
    std::string path;
    std::string changeId; ///< Unique; identifies the change if its answer is lost.
    ControlVersion expectedVersion = 0; ///< Version that the change is based on; 0 if it names none.
    nlohmann::json body; ///< Contains the change id.
};

/// The known state of a change.
struct ChangeResult
{
    ControlVersion version = 0;
    bool inForce = false;
    std::vector<std::string> waitingFor; ///< Nodes on which it may not be in force yet.
};

/// Sends requests to the nodes. Every node serves every request, so the next one is tried if a node can't be reached. A
/// change is sent to the next node only if the previous one certainly did not run it.
class OperatorClient
{
public:
    /// Called with the current state before each poll while a change is not in force everywhere.
    using Progress = std::function<void(const ChangeResult &, Milliseconds waited)>;

    /// @p timeout limits the whole command, including waits.
    OperatorClient(OperatorTransport &transport, CliClock &clock, std::vector<std::string> nodes, Milliseconds timeout);

    /// Sends a request that is safe to repeat, such as a read.
    /// @throws CommandFailure with Refused or Unreachable.
    nlohmann::json sendRepeatable(const ApiRequest &request);
    nlohmann::json read(const std::string &path);

    /// Sends a request that changes state, so that it runs at most once. Returns nothing if the outcome is unknown, as
    /// after a lost answer.
    /// @throws CommandFailure with Refused, Conflict or Unreachable.
    std::optional<nlohmann::json> sendOnce(const ApiRequest &request);

    /// Makes a change. If the answer is lost, looks up the outcome by the change id.
    /// @throws CommandFailure with Refused, Conflict, Unreachable or Unknown.
    ChangeResult change(const ChangeRequest &request);

    /// Polls until @p result is in force everywhere; returns false if the timeout passes first.
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
