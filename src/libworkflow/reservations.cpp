#include "reservations_pvt.h"

#include "accountgate_pvt.h"
#include "placement_pvt.h"

#include <algorithm>
#include <map>
#include <tuple>

namespace fescueledge::workflow {

namespace {

/// A task that has found no room for this long gets a worker reserved: users accept three seconds for long-running
/// ones.
constexpr Milliseconds reservationDelay{1500};
/// A reservation that has not led to a start ends after this time: what runs there takes longer than was expected.
constexpr std::chrono::seconds reservationTimeout{10};
constexpr Milliseconds updateInterval{100};
/// At most one worker in this many is reserved, and one at least.
constexpr std::size_t workersPerReservation = 8;

// The following apply to work that isn't long-running, with look-ahead.

/// A reservation keeps at most as much room idle as a whole worker has in this time: more than the tasks that make room
/// take on average, 2.7 s.
constexpr std::chrono::seconds maxIdleTime{3};
/// A search that is older than this says nothing about whether a step finds room.
constexpr Milliseconds searchValidity{500};
constexpr Milliseconds searchInterval{500};
constexpr Milliseconds forecastInterval{200};
/// These bound what searches cost, however large the fleet is and however much waits: 256 verdicts a second.
constexpr int searchesPerUpdate = 4;
constexpr int workersPerSearch = 32;
/// A step gets at most this many workers at a time, so that others get some too.
constexpr std::uint32_t reservationsPerSearch = 4;
/// A step waits this long for its next search after one that found no worker, or after a reservation that failed.
constexpr Milliseconds stepPause{1000};
/// A forecast has to move back by this much before others look at the worker again.
constexpr Milliseconds forecastChange{500};

/// What the long-running tasks on @p worker, which do not end by themselves, leave of its room.
Resources roomBesideLasting(const Worker &worker)
{
    Resources room = worker.entry.capacity;
    for (const Task *task : worker.tasks) {
        if (task->step->spec->longRunning) {
            room -= task->step->spec->perTask;
        }
    }
    return room;
}

/// The share of the processors of @p worker that no task reserves.
double idleShare(const Worker &worker)
{
    const std::int64_t capacity = std::max<std::int64_t>(1, worker.entry.capacity.milliCores);
    return std::max(0.0, static_cast<double>(capacity - worker.used.milliCores) / static_cast<double>(capacity));
}

template<typename Key>
void dropPassed(std::map<Key, TimePoint> *times, TimePoint now)
{
    for (auto it = times->begin(); it != times->end();) {
        it = it->second <= now ? times->erase(it) : std::next(it);
    }
}

} // namespace

Reservations::Reservations(std::shared_ptr<Context> context, const Placement *placement, const AccountGate *accounts)
    : m_context(std::move(context))
    , m_placement(placement)
    , m_accounts(accounts)
{
}

bool Reservations::waitsTooLong(const Step &step, TimePoint now)
{
    return step.spec->longRunning && !step.spec->gang && step.waitingSince != TimePoint{}
    && now - step.waitingSince >= reservationDelay;
}

bool Reservations::isDue() const
{
    return m_context->now() >= m_updatedAt + updateInterval;
}

bool Reservations::isEntitled(const Step &step) const
{
    const TimePoint now = m_context->now();
    // Fillers reserve no processor time, and it is that which large tasks wait for. Tasks of a gang would each wait for
    // the room of the others.
    if (step.spec->longRunning || step.spec->gang || step.spec->filler || step.waitingSince == TimePoint{}
        || now - step.waitingSince < reservationDelay) {
        return false;
    }
    // Without a recent search the step waits for its turn, not for room.
    return step.noPlaceAt != TimePoint{} && now < step.noPlaceAt + searchValidity
        && m_startedSizes.havePassed(step.spec->perTask, now) && m_stepPauses.count(step.creationIndex) == 0;
}

std::uint32_t Reservations::startableTasks(const Step &step) const
{
    if (!m_context->settings.lookAhead || step.spec->longRunning) {
        return step.idleTasks;
    }
    if (step.occurrence->job->suspects > 0) {
        return 0; // They start on workers that are isolated for them.
    }
    if (!m_context->fleet.awaitsRuns()) {
        return step.idleTasks;
    }
    return static_cast<std::uint32_t>(std::count_if(step.tasks.begin(), step.tasks.end(), [this](const Task &task) {
        return task.phase == TaskPhase::Idle && !m_context->fleet.isAwaited(keyOf(task));
    }));
}

std::uint32_t Reservations::reservationsOf(const Step &step) const
{
    const auto it = m_countByStep.find(step.creationIndex);
    return it == m_countByStep.end() ? 0 : it->second;
}

bool Reservations::isWithinLimit(const Step &step) const
{
    const std::string &account = step.occurrence->job->account;
    const auto reserved = std::count_if(m_reserved.begin(), m_reserved.end(), [&account](const Reserved &it) {
        return it.account == account;
    });
    return m_accounts->mayStart(step, static_cast<std::uint32_t>(account.empty() ? 1 : reserved + 1));
}

std::size_t Reservations::maxReservations() const
{
    return std::max<std::size_t>(1, m_context->fleet.all().size() / workersPerReservation);
}

void Reservations::update(const std::vector<Step *> &waiting)
{
    if (!isDue()) {
        return;
    }
    const TimePoint now = m_context->now();
    addIdleTime(std::min<Duration>(now - m_updatedAt, 2 * updateInterval));
    m_updatedAt = now;
    endStale(waiting);
    reserveForLongRunning(waiting);
    if (m_context->settings.lookAhead) {
        reserveForOthers(waiting);
        updateForecasts();
    }
}

void Reservations::addIdleTime(Duration span)
{
    for (Reserved &reserved : m_reserved) {
        const Worker *worker = m_context->fleet.find(reserved.worker);
        if (worker != nullptr) {
            reserved.idle += std::chrono::duration_cast<Duration>(span * idleShare(*worker));
        }
    }
}

void Reservations::reserveForLongRunning(const std::vector<Step *> &waiting)
{
    const TimePoint now = m_context->now();
    if (std::none_of(waiting.begin(), waiting.end(), [now](const Step *step) {
            return waitsTooLong(*step, now);
        })) {
        return;
    }
    findRoom();
    for (const Step *step : waiting) {
        if (!waitsTooLong(*step, now) || reservationsOf(*step) >= step->idleTasks || !isWithinLimit(*step)) {
            continue;
        }
        const bool mayDisplace = std::any_of(m_reserved.begin(), m_reserved.end(), [](const Reserved &reserved) {
            return !reserved.isLongRunning;
        });
        const bool isFull = m_reserved.size() >= maxReservations();
        if (isFull && !mayDisplace) {
            return;
        }
        Worker *worker = leastUsedWorker(*step);
        if (worker != nullptr) {
            if (isFull) {
                displaceOne();
            }
            reserve(worker, *step,
                    m_context->settings.lookAhead ? m_context->roomFreeAt(*worker, FleetTable::reservedBy(*step->spec))
                                                  : TimePoint::max());
        }
    }
}

void Reservations::displaceOne()
{
    const auto latest = std::find_if(m_reserved.rbegin(), m_reserved.rend(), [](const Reserved &reserved) {
        return !reserved.isLongRunning;
    });
    if (latest != m_reserved.rend()) {
        end(*latest, "displaced");
        m_reserved.erase(std::next(latest).base());
    }
}

void Reservations::reserveForOthers(const std::vector<Step *> &waiting)
{
    const TimePoint now = m_context->now();
    dropPassed(&m_stepPauses, now);
    dropPassed(&m_workerPauses, now);
    if (now < m_searchedAt + searchInterval || m_reserved.size() >= maxReservations()) {
        return;
    }
    std::vector<const Step *> entitled;
    for (const Step *step : waiting) {
        if (isEntitled(*step) && reservationsOf(*step) < startableTasks(*step)) {
            entitled.push_back(step);
        }
    }
    if (entitled.empty()) {
        return;
    }
    m_searchedAt = now;
    // Work that can't be of use to its caller any more comes last; of the rest, what has waited longest goes first, so
    // that neither the widest nor the most urgent work takes all reservations.
    std::stable_sort(entitled.begin(), entitled.end(), [now](const Step *a, const Step *b) {
        return std::make_tuple(a->occurrence->job->isUseless(now), a->waitingSince)
            < std::make_tuple(b->occurrence->job->isUseless(now), b->waitingSince);
    });
    findRoom();
    int searches = 0;
    for (const Step *step : entitled) {
        if (searches++ == searchesPerUpdate) {
            return;
        }
        const std::uint32_t wanted = std::min(reservationsPerSearch, startableTasks(*step) - reservationsOf(*step));
        const std::vector<std::pair<TimePoint, Worker *>> found = earliestWorkers(*step);
        std::uint32_t reserved = 0;
        for (const std::pair<TimePoint, Worker *> &place : found) {
            if (reserved == wanted || m_reserved.size() >= maxReservations() || !isWithinLimit(*step)) {
                break;
            }
            reserve(place.second, *step, place.first);
            ++reserved;
        }
        if (found.empty()) {
            m_stepPauses[step->creationIndex] = now + stepPause;
        }
    }
}

void Reservations::end(const Reserved &reserved, const char *reason)
{
    const TimePoint now = m_context->now();
    const auto count = m_countByStep.find(reserved.step);
    if (count != m_countByStep.end() && --count->second == 0) {
        m_countByStep.erase(count);
    }
    if (m_context->settings.lookAhead) {
        LogLine line("reservation_ended");
        line.with("worker", reserved.worker)
            .with("job", reserved.job)
            .with("outcome", reason)
            .with("took_ms", std::chrono::duration_cast<Milliseconds>(now - reserved.since))
            .with("idle_ms", std::chrono::duration_cast<Milliseconds>(reserved.idle));
        if (reserved.expectedStart != TimePoint::max()) {
            line.with("late_ms", std::chrono::duration_cast<Milliseconds>(now - reserved.expectedStart));
        }
        m_context->log->write(line);
    }
    Worker *worker = m_context->fleet.find(reserved.worker);
    if (worker != nullptr) {
        worker->heldForStep.reset();
        worker->isHeldForLongRunning = false;
        worker->reservation.reset();
        m_context->fleet.candidates().restore(worker);
        m_context->fleet.candidates().markFreed(worker);
    }
}

const char *Reservations::endReason(const Reserved &reserved, std::uint32_t tasks) const
{
    const Worker *worker = m_context->fleet.find(reserved.worker);
    if (tasks == 0) {
        return "not_needed";
    }
    if (worker == nullptr || m_placement->workerVerdict(*worker) != PlaceVerdict::Fits) {
        return "worker_unusable";
    }
    if (m_context->now() >= reserved.since + reservationTimeout) {
        return "timeout";
    }
    if (!m_context->settings.lookAhead) {
        return nullptr;
    }
    if (worker->heldForStep != reserved.step || (!worker->isolatedFor.empty() && worker->isolatedFor != reserved.job)) {
        return "worker_unusable";
    }
    return !reserved.isLongRunning && reserved.idle >= maxIdleTime ? "idle" : nullptr;
}

void Reservations::endStale(const std::vector<Step *> &waiting)
{
    if (m_reserved.empty()) {
        return;
    }
    std::map<std::uint64_t, std::uint32_t> left; // Tasks that still need a reservation, by step.
    for (const Step *step : waiting) {
        if (reservationsOf(*step) > 0) {
            left[step->creationIndex] = startableTasks(*step);
        }
    }
    const TimePoint now = m_context->now();
    const auto isStale = [this, &left, now](const Reserved &reserved) {
        std::uint32_t &tasks = left[reserved.step];
        const char *reason = endReason(reserved, tasks);
        if (reason == nullptr) {
            --tasks;
            return false;
        }
        const bool hasFailed = tasks > 0 && !reserved.isLongRunning;
        end(reserved, reason);
        if (hasFailed) {
            // Others get the worker for at least as long, so that its room isn't kept idle again and again.
            m_workerPauses[reserved.worker] = now + (now - reserved.since);
            m_stepPauses[reserved.step] = now + stepPause;
        }
        return true;
    };
    m_reserved.erase(std::remove_if(m_reserved.begin(), m_reserved.end(), isStale), m_reserved.end());
}

void Reservations::updateForecasts()
{
    const TimePoint now = m_context->now();
    if (now < m_forecastAt + forecastInterval) {
        return;
    }
    m_forecastAt = now;
    for (Reserved &reserved : m_reserved) {
        Worker *worker = m_context->fleet.find(reserved.worker);
        if (worker == nullptr || worker->heldForStep != reserved.step) {
            continue;
        }
        const TimePoint startsAt = m_context->roomFreeAt(*worker, reserved.need);
        if (startsAt == TimePoint::max()) {
            worker->reservation.reset(); // No time is known until which others might work there.
            continue;
        }
        Resources room = worker->entry.capacity - worker->used;
        for (const Task *task : worker->tasks) {
            if (!task->step->spec->longRunning && m_context->expectedEnd(*task) <= startsAt) {
                room += FleetTable::reservedBy(*task->step->spec);
            }
        }
        // On a worker that has just been reserved, nothing fits that did not before.
        const bool isNew = reserved.since == now;
        const bool isLater = !worker->reservation || startsAt >= reserved.announcedStart + forecastChange;
        worker->reservation = reserve::Reservation{reserved.need, startsAt, room};
        if (isNew || isLater) {
            reserved.announcedStart = startsAt;
        }
        if (isLater && !isNew) {
            m_context->fleet.candidates().markFreed(worker); // It may take others that it did not take before.
        }
    }
}

void Reservations::reserve(Worker *worker, const Step &step, TimePoint expectedStart)
{
    const TimePoint now = m_context->now();
    const Job &job = *step.occurrence->job;
    worker->heldForStep = step.creationIndex;
    worker->isHeldForLongRunning = step.spec->longRunning;
    if (m_context->settings.lookAhead) {
        m_context->fleet.candidates().withhold(worker);
    }
    Reserved reserved;
    reserved.worker = worker->id;
    reserved.step = step.creationIndex;
    reserved.job = job.id;
    reserved.account = job.account;
    reserved.isLongRunning = step.spec->longRunning;
    reserved.need = FleetTable::reservedBy(*step.spec);
    reserved.since = now;
    reserved.expectedStart = expectedStart;
    m_reserved.push_back(std::move(reserved));
    ++m_countByStep[step.creationIndex];
    m_forecastAt = TimePoint{}; // Others may work on it from now on.
    LogLine line("worker_held");
    line.with("worker", worker->id)
        .with("job", job.id)
        .with("task", toString(keyOf(step.tasks.front())))
        .with("idle", static_cast<std::int64_t>(step.idleTasks))
        .with("free_millicores", worker->entry.capacity.milliCores - worker->used.milliCores)
        .with("need_millicores", step.spec->perTask.milliCores)
        .with("waited_ms", std::chrono::duration_cast<Milliseconds>(now - step.waitingSince));
    if (m_context->settings.lookAhead && expectedStart != TimePoint::max()) {
        line.with("expected_ms", std::chrono::duration_cast<Milliseconds>(expectedStart - now));
    }
    m_context->log->write(line);
}

void Reservations::findRoom()
{
    m_rooms.clear();
    m_largestRoom = Resources{};
    for (const auto &[id, worker] : m_context->fleet.all()) {
        const Resources room = roomBesideLasting(*worker);
        m_rooms.push_back(Room{worker.get(), room});
        m_largestRoom = largestOf(m_largestRoom, room);
    }
    // Equal workers stay in the order of their ids.
    std::stable_sort(m_rooms.begin(), m_rooms.end(), [](const Room &a, const Room &b) {
        return a.worker->used.milliCores < b.worker->used.milliCores;
    });
}

bool Reservations::suits(const Room &room, const Step &step) const
{
    const Worker &worker = *room.worker;
    const bool belowLimit = step.spec->maxPerWorker == 0 || FleetTable::countOf(worker, step) < step.spec->maxPerWorker;
    return step.spec->perTask.fitsIn(room.besideLasting) && !worker.heldForStep && belowLimit;
}

Worker *Reservations::leastUsedWorker(const Step &step) const
{
    if (!step.spec->perTask.fitsIn(m_largestRoom)) {
        return nullptr;
    }
    const auto it = std::find_if(m_rooms.begin(), m_rooms.end(), [this, &step](const Room &room) {
        return suits(room, step) && m_placement->verdict(*room.worker, step) == PlaceVerdict::Room;
    });
    return it == m_rooms.end() ? nullptr : it->worker;
}

std::vector<std::pair<TimePoint, Worker *>> Reservations::earliestWorkers(const Step &step) const
{
    std::vector<std::pair<TimePoint, Worker *>> found;
    if (!step.spec->perTask.fitsIn(m_largestRoom)) {
        return found;
    }
    const Resources need = FleetTable::reservedBy(*step.spec);
    const TimePoint latest = m_context->now() + reservationTimeout;
    int looks = 0;
    for (const Room &room : m_rooms) {
        if (!suits(room, step) || m_workerPauses.count(room.worker->id) > 0) {
            continue;
        }
        if (looks++ == workersPerSearch) {
            break;
        }
        if (m_placement->verdict(*room.worker, step) == PlaceVerdict::Room) {
            const TimePoint freeAt = m_context->roomFreeAt(*room.worker, need);
            if (freeAt <= latest) {
                found.emplace_back(freeAt, room.worker);
            }
        }
    }
    std::stable_sort(found.begin(), found.end(), [](const auto &a, const auto &b) {
        return a.first < b.first;
    });
    return found;
}

Worker *Reservations::reservedWorker(const Step &step) const
{
    if (reservationsOf(step) == 0) {
        return nullptr;
    }
    for (const Reserved &reserved : m_reserved) {
        Worker *worker = reserved.step == step.creationIndex ? m_context->fleet.find(reserved.worker) : nullptr;
        if (worker != nullptr && m_placement->verdict(*worker, step) == PlaceVerdict::Fits) {
            return worker;
        }
    }
    return nullptr;
}

void Reservations::noteStart(Worker *worker, const Step &step)
{
    if (m_context->settings.lookAhead && !step.spec->filler && !step.spec->longRunning) {
        m_startedSizes.record(step.spec->perTask, m_context->now());
    }
    if (!worker->heldForStep) {
        return;
    }
    if (worker->heldForStep != step.creationIndex) {
        const Duration span = m_placement->backfillSpan(step);
        const bool lasts =
            span == Duration::max() || !worker->reservation || m_context->now() + span > worker->reservation->startsAt;
        if (worker->reservation && lasts) {
            worker->reservation->roomAtStart -= FleetTable::reservedBy(*step.spec);
        }
        return;
    }
    const auto it = std::find_if(m_reserved.begin(), m_reserved.end(), [worker](const Reserved &reserved) {
        return reserved.worker == worker->id;
    });
    if (it != m_reserved.end()) {
        end(*it, "started");
        m_reserved.erase(it);
    }
}

} // namespace fescueledge::workflow
