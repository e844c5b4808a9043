#include "capacitytable_pvt.h"

#include <algorithm>

namespace fescueledge {

namespace {

constexpr Milliseconds noticeLifetime{4000};
/// Largest VMs are remembered for so long after they were last seen.
constexpr std::chrono::minutes vmMemory{10};
/// A pool must have been seen for so long before anything is called too large for it.
constexpr Milliseconds neverRunnableAfter{10000};

Resources largerOf(const Resources &a, const Resources &b)
{
    return {std::max(a.milliCores, b.milliCores), std::max(a.memoryMb, b.memoryMb),
            std::max(a.accelerators, b.accelerators)};
}

Resources notNegative(const Resources &a)
{
    return largerOf(a, Resources());
}

double copies(std::int64_t room, std::int64_t need, double best)
{
    return need <= 0 ? best : std::min(best, static_cast<double>(room) / static_cast<double>(need));
}

} // namespace

void CapacityTable::update(const NodeId &node, const CapacityNotice &notice, TimePoint now)
{
    NodeRoom &room = m_nodes[node];
    std::vector<Cell> cells;
    for (const CapacityNotice::Item &it : notice.items) {
        Cell cell{it.pool, it.dataCentre, it.free, it.largest, it.largestVm, {}, {}};
        for (const Cell &old : room.cells) {
            if (old.pool == cell.pool && old.dataCentre == cell.dataCentre) {
                cell.outstanding = old.outstanding;
            }
        }
        cells.push_back(cell);
        SeenVm &seen = m_seen[{it.pool, it.dataCentre}];
        if (seen.firstSeen == TimePoint()) {
            seen.firstSeen = now;
        }
        seen.largest = largerOf(seen.largest, it.largestVm);
        seen.lastSeen = now;
    }
    room.heard = now;
    room.cells = std::move(cells);
}

void CapacityTable::expire(TimePoint now)
{
    for (auto it = m_nodes.begin(); it != m_nodes.end();) {
        it = now - it->second.heard > noticeLifetime ? m_nodes.erase(it) : std::next(it);
    }
    for (auto it = m_seen.begin(); it != m_seen.end();) {
        it = now - it->second.lastSeen > vmMemory ? m_seen.erase(it) : std::next(it);
    }
}

double CapacityTable::roomFor(const Cell &cell, const TaskOffer &offer)
{
    const Resources &need = offer.resources;
    const Resources room = notNegative(cell.free - cell.outstanding);
    if (!need.fitsIn(cell.largest) || !need.fitsIn(room)) {
        return 0;
    }
    for (const Resources &refusal : cell.refusals) {
        if (refusal.fitsIn(need)) {
            return 0;
        }
    }
    double best = 1e9;
    best = copies(room.milliCores, need.milliCores, best);
    best = copies(room.memoryMb, need.memoryMb, best);
    return copies(room.accelerators, need.accelerators, best);
}

std::vector<CapacityTable::Candidate>
CapacityTable::candidates(const TaskOffer &offer, const std::set<DataCentreId> &dataCentresOut, bool evenIfFull) const
{
    std::vector<Candidate> result;
    for (const auto &[node, room] : m_nodes) {
        for (std::size_t i = 0; i < room.cells.size(); ++i) {
            const Cell &cell = room.cells[i];
            const bool eligible = (offer.pool.empty() || offer.pool == cell.pool)
                && dataCentresOut.count(cell.dataCentre) == 0 && offer.resources.fitsIn(cell.largestVm);
            if (!eligible) {
                continue;
            }
            const double fits = roomFor(cell, offer);
            if (fits >= 1 || evenIfFull) {
                result.push_back({node, i, fits});
            }
        }
    }
    return result;
}

CapacityTable::Cell *CapacityTable::cellOf(const Candidate &candidate)
{
    const auto it = m_nodes.find(candidate.node);
    if (it == m_nodes.end() || candidate.cell >= it->second.cells.size()) {
        return nullptr;
    }
    return &it->second.cells[candidate.cell];
}

void CapacityTable::offered(const Candidate &candidate, const Resources &need)
{
    if (Cell *cell = cellOf(candidate)) {
        cell->outstanding += need;
    }
}

void CapacityTable::granted(const Candidate &candidate, const Resources &need)
{
    if (Cell *cell = cellOf(candidate)) {
        cell->outstanding = notNegative(cell->outstanding - need);
        cell->free = notNegative(cell->free - need);
    }
}

void CapacityTable::refused(const Candidate &candidate, const Resources &need)
{
    if (Cell *cell = cellOf(candidate)) {
        cell->outstanding = notNegative(cell->outstanding - need);
        if (std::find(cell->refusals.begin(), cell->refusals.end(), need) == cell->refusals.end()) {
            cell->refusals.push_back(need);
        }
    }
}

void CapacityTable::unanswered(const Candidate &candidate, const Resources &need)
{
    if (Cell *cell = cellOf(candidate)) {
        cell->outstanding = notNegative(cell->outstanding - need);
    }
}

void CapacityTable::ended(const NodeId &node, const std::string &pool, const DataCentreId &dataCentre,
                          const Resources &freed)
{
    const auto it = m_nodes.find(node);
    if (it == m_nodes.end()) {
        return;
    }
    for (Cell &cell : it->second.cells) {
        if (cell.pool == pool && cell.dataCentre == dataCentre) {
            cell.free += freed;
            cell.largest = largerOf(cell.largest, freed);
            cell.refusals.clear();
        }
    }
}

bool CapacityTable::couldEverHold(const std::string &pool, const Resources &need, TimePoint now) const
{
    bool seenLongEnough = false;
    for (const auto &[key, seen] : m_seen) {
        if (!pool.empty() && pool != key.first) {
            continue;
        }
        if (need.fitsIn(seen.largest)) {
            return true;
        }
        seenLongEnough = seenLongEnough || now - seen.firstSeen >= neverRunnableAfter;
    }
    return !seenLongEnough;
}

bool CapacityTable::knowsPool(const std::string &pool) const
{
    for (const auto &[key, seen] : m_seen) {
        if (pool.empty() || pool == key.first) {
            return true;
        }
    }
    return false;
}

Resources CapacityTable::totalFree() const
{
    Resources total;
    for (const auto &[node, room] : m_nodes) {
        for (const Cell &cell : room.cells) {
            total += cell.free;
        }
    }
    return total;
}

} // namespace fescueledge
