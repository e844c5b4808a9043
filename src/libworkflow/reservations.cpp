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

bool Reservations::isEntitled(const Step &step, TimePoint now) const
{
    if (waitsTooLong(step, now)) {
        return m_accounts->mayStart(step, 1);
    }
    // Fillers reserve no processor time, and it is that which large tasks wait for.
    return m_context->settings.lookAhead && !step.spec->longRunning && !step.spec->gang && !step.spec->filler
        && step.waitingSince != TimePoint{} && now - step.waitingSince >= reservationDelay
        && m_accounts->mayStart(step, 1);
}

void Reservations::update(const std::vector<Step *> &waiting)
{
    const TimePoint now = m_context->now();
    if (now < m_updatedAt + updateInterval) {
        return;
    }
    m_updatedAt = now;
    endStale(waiting);
    std::vector<Step *> entitled;
    for (Step *step : waiting) {
        if (isEntitled(*step, now)) {
            entitled.push_back(step);
        }
    }
    if (entitled.empty()) {
        return;
    }
    // Long-running tasks first, then the largest: small ones find room by themselves.
    std::stable_sort(entitled.begin(), entitled.end(), [](const Step *a, const Step *b) {
        return std::make_tuple(!a->spec->longRunning, a->spec->longRunning ? 0 : -a->spec->perTask.milliCores)
            < std::make_tuple(!b->spec->longRunning, b->spec->longRunning ? 0 : -b->spec->perTask.milliCores);
    });
    findRoom();
    const std::size_t most = std::max<std::size_t>(1, m_context->fleet.all().size() / workersPerReservation);
    for (const Step *step : entitled) {
        if (m_reserved.size() >= most) {
            break;
        }
        reserve(*step);
    }
    updateForecasts(waiting);
}

void Reservations::end(const Reserved &reserved, const char *reason)
{
    const TimePoint now = m_context->now();
    m_context->log->write(LogLine("reservation_ended")
                              .with("worker", reserved.worker)
                              .with("outcome", reason)
                              .with("took_ms", std::chrono::duration_cast<Milliseconds>(now - reserved.since))
                              .with("late_ms",
                                    reserved.expectedStart == TimePoint::max()
                                        ? Milliseconds{-1}
                                        : std::chrono::duration_cast<Milliseconds>(now - reserved.expectedStart)));
    Worker *worker = m_context->fleet.find(reserved.worker);
    if (worker != nullptr) {
        worker->heldForStep.reset();
        worker->reservation.reset();
        m_context->fleet.candidates().markFreed(worker);
    }
}

void Reservations::endStale(const std::vector<Step *> &waiting)
{
    std::map<std::uint64_t, std::uint32_t> idle; // Tasks that still need a reservation, by step.
    for (const Step *step : waiting) {
        idle[step->creationIndex] = step->idleTasks;
    }
    const auto isStale = [this, &idle](const Reserved &reserved) {
        const Worker *worker = m_context->fleet.find(reserved.worker);
        const auto left = idle.find(reserved.step);
        const bool isNeeded = left != idle.end() && left->second > 0;
        const bool isUsable = worker != nullptr && m_placement->workerVerdict(*worker) == PlaceVerdict::Fits;
        const bool isInTime = m_context->now() < reserved.since + reservationTimeout;
        if (isNeeded && isUsable && isInTime) {
            --left->second;
            return false;
        }
        end(reserved, !isNeeded ? "not_needed" : !isUsable ? "worker_unusable" : "timeout");
        return true;
    };
    m_reserved.erase(std::remove_if(m_reserved.begin(), m_reserved.end(), isStale), m_reserved.end());
}

