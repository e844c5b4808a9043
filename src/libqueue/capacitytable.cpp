#include "capacitytable_pvt.h"

#include <algorithm>

namespace fescueledge {

namespace {

constexpr Milliseconds noticeTimeout{4000};
/// The largest VM size of a pool is kept for this time after it was last reported.
constexpr std::chrono::minutes vmSizeWindow{10};
/// A pool must have been observed for this long before a task counts as too large for it.
constexpr Milliseconds poolObservationWindow{10000};

Resources componentMax(const Resources &a, const Resources &b)
{
    return {std::max(a.milliCores, b.milliCores), std::max(a.memoryMb, b.memoryMb),
            std::max(a.accelerators, b.accelerators)};
}

Resources clampToZero(const Resources &a)
{
    return componentMax(a, Resources());
}

double limitSlots(std::int64_t available, std::int64_t need, double slots)
{
    return need <= 0 ? slots : std::min(slots, static_cast<double>(available) / static_cast<double>(need));
}

} // namespace

void CapacityTable::update(const NodeId &node, const CapacityNotice &notice, TimePoint now)
{
    NodeCapacity &capacity = m_nodes[node];
    std::vector<Cell> cells;
    for (const CapacityNotice::Item &it : notice.items) {
        Cell cell{it.pool, it.dataCentre, it.free, it.largest, it.largestVm, {}, {}};
        for (const Cell &old : capacity.cells) {
            if (old.pool == cell.pool && old.dataCentre == cell.dataCentre) {
                cell.outstanding = old.outstanding;
            }
        }
        cells.push_back(cell);
        ObservedVmSize &seen = m_observedVmSizes[{it.pool, it.dataCentre}];
        if (seen.firstSeen == TimePoint()) {
            seen.firstSeen = now;
        }
        seen.largest = componentMax(seen.largest, it.largestVm);
        seen.lastSeen = now;
    }
    capacity.receivedAt = now;
    capacity.cells = std::move(cells);
}

void CapacityTable::expire(TimePoint now)
{
    for (auto it = m_nodes.begin(); it != m_nodes.end();) {
        it = now - it->second.receivedAt > noticeTimeout ? m_nodes.erase(it) : std::next(it);
    }
    for (auto it = m_observedVmSizes.begin(); it != m_observedVmSizes.end();) {
        it = now - it->second.lastSeen > vmSizeWindow ? m_observedVmSizes.erase(it) : std::next(it);
    }
}

double CapacityTable::slotsFor(const Cell &cell, const TaskOffer &offer)
{
    const Resources &need = offer.resources;
    const Resources available = clampToZero(cell.free - cell.outstanding);
    if (!need.fitsIn(cell.largest) || !need.fitsIn(available)) {
        return 0;
    }
    for (const Resources &refusal : cell.refusals) {
        if (refusal.fitsIn(need)) {
            return 0;
        }
    }
    double slots = 1e9;
    slots = limitSlots(available.milliCores, need.milliCores, slots);
    slots = limitSlots(available.memoryMb, need.memoryMb, slots);
    return limitSlots(available.accelerators, need.accelerators, slots);
}

std::vector<CapacityTable::Candidate> CapacityTable::candidates(const TaskOffer &offer,
                                                                const std::set<DataCentreId> &excludedDataCentres,
                                                                bool includeFull) const
{
    std::vector<Candidate> result;
    for (const auto &[node, capacity] : m_nodes) {
        for (std::size_t i = 0; i < capacity.cells.size(); ++i) {
            const Cell &cell = capacity.cells[i];
            const bool eligible = (offer.pool.empty() || offer.pool == cell.pool)
                && excludedDataCentres.count(cell.dataCentre) == 0 && offer.resources.fitsIn(cell.largestVm);
            if (!eligible) {
                continue;
            }
            const double slots = slotsFor(cell, offer);
            if (slots >= 1 || includeFull) {
                result.push_back({node, i, slots});
            }
        }
    }
    return result;
}

CapacityTable::Cell *CapacityTable::findCell(const Candidate &candidate)
{
    const auto it = m_nodes.find(candidate.node);
    if (it == m_nodes.end() || candidate.cell >= it->second.cells.size()) {
        return nullptr;
    }
    return &it->second.cells[candidate.cell];
}

void CapacityTable::recordOffer(const Candidate &candidate, const Resources &need)
{
    if (Cell *cell = findCell(candidate)) {
        cell->outstanding += need;
    }
}

void CapacityTable::recordGrant(const Candidate &candidate, const Resources &need)
{
    if (Cell *cell = findCell(candidate)) {
        cell->outstanding = clampToZero(cell->outstanding - need);
        cell->free = clampToZero(cell->free - need);
    }
}

void CapacityTable::recordRefusal(const Candidate &candidate, const Resources &need)
{
    if (Cell *cell = findCell(candidate)) {
        cell->outstanding = clampToZero(cell->outstanding - need);
        if (std::find(cell->refusals.begin(), cell->refusals.end(), need) == cell->refusals.end()) {
            cell->refusals.push_back(need);
        }
    }
}

void CapacityTable::recordNoAnswer(const Candidate &candidate, const Resources &need)
{
    if (Cell *cell = findCell(candidate)) {
        cell->outstanding = clampToZero(cell->outstanding - need);
    }
}

void CapacityTable::recordFreed(const NodeId &node, const std::string &pool, const DataCentreId &dataCentre,
                                const Resources &freed)
{
    const auto it = m_nodes.find(node);
    if (it == m_nodes.end()) {
        return;
    }
    for (Cell &cell : it->second.cells) {
        if (cell.pool == pool && cell.dataCentre == dataCentre) {
            cell.free += freed;
            cell.largest = componentMax(cell.largest, freed);
            cell.refusals.clear();
        }
    }
}

bool CapacityTable::mayEverFit(const std::string &pool, const Resources &need, TimePoint now) const
{
    bool seenLongEnough = false;
    for (const auto &[key, seen] : m_observedVmSizes) {
        if (!pool.empty() && pool != key.first) {
            continue;
        }
        if (need.fitsIn(seen.largest)) {
            return true;
        }
        seenLongEnough = seenLongEnough || now - seen.firstSeen >= poolObservationWindow;
    }
    return !seenLongEnough;
}

bool CapacityTable::hasSeenPool(const std::string &pool) const
{
    for (const auto &[key, seen] : m_observedVmSizes) {
        if (pool.empty() || pool == key.first) {
            return true;
        }
    }
    return false;
}

Resources CapacityTable::totalFree() const
{
    Resources total;
    for (const auto &[node, capacity] : m_nodes) {
        for (const Cell &cell : capacity.cells) {
            total += cell.free;
        }
    }
    return total;
}

} // namespace fescueledge
