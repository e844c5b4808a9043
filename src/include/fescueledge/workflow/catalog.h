#pragma once

#include "fescueledge/types.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace fescueledge::workflow {

/// A queue that callers hand workflows to.
struct QueuePolicy
{
    std::string name;
    std::string host; ///< Host that callers name.
    std::string pathPrefix; ///< Paths of its workflows begin so.
    std::string service; ///< Its tasks run on the workers of this service.
    int priority = 0; ///< 0 goes first.
    std::uint32_t maxAttempts = 1; ///< Runs of one task that may fail.
    double slackFactor = 1; ///< Objective: this times the critical path, and `target` more.
    Milliseconds target{0};
};

/// A kind of worker.
struct ServicePolicy
{
    std::string name;
    bool workersGuardCapacity = false; ///< Its workers refuse what does not fit.
};

/// Planned maintenance of some VMs.
struct MaintenanceWave
{
    std::uint64_t number = 0;
    std::vector<std::string> vms;
    std::chrono::seconds deadline{0};
    std::uint32_t atOnce = 1; ///< VMs that may be down for it at the same time.
};

/// What operators have configured, at one version.
struct Catalog
{
    std::uint64_t version = 0;
    std::vector<QueuePolicy> queues;
    std::map<std::string, ServicePolicy> services;
    std::set<DataCentreId> evacuated; ///< Data centres whose workers get nothing new.
    std::size_t maxBodyBytes = 262144;
    std::size_t maxHeaderBytes = 16384;

    /// The queue for a request to @p host with @p path: the longest matching prefix; nullptr if none matches.
    const QueuePolicy *match(const std::string &host, const std::string &path) const;
    const QueuePolicy *queue(const std::string &name) const;
};

} // namespace fescueledge::workflow
