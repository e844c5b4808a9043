// Stand-in platform with a store and eight workers: i-1 and i-2 of kind a, the others of kind b.
//
// At SIGHUP the store stops answering for some seconds. Meanwhile i-1 crashes and starts again at the same address, as
// a worker of kind b; it registers when the store answers again. At SIGTERM the history of all runs is written.
#include "fescueledge/asioloop.h"
#include "platform/body.h"
#include "platform/standin/standinstore.h"
#include "platform/standin/standinworkers.h"
#include "platform/standin/storefaults.h"
#include "platform/standin/workerlocation.h"

#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>

using namespace fescueledge;
using namespace fescueledge::platform;
using nlohmann::json;

namespace {

constexpr int workerCount = 8; ///< One of them is 12.5%.
constexpr int workersOfKindA = 2;
constexpr Milliseconds outage{4500}; ///< The longest of the site's outages.
constexpr Milliseconds crashAfter{1000};

class Rig
{
public:
    Rig(AsioLoop *loop, int port, std::string historyFile)
        : m_loop(loop)
        , m_port(port)
        , m_historyFile(std::move(historyFile))
        , m_store(loop, address(0), 1)
        , m_ownEntries(loop, address(1), 1)
        , m_workers(loop, &m_ownEntries, 1)
    {
        for (int i = 1; i <= workerCount; ++i) {
            m_workers.add(WorkerLocation{id(i), address(1 + i), address(1 + i), "dc-a", "r1"});
            list(i, i <= workersOfKindA ? "a" : "b", i);
        }
    }

    void configure(const std::string &configuration)
    {
        m_store.put("op/config", configuration);
    }

    void disrupt()
    {
        say("the store stops answering");
        StoreFaults silent;
        silent.mode = StoreFaults::Mode::Silent;
        m_store.setFaults(silent);
        m_loop->postAfter(crashAfter, [this] {
            m_workers.apply(id(1), "restart", Milliseconds(0));
            say("i-1 has crashed and started again at the same address, of kind b");
        });
        m_loop->postAfter(outage, [this] {
            m_store.setFaults(StoreFaults());
            list(1, "b", workerCount + 1); // The stand-in numbers incarnations in the order in which they begin.
            say("the store answers again, and i-1 has registered as of kind b");
        });
    }

    void writeHistory()
    {
        std::ofstream(m_historyFile) << m_workers.history().dump() << "\n";
    }

private:
    static std::string id(int number)
    {
        return "i-" + std::to_string(number);
    }

    std::string address(int offset) const
    {
        return "127.0.0.1:" + std::to_string(m_port + offset);
    }

    void list(int number, const char *kind, int incarnation)
    {
        const json entry{{"service", "desk"},
                         {"address", address(1 + number)},
                         {"zone", "dc-a"},
                         {"version", "v1"},
                         {"slots", 8},
                         {"state", "ready"},
                         {"cold_left_ms", 0},
                         {"seq", 1},
                         {"born", incarnation},
                         {"capacity", {{"cpu", 8000}, {"mem_mb", 32000}, {"gpu", 0}}},
                         {"labels", {kind, "r1"}}};
        m_store.put("servers/" + id(number), encodeBody(entry));
    }

    void say(const char *what) const
    {
        const auto now = std::chrono::duration_cast<Milliseconds>(m_loop->now().time_since_epoch());
        std::cout << now.count() << " " << what << std::endl;
    }

    AsioLoop *m_loop;
    int m_port;
    std::string m_historyFile;
    StandInStore m_store;
    StandInStore m_ownEntries; ///< Where the stand-in lists its workers, all of kind a; nobody reads it.
    StandInWorkers m_workers;
};

} // namespace

int main(int argc, char **argv)
{
    if (argc != 4) {
        std::cerr << "usage: " << argv[0] << " PORT CONFIGURATION HISTORY-FILE\n";
        return 2;
    }
    AsioLoop loop;
    Rig rig(&loop, std::atoi(argv[1]), argv[3]);
    rig.configure(argv[2]);
    loop.onSignals([&](int signal) {
        if (signal == SIGHUP) {
            rig.disrupt();
        } else {
            rig.writeHistory();
            loop.stop();
        }
    });
    loop.run();
    return 0;
}
