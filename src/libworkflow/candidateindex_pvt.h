#pragma once

#include "entities_pvt.h"

#include <functional>
#include <map>
#include <set>
#include <string>
#include <tuple>
#include <unordered_map>
#include <utility>
#include <vector>

namespace fescueledge::workflow {

/// The workers by service and load, kept up as they change, so that a place is found without a look at all of them.
class CandidateIndex
{
public:
    struct LoadOrder
    {
        bool operator()(const std::pair<double, Worker *> &a, const std::pair<double, Worker *> &b) const;
    };
    /// Workers by a share of their processors, the least loaded first.
    using ByLoad = std::set<std::pair<double, Worker *>, LoadOrder>;

    /// Workers of equal capacity on which tasks of the same images serve.
    struct Group
    {
        std::vector<std::string> images; ///< Ordered.
        std::int64_t milliCores = 0; ///< Capacity of each worker.
        ByLoad mostUsed; ///< By the share of their processors that is reserved, negated: the most used first.
        ByLoad byBusy; ///< By the share of their processors that is expected to be busy.
    };

    void add(Worker *worker);
    void remove(Worker *worker);
    /// To be called after the load or the entry of @p worker has changed.
    void update(Worker *worker);

    /// Leaves @p worker out of all results until restoreIf(), because it gets no tasks at present. Otherwise such
    /// workers, which are the least loaded, would be looked at for each task.
    void park(Worker *worker);
    /// Restores the parked workers for which @p usable holds.
    void restoreIf(const std::function<bool(const Worker &)> &usable);

    /// The workers of @p service, those of them with @p label, or those of them on @p rack, by the share of their
    /// processors that is reserved.
    const ByLoad &byUse(const std::string &service) const;
    const ByLoad &byUseWithLabel(const std::string &service, const std::string &label) const;
    const ByLoad &byUseOnRack(const std::string &service, const std::string &rack) const;
    /// The groups of workers of @p service.
    std::vector<const Group *> groups(const std::string &service) const;

    /// Capacity of all workers.
    std::int64_t milliCores() const
    {
        return m_milliCores;
    }

private:
    using GroupKey = std::tuple<std::string, std::vector<std::string>, std::int64_t>;
    using RackKey = std::pair<std::string, std::string>;
    using LabelKey = std::pair<std::string, std::string>;

    /// Where a worker is in the index.
    struct Entry
    {
        std::string service;
        std::string rack;
        std::set<std::string> labels;
        std::int64_t milliCores = 0;
        double use = 0;
        double busy = 0;
        Group *group = nullptr; ///< nullptr if the worker is parked.
    };

    void insert(Worker *worker, Entry *entry);
    void erase(Worker *worker, Entry *entry);
    void updateBusy(Worker *worker, Entry *entry);

    std::unordered_map<const Worker *, Entry> m_entries;
    std::map<std::string, ByLoad> m_byUse;
    std::map<RackKey, ByLoad> m_byUseOnRack;
    std::map<LabelKey, ByLoad> m_byUseWithLabel;
    std::map<GroupKey, Group> m_groups;
    std::vector<Worker *> m_parked;
    std::int64_t m_milliCores = 0;
};

/// Shares of the processors of @p worker that are reserved, and that are expected to be busy.
double usedShare(const Worker &worker);
double busyShare(const Worker &worker);

} // namespace fescueledge::workflow
