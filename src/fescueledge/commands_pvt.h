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

/// Everything outside that a command meets.
struct CliEnvironment
{
    /// Makes the transport for a token.
    using TransportFactory = std::function<std::unique_ptr<OperatorTransport>(const std::string &token)>;

    std::map<std::string, std::string> variables; ///< Environment variables.
    std::ostream &out;
    std::ostream &err;
    CliClock &clock;
    TransportFactory makeTransport;

    /// The variable @p name or an empty string.
    std::string variable(const std::string &name) const;
};

/// The commands of the command line, one member each. One object runs one command.
class Commands
{
public:
    /// @p arguments are checked against the command; the words are its operands only.
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
    ExitCode audit();
    ExitCode settings();

private:
    struct Tables;

    /// The client for the nodes on the command line or in the environment.
    /// @throws CommandFailure with Usage if there is no node or no token.
    OperatorClient &client();
    std::string operatorName() const;
    std::string requiredOption(const std::string &name) const;
    std::string limitQuery() const;
    /// Prints @p answer as JSON if asked for, else with @p printText.
    ExitCode print(const nlohmann::json &answer, const std::function<void()> &printText);

    Tables readTables() const;
    /// Checks @p tables, which are valid here, on the node that --node names, if any.
    ExitCode checkOnNode(const Tables &tables);
    ExitCode printFindings(const Findings &findings);
    void printDiff(const nlohmann::json &current, const Tables &tables);
    ChangeRequest makeApplyRequest(const nlohmann::json &current, const Tables &tables) const;
    /// Shows progress until @p result is in force and prints the end.
    ExitCode awaitAndPrintChange(ChangeResult result, const std::string &changeId);
    ExitCode changeDataCentre(const char *direction);
    ExitCode printHistory();
    nlohmann::json jobSpec() const;

    CliEnvironment &m_environment;
    const Arguments &m_arguments;
    std::unique_ptr<OperatorTransport> m_transport;
    std::unique_ptr<OperatorClient> m_client;
};

/// An identifier that no other change or job has.
std::string uniqueId();

/// The control state in @p content, which has members `routes`, `pools` and `data_centres_out`. Without the tables if
/// this program can't read them.
ControlState controlStateFromJson(const nlohmann::json &content);

/// @p text with everything but letters, digits and `-._~` percent-encoded.
std::string urlEncoded(const std::string &text);

} // namespace fescueledge
