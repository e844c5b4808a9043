#include "commands_pvt.h"

#include "cliclock_pvt.h"

#include "fescueledge/error.h"
#include "fescueledge/random.h"
#include "fescueledge/settingsparser.h"
#include "fescueledge/settingsschema.h"

#include <ostream>
#include <random>
#include <sstream>

namespace fescueledge {

namespace {

constexpr const char *defaultTimeout = "30s";

std::vector<std::string> parseNodes(const std::string &text)
{
    const SettingsKey key{"--node", ValueType::Address, true, "", 0, 0, ""};
    std::vector<std::string> nodes;
    std::istringstream in(text);
    std::string node;
    while (std::getline(in, node, ',')) {
        checkText(key, node);
        nodes.push_back(node);
    }
    return nodes;
}

Milliseconds commandTimeout(const Arguments &arguments)
{
    const SettingsKey key{"--timeout", ValueType::Duration, false, defaultTimeout, 100, 3600000, ""};
    return Milliseconds(parseNumber(key, arguments.value("timeout", defaultTimeout)));
}

} // namespace

std::string uniqueId()
{
    std::random_device device;
    std::uint64_t seed = (std::uint64_t(device()) << 32U) | device();
    return Random(seed).uniqueId();
}

std::string urlEncoded(const std::string &text)
{
    const char *digits = "0123456789ABCDEF";
    std::string out;
    for (char c : text) {
        bool isUnreserved = (c >= '0' && c <= '9') || (c >= 'A' && c <= 'Z') || (c >= 'a' && c <= 'z')
            || std::string("-._~").find(c) != std::string::npos;
        if (isUnreserved) {
            out.push_back(c);
            continue;
        }
        unsigned char byte = static_cast<unsigned char>(c);
        out.push_back('%');
        out.push_back(digits[byte >> 4U]);
        out.push_back(digits[byte & 15U]);
    }
    return out;
}

std::string CliEnvironment::variable(const std::string &name) const
{
    std::map<std::string, std::string>::const_iterator it = variables.find(name);
    return it == variables.end() ? std::string() : it->second;
}

Commands::Commands(CliEnvironment &environment, const Arguments &arguments)
    : m_environment(environment)
    , m_arguments(arguments)
{
}

Commands::~Commands() = default;

std::vector<std::string> Commands::nodes() const
{
    std::vector<std::string> nodes = parseNodes(m_arguments.value("node", m_environment.variable("FESCUELEDGE_NODES")));
    if (nodes.empty()) {
        throw CommandFailure(ExitCode::Usage, "no node: give --node IP:PORT or set FESCUELEDGE_NODES");
    }
    return nodes;
}

OperatorClient &Commands::connect(const std::vector<std::string> &nodes, const std::string &token)
{
    m_transport = m_environment.makeTransport(token);
    m_client = std::make_unique<OperatorClient>(*m_transport, m_environment.clock, nodes, commandTimeout(m_arguments));
    return *m_client;
}

OperatorClient &Commands::client()
{
    if (m_client) {
        return *m_client;
    }
    const std::vector<std::string> reachable = nodes();
    const std::string tokenFile = m_arguments.value("token-file", m_environment.variable("FESCUELEDGE_TOKEN_FILE"));
    if (tokenFile.empty()) {
        throw CommandFailure(ExitCode::Usage, "no token: give --token-file FILE or set FESCUELEDGE_TOKEN_FILE");
    }
    return connect(reachable, readTokenFile(tokenFile));
}

OperatorClient &Commands::clientWithoutToken()
{
    return m_client ? *m_client : connect(nodes(), std::string());
}

std::string Commands::operatorName() const
{
    std::string user = m_environment.variable("USER");
    std::string name = m_arguments.value("who", user.empty() ? m_environment.variable("LOGNAME") : user);
    if (name.empty()) {
        throw CommandFailure(ExitCode::Usage, "no operator name: give --who NAME");
    }
    return name;
}

std::string Commands::requiredOption(const std::string &name) const
{
    std::string value = m_arguments.value(name);
    if (value.empty()) {
        throw CommandFailure(ExitCode::Usage, "--" + name + " is required");
    }
    return value;
}

std::string Commands::limitQuery() const
{
    const SettingsKey key{"--limit", ValueType::Integer, false, "20", 1, 100000, ""};
    return "limit=" + std::to_string(parseNumber(key, m_arguments.value("limit", key.defaultText)));
}

ExitCode Commands::print(const nlohmann::json &answer, const std::function<void()> &printText)
{
    if (m_arguments.has("json")) {
        m_environment.out << answer.dump(2) << '\n';
    } else {
        printText();
    }
    return ExitCode::Ok;
}

ExitCode Commands::awaitAndPrintChange(ChangeResult result, const std::string &changeId)
{
    bool inForce = client().awaitInForce(result, [this](const ChangeResult &state, Milliseconds waited) {
        m_environment.err << "version " << state.version << " accepted; not yet in force everywhere";
        for (const std::string &node : state.waitingFor) {
            m_environment.err << ' ' << node;
        }
        m_environment.err << " (" << waited.count() << " ms)" << std::endl;
    });
    nlohmann::json answer = {{"version", result.version},
                             {"change_id", changeId},
                             {"in_force", inForce},
                             {"waiting_for", result.waitingFor}};
    print(answer, [&] {
        m_environment.out << "version " << result.version
                          << (inForce ? " is in force everywhere" : " is accepted, but not yet in force everywhere")
                          << " (change " << changeId << ")\n";
    });
    return inForce ? ExitCode::Ok : ExitCode::NotYetInForce;
}

} // namespace fescueledge