void Reservations::updateForecasts(const std::vector<Step *> &waiting)
{
    if (!m_context->settings.lookAhead) {
        return;
    }
    std::map<std::uint64_t, const Step *> steps;
    for (const Step *step : waiting) {
        steps[step->creationIndex] = step;
    }
    for (const Reserved &reserved : m_reserved) {
        Worker *worker = m_context->fleet.find(reserved.worker);
        const auto it = steps.find(reserved.step);
        if (worker == nullptr || it == steps.end()) {
            continue;
        }
        const Resources need = FleetTable::reservedBy(*it->second->spec);
        const TimePoint startsAt = roomFreeAt(*worker, need);
        worker->reservation = reserve::Reservation{need, startsAt == TimePoint::max() ? m_context->now() : startsAt};
    }
}

void Reservations::reserve(const Step &step)
{
    const auto reserved = std::count_if(m_reserved.begin(), m_reserved.end(), [&step](const Reserved &it) {
        return it.step == step.creationIndex;
    });
    Worker *worker = static_cast<std::uint32_t>(reserved) < step.idleTasks ? bestWorker(step) : nullptr;
    if (worker == nullptr) {
        return;
    }
    const TimePoint now = m_context->now();
    const TimePoint expectedStart = roomFreeAt(*worker, FleetTable::reservedBy(*step.spec));
    worker->heldForStep = step.creationIndex;
    m_reserved.push_back(Reserved{worker->id, step.creationIndex, now, expectedStart});
    m_context->log->write(LogLine("worker_held")
                              .with("worker", worker->id)
                              .with("job", step.occurrence->job->id)
                              .with("task", toString(keyOf(step.tasks.front())))
                              .with("idle", static_cast<std::int64_t>(step.idleTasks))
                              .with("free_millicores", worker->entry.capacity.milliCores - worker->used.milliCores)
                              .with("need_millicores", step.spec->perTask.milliCores)
                              .with("expected_ms",
                                    expectedStart == TimePoint::max()
                                        ? Milliseconds{-1}
                                        : std::chrono::duration_cast<Milliseconds>(expectedStart - now))
                              .with("waited_ms", std::chrono::duration_cast<Milliseconds>(now - step.waitingSince)));
}

TimePoint Reservations::roomFreeAt(const Worker &worker, const Resources &need) const
{
    std::vector<reserve::ExpectedEnd> ends;
    for (const Task *task : worker.tasks) {
        if (!task->step->spec->longRunning) {
            ends.push_back(
                reserve::ExpectedEnd{FleetTable::reservedBy(*task->step->spec), m_context->expectedEnd(*task)});
        }
    }
    return reserve::roomFreeAt(worker.entry.capacity - worker.used, need, std::move(ends), m_context->now())
        .value_or(TimePoint::max());
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
}

Worker *Reservations::bestWorker(const Step &step) const
{
    const Resources &need = step.spec->perTask;
    Worker *best = nullptr;
    std::pair<TimePoint, std::int64_t> least;
    if (!need.fitsIn(m_largestRoom)) {
        return nullptr;
    }
    for (const Room &room : m_rooms) {
        Worker *worker = room.worker;
        const bool belowLimit =
            step.spec->maxPerWorker == 0 || FleetTable::countOf(*worker, step) < step.spec->maxPerWorker;
        const bool suits = need.fitsIn(room.besideLasting) && !worker->heldForStep && belowLimit
            && m_placement->verdict(*worker, step) == PlaceVerdict::Room;
        if (!suits) {
            continue;
        }
        const TimePoint freeAt = m_context->settings.lookAhead ? roomFreeAt(*worker, need) : TimePoint{};
        const std::pair<TimePoint, std::int64_t> cost{freeAt, worker->used.milliCores};
        if (best == nullptr || cost < least) {
            best = worker;
            least = cost;
        }
    }
    return best;
}

Worker *Reservations::reservedWorker(const Step &step) const
{
    for (const Reserved &reserved : m_reserved) {
        Worker *worker = reserved.step == step.creationIndex ? m_context->fleet.find(reserved.worker) : nullptr;
        if (worker != nullptr && m_placement->verdict(*worker, step) == PlaceVerdict::Fits) {
            return worker;
        }
    }
    return nullptr;
}

void Reservations::release(Worker *worker, const Step &step)
{
    if (worker->heldForStep != step.creationIndex) {
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
