#include "candidateindex_pvt.h"

#include <algorithm>

namespace fescueledge::workflow {

namespace {

double capacityOf(const Worker &worker)
{
    return static_cast<double>(std::max<std::int64_t>(1, worker.entry.capacity.milliCores));
}

/// Erases @p worker from the set of @p key, and an empty set.
template<typename Key>
void eraseFrom(std::map<Key, CandidateIndex::ByLoad> *sets, const Key &key, const std::pair<double, Worker *> &worker)
{
    const auto it = sets->find(key);
    it->second.erase(worker);
    if (it->second.empty()) {
        sets->erase(it);
    }
}

template<typename Key>
const CandidateIndex::ByLoad &find(const std::map<Key, CandidateIndex::ByLoad> &sets, const Key &key)
{
    static const CandidateIndex::ByLoad none;
    const auto it = sets.find(key);
    return it == sets.end() ? none : it->second;
}

bool serves(const Worker &worker, const std::vector<std::string> &images)
{
    return worker.servingImages.size() == images.size()
        && std::equal(images.begin(), images.end(), worker.servingImages.begin(),
                      [](const std::string &image, const auto &serving) {
                          return image == serving.first;
                      });
}

} // namespace

double usedShare(const Worker &worker)
{
    return static_cast<double>(worker.used.milliCores) / capacityOf(worker);
}

double busyShare(const Worker &worker)
{
    return worker.busyMilliCores / capacityOf(worker);
}

bool CandidateIndex::LoadOrder::operator()(const std::pair<double, Worker *> &a,
                                           const std::pair<double, Worker *> &b) const
{
    if (a.first != b.first) {
        return a.first < b.first;
    }
    return a.second->id < b.second->id;
}

void CandidateIndex::add(Worker *worker)
{
    Entry &entry = m_entries[worker];
    insert(worker, &entry);
    markFreed(worker);
    m_milliCores += entry.milliCores;
}

void CandidateIndex::remove(Worker *worker)
{
    const auto it = m_entries.find(worker);
    if (it != m_entries.end()) {
        erase(worker, &it->second);
        m_freed.remove(it->second.freed);
        m_eased.remove(it->second.eased);
        m_milliCores -= it->second.milliCores;
        m_parked.erase(std::remove(m_parked.begin(), m_parked.end(), worker), m_parked.end());
        m_withheld.erase(std::remove(m_withheld.begin(), m_withheld.end(), worker), m_withheld.end());
        m_entries.erase(it);
    }
}

void CandidateIndex::markFreed(Worker *worker)
{
    m_freed.add(worker, &m_entries.at(worker).freed);
}

void CandidateIndex::markEased(Worker *worker)
{
    m_eased.add(worker, &m_entries.at(worker).eased);
}

void CandidateIndex::park(Worker *worker)
{
    Entry &entry = m_entries.at(worker);
    if (entry.group != nullptr) {
        erase(worker, &entry);
        m_parked.push_back(worker);
    }
}

void CandidateIndex::restoreIf(const std::function<bool(const Worker &)> &usable)
{
    const auto kept = std::partition(m_parked.begin(), m_parked.end(), [&usable](const Worker *worker) {
        return !usable(*worker);
    });
    for (auto it = kept; it != m_parked.end(); ++it) {
        insert(*it, &m_entries.at(*it));
        markFreed(*it);
    }
    m_parked.erase(kept, m_parked.end());
}

void CandidateIndex::withhold(Worker *worker)
{
    erase(worker, &m_entries.at(worker));
    m_parked.erase(std::remove(m_parked.begin(), m_parked.end(), worker), m_parked.end());
    m_withheld.push_back(worker);
}

void CandidateIndex::restore(Worker *worker)
{
    const auto it = std::find(m_withheld.begin(), m_withheld.end(), worker);
    if (it != m_withheld.end()) {
        m_withheld.erase(it);
        insert(worker, &m_entries.at(worker));
    }
}

void CandidateIndex::update(Worker *worker)
{
    Entry &entry = m_entries.at(worker);
    m_milliCores += worker->entry.capacity.milliCores - entry.milliCores;
    if (entry.group == nullptr) {
        entry.milliCores = worker->entry.capacity.milliCores;
        return; // It is parked or withheld.
    }
    const bool sameGroup = entry.service == worker->entry.service && entry.rack == worker->entry.rack
        && entry.labels == worker->entry.labels && entry.milliCores == worker->entry.capacity.milliCores
        && serves(*worker, entry.group->images);
    if (sameGroup && entry.use == usedShare(*worker)) {
        updateBusy(worker, &entry); // Fillers, most of what starts, reserve no processor time.
        return;
    }
    erase(worker, &entry);
    insert(worker, &entry);
}

void CandidateIndex::updateBusy(Worker *worker, Entry *entry)
{
    const double busy = busyShare(*worker);
    if (busy != entry->busy) {
        entry->group->byBusy.erase({entry->busy, worker});
        entry->busy = busy;
        entry->group->byBusy.emplace(busy, worker);
    }
}

void CandidateIndex::insert(Worker *worker, Entry *entry)
{
    entry->service = worker->entry.service;
    entry->rack = worker->entry.rack;
    entry->labels = worker->entry.labels;
    entry->milliCores = worker->entry.capacity.milliCores;
    entry->use = usedShare(*worker);
    entry->busy = busyShare(*worker);
    std::vector<std::string> images;
    for (const auto &[image, tasks] : worker->servingImages) {
        images.push_back(image);
    }
    Group &group = *addGroup(GroupKey{entry->service, images, entry->milliCores});
    entry->group = &group;
    ++m_capacities[entry->milliCores];
    group.mostUsed.emplace(-entry->use, worker);
    group.byBusy.emplace(entry->busy, worker);
    m_byUse[entry->service].emplace(entry->use, worker);
    m_byUseOnRack[RackKey{entry->service, entry->rack}].emplace(entry->use, worker);
    for (const std::string &label : entry->labels) {
        m_byUseWithLabel[LabelKey{entry->service, label}].emplace(entry->use, worker);
    }
}

void CandidateIndex::erase(Worker *worker, Entry *entry)
{
    if (entry->group == nullptr) {
        return;
    }
    const std::pair<double, Worker *> use{entry->use, worker};
    eraseFrom(&m_byUse, entry->service, use);
    eraseFrom(&m_byUseOnRack, RackKey{entry->service, entry->rack}, use);
    for (const std::string &label : entry->labels) {
        eraseFrom(&m_byUseWithLabel, LabelKey{entry->service, label}, use);
    }
    Group &group = *entry->group;
    entry->group = nullptr;
    group.mostUsed.erase({-entry->use, worker});
    group.byBusy.erase({entry->busy, worker});
    const auto capacity = m_capacities.find(entry->milliCores);
    if (--capacity->second == 0) {
        m_capacities.erase(capacity);
    }
    if (group.mostUsed.empty()) {
        removeGroup(&group, entry->service);
    }
}

CandidateIndex::Group *CandidateIndex::addGroup(const GroupKey &key)
{
    const auto [it, isNew] = m_groups.try_emplace(key);
    Group &group = it->second;
    if (!isNew) {
        return &group;
    }
    ++m_groupsVersion;
    std::tie(std::ignore, group.images, group.milliCores) = key;
    for (const std::string &name : group.images) {
        const auto [image, isNewImage] = m_images.try_emplace(name);
        if (isNewImage) {
            const auto unused = std::find(m_imageNames.begin(), m_imageNames.end(), std::string());
            image->second.number = static_cast<std::size_t>(unused - m_imageNames.begin());
            if (unused == m_imageNames.end()) {
                m_imageNames.emplace_back();
            }
            m_imageNames[image->second.number] = name;
        }
        ++image->second.groups;
        group.imageNumbers.push_back(image->second.number);
    }
    return &group;
}

void CandidateIndex::removeGroup(Group *group, const std::string &service)
{
    ++m_groupsVersion;
    for (const std::string &name : group->images) {
        const auto image = m_images.find(name);
        if (--image->second.groups == 0) {
            m_imageNames[image->second.number].clear();
            m_images.erase(image);
        }
    }
    m_groups.erase(GroupKey{service, std::vector<std::string>(group->images), group->milliCores});
}

const CandidateIndex::ByLoad &CandidateIndex::byUse(const std::string &service) const
{
    return find(m_byUse, service);
}

const CandidateIndex::ByLoad &CandidateIndex::byUseWithLabel(const std::string &service, const std::string &label) const
{
    return find(m_byUseWithLabel, LabelKey{service, label});
}

const CandidateIndex::ByLoad &CandidateIndex::byUseOnRack(const std::string &service, const std::string &rack) const
{
    return find(m_byUseOnRack, RackKey{service, rack});
}

std::vector<const CandidateIndex::Group *> CandidateIndex::groups(const std::string &service) const
{
    std::vector<const Group *> out;
    for (auto it = m_groups.lower_bound(GroupKey{service, {}, 0});
         it != m_groups.end() && std::get<std::string>(it->first) == service; ++it) {
        out.push_back(&it->second);
    }
    return out;
}

} // namespace fescueledge::workflow
