#pragma once

#include "changeorder_pvt.h"
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
        using is_transparent = void;
        bool operator()(const std::pair<double, Worker *> &a, const std::pair<double, Worker *> &b) const;
        bool operator()(const std::pair<double, Worker *> &a, double load) const
        {
            return a.first < load;
        }
        bool operator()(double load, const std::pair<double, Worker *> &b) const
        {
            return load < b.first;
        }
    };
    /// Workers by a share of their processors, the least loaded first.
    using ByLoad = std::set<std::pair<double, Worker *>, LoadOrder>;

    /// Workers of equal capacity on which tasks of the same images serve.
    struct Group
    {
        std::vector<std::string> images; ///< Ordered.
        std::vector<std::size_t> imageNumbers; ///< Their numbers, see imageNames().
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

    /// Leaves @p worker out of all results until restore(), because it is reserved. Reserved workers are the least used
    /// as their tasks end, so a search would begin with all of them.
    void withhold(Worker *worker);
    void restore(Worker *worker);
    const std::vector<Worker *> &withheld() const
    {
        return m_withheld;
    }

    /// Records that room has come free on @p worker, or that it gets tasks again, so that it may take some that it did
    /// not take before.
    void markFreed(Worker *worker);
    /// Records that the serving tasks on @p worker may have got more headroom, so that it may take more fillers.
    void markEased(Worker *worker);
    /// The workers by their latest markFreed(). They may be parked.
    const ChangeOrder &freed() const
    {
        return m_freed;
    }
    /// The workers by their latest markEased(). They may be parked.
    const ChangeOrder &eased() const
    {
        return m_eased;
    }

    /// The workers of @p service, those of them with @p label, or those of them on @p rack, by the share of their
    /// processors that is reserved.
    const ByLoad &byUse(const std::string &service) const;
    const ByLoad &byUseWithLabel(const std::string &service, const std::string &label) const;
    const ByLoad &byUseOnRack(const std::string &service, const std::string &rack) const;
    /// The groups of workers of @p service.
    std::vector<const Group *> groups(const std::string &service) const;
    /// Changes whenever a group is added or removed.
    std::uint64_t groupsVersion() const
    {
        return m_groupsVersion;
    }
    /// The images of all groups by number; a number that is not in use has an empty name.
    const std::vector<std::string> &imageNames() const
    {
        return m_imageNames;
    }
    /// Capacity of the largest worker that is neither parked nor withheld.
    std::int64_t maxMilliCores() const
    {
        return m_capacities.empty() ? 0 : m_capacities.rbegin()->first;
    }

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
        Group *group = nullptr; ///< nullptr if the worker is parked or withheld.
        std::uint64_t freed = 0; ///< Number of its latest markFreed().
        std::uint64_t eased = 0; ///< Number of its latest markEased().
    };
    /// An image of at least one group.
    struct Image
    {
        std::size_t number = 0;
        std::size_t groups = 0;
    };

    void insert(Worker *worker, Entry *entry);
    void erase(Worker *worker, Entry *entry);
    void updateBusy(Worker *worker, Entry *entry);
    Group *addGroup(const GroupKey &key);
    void removeGroup(Group *group, const std::string &service);

    std::unordered_map<const Worker *, Entry> m_entries;
    std::map<std::string, ByLoad> m_byUse;
    std::map<RackKey, ByLoad> m_byUseOnRack;
    std::map<LabelKey, ByLoad> m_byUseWithLabel;
    std::map<GroupKey, Group> m_groups;
    std::uint64_t m_groupsVersion = 0;
    std::map<std::string, Image> m_images;
    std::vector<std::string> m_imageNames;
    std::map<std::int64_t, std::size_t> m_capacities; ///< Number of workers in groups, by capacity.
    std::vector<Worker *> m_parked;
    std::vector<Worker *> m_withheld;
    ChangeOrder m_freed;
    ChangeOrder m_eased;
    std::int64_t m_milliCores = 0;
};

/// Shares of the processors of @p worker that are reserved, and that are expected to be busy.
double usedShare(const Worker &worker);
double busyShare(const Worker &worker);

} // namespace fescueledge::workflow
