// Stand-in for one or more racks of workers in one data centre. All agents share one port; each endpoint has its own
// port. The program registers its workers in the VM list.
#include "faultswitch_pvt.h"
#include "standinargs_pvt.h"
#include "standinendpoint_pvt.h"
#include "standinworker_pvt.h"

#include <cstdio>
#include <memory>

using namespace fescueledge;

namespace {

constexpr int serverThreads = 64;
constexpr int workersPerRack = 8;

/// A worker and its endpoint.
struct StandInVm
{
    explicit StandInVm(const VmEntry &entry)
        : worker(entry)
        , endpoint(&worker)
    {
    }

    StandInWorker worker;
    StandInEndpoint endpoint;
};

VmEntry makeEntry(const std::map<std::string, std::string> &args, int index)
{
    VmEntry entry;
    entry.name = args.at("prefix") + std::to_string(index);
    entry.kind = VmEntry::Kind::Worker;
    entry.dataCentre = args.at("data-centre");
    entry.rack = "r" + std::to_string(index / workersPerRack);
    entry.address = args.at("listen");
    entry.endpointAddress =
        hostOf(args.at("listen")) + ":" + std::to_string(std::stoi(args.at("endpoint-port")) + index);
    entry.capacity.milliCores = std::stoll(args.at("cores")) * 1000;
    entry.capacity.memoryMb = std::stoll(args.at("memory-mb"));
    entry.capacity.accelerators = std::stoll(args.at("accelerators"));
    return entry;
}

bool registerVm(const std::string &address, const VmEntry &entry)
{
    httplib::Client client("http://" + address);
    const httplib::Result result = client.Put("/vms/" + entry.name, nlohmann::json(entry).dump(), "application/json");
    return result && result->status == 200;
}

} // namespace

int main(int argc, char **argv)
{
    const std::map<std::string, std::string> args = parseStandInArgs(argc, argv,
                                                                     {{"listen", "127.0.0.1:7200"},
                                                                      {"endpoint-port", "7300"},
                                                                      {"vms", "127.0.0.1:7102"},
                                                                      {"data-centre", "dc1"},
                                                                      {"prefix", "dc1-w"},
                                                                      {"workers", "8"},
                                                                      {"cores", "16"},
                                                                      {"memory-mb", "61440"},
                                                                      {"accelerators", "2"}});
    std::map<std::string, std::unique_ptr<StandInVm>> vms;
    for (int i = 0; i < std::stoi(args.at("workers")); ++i) {
        const VmEntry entry = makeEntry(args, i);
        vms[entry.name] = std::make_unique<StandInVm>(entry);
        if (!registerVm(args.at("vms"), entry)) {
            std::fprintf(stderr, "cannot register workers in the VM list at %s\n", args.at("vms").c_str());
            return 1;
        }
    }

    httplib::Server server;
    prepareServer(&server, serverThreads);
    FaultSwitch faults;
    faults.attach(&server);
    server.Post("/workers/([^/]+)/exchange", [&](const httplib::Request &request, httplib::Response &response) {
        const auto it = vms.find(request.matches[1]);
        if (!faults.admit(response) || it == vms.end()) {
            response.status = it == vms.end() ? 404 : response.status;
            return;
        }
        const WorkerRequest exchange = nlohmann::json::parse(request.body).get<WorkerRequest>();
        const nlohmann::json out = it->second->worker.exchange(exchange, it->second->endpoint.inFlight());
        if (faults.losesAnswer()) {
            loseAnswer(response);
        } else {
            response.set_content(out.dump(), "application/json");
        }
    });
    server.Post("/workers/([^/]+)/fails-everything", [&](const httplib::Request &request, httplib::Response &response) {
        const auto it = vms.find(request.matches[1]);
        if (it != vms.end()) {
            it->second->worker.setFailsEverything(request.body == "true");
        }
        response.set_content("{}", "application/json");
    });
    server.Get("/ledger", [&](const httplib::Request &, httplib::Response &response) {
        nlohmann::json out = {{"tasks", nlohmann::json::array()}, {"endpoints", nlohmann::json::array()}};
        for (const auto &[name, vm] : vms) {
            for (const nlohmann::json &event : vm->worker.ledger()) {
                out["tasks"].push_back(event);
            }
            out["endpoints"].push_back(vm->endpoint.ledger());
        }
        response.set_content(out.dump(), "application/json");
    });
    return server.listen(hostOf(args.at("listen")), portOf(args.at("listen"))) ? 0 : 1;
}
