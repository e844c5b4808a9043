// Stand-in for the platform's VM list. `PUT /vms/<name>` writes an entry and `DELETE /vms/<name>` removes it. Both
// become visible in `GET /vms` after the lag set with `POST /faults`.
#include "faultswitch_pvt.h"
#include "fescueledge/vmentry.h"
#include "standinargs_pvt.h"

#include <algorithm>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <vector>

using namespace fescueledge;

namespace {

constexpr int serverThreads = 32;

/// A change of the list that becomes visible at a later time.
struct ListChange
{
    TimePoint visibleAt;
    std::string name;
    std::optional<VmEntry> entry; ///< Empty for a removal.
};

/// The visible entries and the changes that are not visible yet.
class LaggingVmList
{
public:
    void change(const std::string &name, const std::optional<VmEntry> &entry, Milliseconds lag)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_changes.push_back(ListChange{Clock::now() + lag, name, entry});
    }

    nlohmann::json visibleEntries()
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        const TimePoint now = Clock::now();
        for (const ListChange &change : m_changes) {
            if (change.visibleAt <= now) {
                apply(change);
            }
        }
        m_changes.erase(std::remove_if(m_changes.begin(), m_changes.end(),
                                       [now](const ListChange &change) {
                                           return change.visibleAt <= now;
                                       }),
                        m_changes.end());
        nlohmann::json out = {{"vms", nlohmann::json::array()}};
        for (const auto &[name, entry] : m_entries) {
            out["vms"].push_back(entry);
        }
        return out;
    }

private:
    void apply(const ListChange &change)
    {
        if (change.entry) {
            m_entries[change.name] = *change.entry;
        } else {
            m_entries.erase(change.name);
        }
    }

    std::mutex m_mutex;
    std::map<std::string, VmEntry> m_entries;
    std::vector<ListChange> m_changes;
};

} // namespace

int main(int argc, char **argv)
{
    const std::map<std::string, std::string> args = parseStandInArgs(argc, argv, {{"listen", "127.0.0.1:7102"}});
    httplib::Server server;
    prepareServer(&server, serverThreads);
    FaultSwitch faults;
    faults.attach(&server);
    LaggingVmList list;

    server.Get("/vms", [&](const httplib::Request &, httplib::Response &response) {
        if (faults.admit(response)) {
            response.set_content(list.visibleEntries().dump(), "application/json");
        }
    });
    server.Put("/vms/(.+)", [&](const httplib::Request &request, httplib::Response &response) {
        list.change(request.matches[1], nlohmann::json::parse(request.body).get<VmEntry>(), faults.lag());
        response.set_content("{}", "application/json");
    });
    server.Delete("/vms/(.+)", [&](const httplib::Request &request, httplib::Response &response) {
        list.change(request.matches[1], std::nullopt, faults.lag());
        response.set_content("{}", "application/json");
    });
    return server.listen(hostOf(args.at("listen")), portOf(args.at("listen"))) ? 0 : 1;
}
