// Stand-in for the platform's object store.
#include "faultswitch_pvt.h"
#include "standinargs_pvt.h"

#include <map>
#include <mutex>

using namespace fescueledge;

namespace {

constexpr int serverThreads = 16;

} // namespace

int main(int argc, char **argv)
{
    const std::map<std::string, std::string> args = parseStandInArgs(argc, argv, {{"listen", "127.0.0.1:7101"}});
    httplib::Server server;
    prepareServer(&server, serverThreads);
    FaultSwitch faults;
    faults.attach(&server);
    std::mutex mutex;
    std::map<std::string, std::string> objects;

    server.Put("/objects/(.+)", [&](const httplib::Request &request, httplib::Response &response) {
        if (faults.admit(response)) {
            const std::lock_guard<std::mutex> lock(mutex);
            objects[request.matches[1]] = request.body;
            response.set_content("{}", "application/json");
        }
    });
    server.Get("/objects/(.+)", [&](const httplib::Request &request, httplib::Response &response) {
        if (faults.admit(response)) {
            const std::lock_guard<std::mutex> lock(mutex);
            const auto it = objects.find(request.matches[1]);
            if (it == objects.end()) {
                response.status = 404;
            } else {
                response.set_content(it->second, "application/octet-stream");
            }
        }
    });
    return server.listen(hostOf(args.at("listen")), portOf(args.at("listen"))) ? 0 : 1;
}
