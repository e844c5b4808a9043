#pragma once

#include "fescueledge/resources.h"
#include "fescueledge/types.h"

#include <nlohmann/json_fwd.hpp>
#include <string>

namespace fescueledge {

/// One VM of the platform's VM list.
struct VmEntry
{
    enum class Kind {
        Entry, ///< Runs the daemon.
        Worker, ///< Runs tasks and the endpoint of a service.
    };
    enum class State {
        Live,
        Leaving, ///< Will be stopped soon and must not get new work.
    };

    std::string name; ///< A NodeId or a WorkerId.
    Kind kind = Kind::Worker;
    State state = State::Live;
    DataCentreId dataCentre;
    std::string rack; ///< Empty for entry VMs.
    std::string address; ///< `ip:port` of the worker agent or of the daemon's peer listener.
    std::string endpointAddress; ///< `ip:port` of the service endpoint; workers only.
    Resources capacity; ///< Workers only.
};

void to_json(nlohmann::json &json, const VmEntry &entry);
void from_json(const nlohmann::json &json, VmEntry &entry);

} // namespace fescueledge
