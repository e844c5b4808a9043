#pragma once

#include "fescueledge/account/accountpolicy.h"
#include "fescueledge/types.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace fescueledge::workflow {

/// A queue to which callers submit workflows.
struct QueuePolicy
{
    std::string name;
    std::string host; ///< Host in callers' requests.
    std::string pathPrefix; ///< Path prefix of its workflows.
    std::string service; ///< Service whose workers run its tasks.
    int priority = 0; ///< 0 is the highest.
    std::uint32_t maxAttempts = 1; ///< Failed runs of one task after which its job fails.
    double slackFactor = 1; ///< The objective is this times the critical path, plus `target`.
    Milliseconds target{0};
    bool isPublic = false; ///< Requests need no key of an account.
};

/// A kind of worker.
struct ServicePolicy
{
    std::string name;
    bool workersEnforceCapacity = false; ///< Its workers reject tasks that do not fit.
};

/// Planned maintenance of some VMs.
struct MaintenanceWave
{
    std::uint64_t number = 0;
    std::vector<std::string> vms;
    std::chrono::seconds deadline{0};
    std::uint32_t atOnce = 1; ///< VMs that may be down for maintenance at the same time.
};

/// One version of the operators' configuration.
struct Catalog
{
    std::uint64_t version = 0;
    std::vector<QueuePolicy> queues;
    std::map<std::string, ServicePolicy> services;
    std::map<std::string, account::AccountPolicy> accounts; ///< By name.
    bool asksForKeys = false; ///< The deployment has accounts, if perhaps none that is valid.
    /// Accounts that are left out because their entry is invalid, with what is wrong. The name may be missing.
    std::vector<std::pair<std::string, std::string>> invalidAccounts;
    std::set<DataCentreId> evacuated; ///< Data centres whose workers get no new tasks.
    std::size_t maxBodyBytes = 262144; ///< Of a caller's request.
    std::size_t maxHeaderBytes = 16384;
    Milliseconds headerTimeout{15000}; ///< From the first byte of a caller's request until its headers are complete.
    Milliseconds idleTimeout{15000}; ///< How long a caller's connection stays open without a request.
    std::vector<std::string> invalidLimits; ///< Limits that are not in force as configured, with what is.

    /// The queue for a request to @p host with @p path: the longest matching prefix; nullptr if none matches.
    const QueuePolicy *match(const std::string &host, const std::string &path) const;
    const QueuePolicy *queue(const std::string &name) const;
};

} // namespace fescueledge::workflow
