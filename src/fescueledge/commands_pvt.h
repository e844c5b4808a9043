#pragma once

#include "arguments_pvt.h"
#include "exitcode_pvt.h"
#include "operatorclient_pvt.h"

#include "fescueledge/finding.h"

#include <functional>
#include <iosfwd>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>

namespace fescueledge {

class CliClock;
struct ControlState;

/// The environment that a command runs in: variables, output streams, clock and transport.
struct CliEnvironment
{
    /// Creates a transport that authenticates with @p token.
    using TransportFactory = std::function<std::unique_ptr<OperatorTransport>(const std::string &token)>;

    std::map<std::string, std::string> variables; ///< Environment variables.
    std::ostream &out;
    std::ostream &err;
    CliClock &clock;
    TransportFactory makeTransport;

    /// The value of variable @p name, or an empty string if it is not set.
    std::string variable(const std::string &name) const;
};

/// Implements the commands, one member function each. Each object runs one command.
class Commands
{
public:
    /// @p arguments have been validated for the command; their words are its operands only.
    Commands(CliEnvironment &environment, const Arguments &arguments);
    ~Commands();

    ExitCode configCheck();
    ExitCode configDiff();
    ExitCode configApply();
    ExitCode configShow();
    ExitCode configHistory();
    ExitCode dataCentreOut();
    ExitCode dataCentreIn();
    ExitCode dataCentreList();
    ExitCode status();
    ExitCode jobsSubmit();
    ExitCode jobsShow();
    ExitCode jobsList();
    ExitCode jobsCancel();
    ExitCode explainTask();
    ExitCode explainRequest();
    ExitCode explainLog();
    ExitCode explainPlace();
    ExitCode audit();
    ExitCode settings();

private:
    struct Tables;

    /// The client for the nodes given on the command line or in the environment.
    /// @throws CommandFailure with Usage if there is no node or no token.
    OperatorClient &client();
    /// The same for listeners that ask for no token.
    OperatorClient &clientWithoutToken();
    OperatorClient &connect(const std::vector<std::string> &nodes, const std::string &token);
    /// @throws CommandFailure with Usage if there is none.
    std::vector<std::string> nodes() const;
    /// Name of the operator who makes a change.
    /// @throws CommandFailure with Usage if neither --who nor the environment gives one.
    std::string operatorName() const;
    std::string requiredOption(const std::string &name) const;
    std::string limitQuery() const;
    /// Prints @p answer as JSON if --json is given, otherwise with @p printText.
    ExitCode print(const nlohmann::json &answer, const std::function<void()> &printText);

    Tables readTables() const;
    /// Checks @p tables, which have passed the local check, on the node given with --node, if any.
    ExitCode checkOnNode(const Tables &tables);
    ExitCode printFindings(const Findings &findings);
    void printDiff(const nlohmann::json &current, const Tables &tables);
    ChangeRequest makeApplyRequest(const nlohmann::json &current, const Tables &tables) const;
    /// Prints progress until @p result is in force everywhere or the timeout passes, then the outcome.
    ExitCode awaitAndPrintChange(ChangeResult result, const std::string &changeId);
    ExitCode changeDataCentre(const char *direction);
    ExitCode printHistory();
    nlohmann::json jobSpec() const;

    CliEnvironment &m_environment;
    const Arguments &m_arguments;
    std::unique_ptr<OperatorTransport> m_transport;
    std::unique_ptr<OperatorClient> m_client;
};

/// A random identifier, unique among changes and jobs.
std::string uniqueId();

/// Parses the control state in @p content, which has members `routes`, `pools` and `data_centres_out`. The tables stay
/// empty if this version of the program can't parse them.
ControlState controlStateFromJson(const nlohmann::json &content);

/// @p text with everything but letters, digits and `-._~` percent-encoded.
std::string urlEncoded(const std::string &text);

} // namespace fescueledge
