#include "soakcluster_pvt.h"

#include "fescueledge/asioloop.h"
#include "fescueledge/error.h"
#include "platform/body.h"

#include <csignal>
#include <fstream>
#include <sstream>

namespace fescueledge::faultsoak {

namespace {

// Ports from the base: control, store, ten for each node, then the workers and the proxies before them.
constexpr int controlPort = 0;
constexpr int storePort = 1;
constexpr int nodePorts = 10;
constexpr int workerPorts = 1000;
constexpr int workerProxyPorts = 2000;
// Offsets within a node's ports.
constexpr int callerPort = 0;
constexpr int readyPort = 1;
constexpr int operatorPort = 2;
constexpr int peerPort = 3;
constexpr int callerProxyPort = 4;
constexpr int storeProxyPort = 5;
constexpr int peerProxyPort = 6;

std::string at(int port)
{
    return "127.0.0.1:" + std::to_string(port);
}

} // namespace

void replaceInBase64(const std::string &from, const std::string &to, std::string *bytes)
{
    constexpr std::size_t byteBits = 8;
    constexpr std::size_t digitBits = 6;
    constexpr std::size_t groupBytes = 3;
    for (std::size_t shift = 0; shift < groupBytes; ++shift) {
        // Only digits whose bits all come from the text are the same wherever it stands.
        const auto digits = [shift](const std::string &text) {
            const std::string quoted = "\"" + text + "\"";
            const std::size_t first = (shift * byteBits + digitBits - 1) / digitBits;
            const std::size_t end = (shift + quoted.size()) * byteBits / digitBits;
            return platform::toBase64(std::string(shift, ' ') + quoted).substr(first, end - first);
        };
        const std::string old = digits(from);
        for (std::size_t it = bytes->find(old); it != std::string::npos; it = bytes->find(old, it + 1)) {
            bytes->replace(it, old.size(), digits(to));
        }
    }
}

SoakCluster::SoakCluster(AsioLoop *loop, const SoakOptions &options, std::string directory, std::string programs)
    : m_loop(loop)
    , m_options(options)
    , m_directory(std::move(directory))
    , m_programs(std::move(programs))
    , m_nodes(static_cast<std::size_t>(options.nodes))
{
    openProxies();
}

int SoakCluster::port(int node, int offset) const
{
    return m_options.basePort + nodePorts * (node + 1) + offset;
}

void SoakCluster::openProxies()
{
    m_proxies.resize(static_cast<std::size_t>(LinkKind::Worker) + 1);
    const auto open = [this](LinkKind link, int from, int to) {
        m_proxies[static_cast<std::size_t>(link)].push_back(std::make_unique<TcpProxy>(m_loop, at(from), at(to)));
    };
    for (int node = 0; node < m_options.nodes; ++node) {
        open(LinkKind::Callers, port(node, callerProxyPort), port(node, callerPort));
        open(LinkKind::Store, port(node, storeProxyPort), m_options.basePort + storePort);
        open(LinkKind::Peer, port(node, peerProxyPort), port(node, peerPort));
        // Others learn the address of a node from its row in the store.
        m_proxies[static_cast<std::size_t>(LinkKind::Store)].back()->setRewrite(
            [own = at(port(node, peerPort)), shown = at(port(node, peerProxyPort))](std::string *bytes) {
                replaceInBase64(own, shown, bytes);
            });
    }
    for (int worker = 0; worker < m_options.workers; ++worker) {
        open(LinkKind::Worker, m_options.basePort + workerProxyPorts + worker,
             m_options.basePort + workerPorts + worker);
    }
}

TcpProxy *SoakCluster::proxy(LinkKind link, int target)
{
    return m_proxies.at(static_cast<std::size_t>(link)).at(static_cast<std::size_t>(target)).get();
}

std::string SoakCluster::controlAddress() const
{
    return at(m_options.basePort + controlPort);
}

std::string SoakCluster::readyAddress(int node) const
{
    return at(port(node, readyPort));
}

std::vector<std::string> SoakCluster::callerAddresses() const
{
    std::vector<std::string> out;
    out.reserve(static_cast<std::size_t>(m_options.nodes));
    for (int node = 0; node < m_options.nodes; ++node) {
        out.push_back(at(port(node, callerProxyPort)));
    }
    return out;
}

void SoakCluster::startStandIn()
{
    const std::vector<std::string> arguments{m_programs + "/platform/fescueledge-standin-platform",
                                             "--store",
                                             at(m_options.basePort + storePort),
                                             "--control",
                                             controlAddress(),
                                             "--workers",
                                             std::to_string(m_options.workers),
                                             "--worker-ip",
                                             "127.0.0.1",
                                             "--worker-base-port",
                                             std::to_string(m_options.basePort + workerPorts),
                                             "--worker-address-port",
                                             std::to_string(m_options.basePort + workerProxyPorts),
                                             "--seed",
                                             std::to_string(m_options.seed)};
    m_standIn = std::make_unique<ChildProcess>(arguments, m_directory + "/standin.log");
}

void SoakCluster::writeSettings(int node) const
{
    const std::string store = at(port(node, storeProxyPort));
    std::ofstream file(m_directory + "/node" + std::to_string(node) + ".ini");
    file << "[node]\nname = node-" << node << "\ndata-centre = dc-" << static_cast<char>('a' + node % 3)
         << "\n[listen]\ncaller = " << at(port(node, callerPort)) << "\noperator = " << at(port(node, operatorPort))
         << "\npeer = " << at(port(node, peerPort)) << "\n[platform]\ntable-service = " << store
         << "\nobject-store = " << store << "\nvm-list = " << store
         << "\n[operator]\ntoken = a-token-for-this-test\n[workflow]\nenabled = yes\nready = " << readyAddress(node)
         << "\ncores = 0." << node % 9 + 1 << "\n";
    if (!file.flush()) {
        throw Error(ErrorKind::Internal, "cannot write settings to " + m_directory);
    }
}

std::string SoakCluster::logFile(int node, int incarnation) const
{
    return m_directory + "/node" + std::to_string(node) + "." + std::to_string(incarnation) + ".log";
}

void SoakCluster::startNode(int node)
{
    Node &it = m_nodes.at(static_cast<std::size_t>(node));
    writeSettings(node);
    ++it.incarnation;
    it.endExpected = false;
    it.mayBeKilled = false;
    it.process = std::make_unique<ChildProcess>(
        std::vector<std::string>{m_programs + "/src/fescueledged/fescueledged", "--settings",
                                 m_directory + "/node" + std::to_string(node) + ".ini"},
        logFile(node, it.incarnation));
}

bool SoakCluster::runs(int node) const
{
    const Node &it = m_nodes.at(static_cast<std::size_t>(node));
    return it.process && !it.process->ended();
}

int SoakCluster::incarnation(int node) const
{
    return m_nodes.at(static_cast<std::size_t>(node)).incarnation;
}

void SoakCluster::signal(int node, int signal)
{
    Node &it = m_nodes.at(static_cast<std::size_t>(node));
    if (!it.process || it.process->ended()) {
        return;
    }
    it.endExpected = it.endExpected || signal == SIGKILL || signal == SIGTERM;
    it.mayBeKilled = it.mayBeKilled || signal == SIGKILL;
    it.process->signal(signal);
}

bool SoakCluster::reap(int node)
{
    Node &it = m_nodes.at(static_cast<std::size_t>(node));
    const std::optional<std::string> end = it.process ? it.process->ended() : std::nullopt;
    if (end && !(it.endExpected && (it.mayBeKilled || *end == "exit code 0"))) {
        m_ownEnds.push_back("node=" + std::to_string(node) + " incarnation=" + std::to_string(it.incarnation) + " "
                            + *end + (it.endExpected ? " after SIGTERM" : ""));
    }
    if (end) {
        it.process.reset();
    }
    return it.process == nullptr;
}

std::vector<std::string> SoakCluster::takeOwnEnds()
{
    for (std::size_t i = 0; i < m_nodes.size(); ++i) {
        const Node &it = m_nodes[i];
        if (it.process && !it.endExpected && reap(static_cast<int>(i))) {
            startNode(static_cast<int>(i));
        }
    }
    if (m_standIn && m_standIn->ended()) {
        throw Error(ErrorKind::Internal, "the stand-in ended: " + *m_standIn->ended());
    }
    return std::exchange(m_ownEnds, {});
}

std::vector<std::pair<std::uint64_t, std::string>> SoakCluster::termsInLogs() const
{
    const std::string mark = "event=term_begun";
    const std::string key = " term=";
    std::vector<std::pair<std::uint64_t, std::string>> out;
    for (std::size_t node = 0; node < m_nodes.size(); ++node) {
        for (int start = 1; start <= m_nodes[node].incarnation; ++start) {
            std::ifstream file(logFile(static_cast<int>(node), start));
            for (std::string line; std::getline(file, line);) {
                const std::size_t at = line.find(mark) == std::string::npos ? std::string::npos : line.find(key);
                if (at != std::string::npos) {
                    out.emplace_back(std::strtoull(line.c_str() + at + key.size(), nullptr, 10),
                                     "node" + std::to_string(node) + "." + std::to_string(start));
                }
            }
        }
    }
    return out;
}

} // namespace fescueledge::faultsoak
