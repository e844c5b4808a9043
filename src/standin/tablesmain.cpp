// Stand-in for the platform's transactional table service.
#include "faultswitch_pvt.h"
#include "fescueledge/tablewire.h"
#include "fescueledge/testing/memorytable.h"
#include "standinargs_pvt.h"

#include <mutex>
#include <nlohmann/json.hpp>

using namespace fescueledge;

namespace {

constexpr int serverThreads = 64;

} // namespace

int main(int argc, char **argv)
{
    const std::map<std::string, std::string> args = parseStandInArgs(argc, argv, {{"listen", "127.0.0.1:7100"}});
    httplib::Server server;
    prepareServer(&server, serverThreads);
    FaultSwitch faults;
    faults.attach(&server);
    std::mutex mutex;
    MemoryTable table;

    server.Post("/read", [&](const httplib::Request &request, httplib::Response &response) {
        if (faults.admit(response)) {
            const nlohmann::json json = nlohmann::json::parse(request.body);
            const std::lock_guard<std::mutex> lock(mutex);
            const nlohmann::json out = table.read(json.at("keys").get<std::vector<std::string>>());
            response.set_content(out.dump(), "application/json");
        }
    });
    server.Post("/scan", [&](const httplib::Request &request, httplib::Response &response) {
        if (faults.admit(response)) {
            const nlohmann::json json = nlohmann::json::parse(request.body);
            const std::lock_guard<std::mutex> lock(mutex);
            const nlohmann::json out = table.scan(json.at("prefix").get<std::string>());
            response.set_content(out.dump(), "application/json");
        }
    });
    server.Post("/commit", [&](const httplib::Request &request, httplib::Response &response) {
        if (faults.admit(response)) {
            const Transaction transaction = nlohmann::json::parse(request.body).get<Transaction>();
            const std::lock_guard<std::mutex> lock(mutex);
            const nlohmann::json out = table.commit(transaction);
            if (faults.losesAnswer()) {
                loseAnswer(response);
            } else {
                response.set_content(out.dump(), "application/json");
            }
        }
    });
    server.Get("/statistics", [&](const httplib::Request &, httplib::Response &response) {
        const std::lock_guard<std::mutex> lock(mutex);
        const nlohmann::json out = {{"commits", table.commits()}, {"rows_written", table.rowsWritten()}};
        response.set_content(out.dump(), "application/json");
    });
    return server.listen(hostOf(args.at("listen")), portOf(args.at("listen"))) ? 0 : 1;
}
