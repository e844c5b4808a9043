#include "roomholds_pvt.h"

#include "placement_pvt.h"

#include <algorithm>
#include <map>

namespace fescueledge::workflow {

namespace {

/// A long-running task that has found no room for this long gets a worker held: users accept three seconds.
constexpr Milliseconds holdDelay{1500};
/// A hold that has not led to a start ends after this time: what runs there takes longer than was expected.
constexpr std::chrono::seconds holdTimeout{10};
constexpr Milliseconds updateInterval{100};
/// At most one worker in this many is held, and one at least.
constexpr std::size_t workersPerHold = 8;

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

RoomHolds::RoomHolds(std::shared_ptr<Context> context, const Placement *placement)
    : m_context(std::move(context))
    , m_placement(placement)
{
}

bool RoomHolds::waitsTooLong(const Step &step, TimePoint now)
{
    return step.spec->longRunning && !step.spec->gang && step.waitingSince != TimePoint{}
    && now - step.waitingSince >= holdDelay;
}

void RoomHolds::update(const std::vector<Step *> &waiting)
{
    const TimePoint now = m_context->now();
    if (now < m_updatedAt + updateInterval) {
        return;
    }
    m_updatedAt = now;
    endStale(waiting);
    if (std::none_of(waiting.begin(), waiting.end(), [now](const Step *step) {
            return waitsTooLong(*step, now);
        })) {
        return;
    }
    findRoom();
    const std::size_t most = std::max<std::size_t>(1, m_context->fleet.all().size() / workersPerHold);
    for (const Step *step : waiting) {
        if (m_holds.size() >= most) {
            return;
        }
        if (waitsTooLong(*step, now)) {
            hold(*step);
        }
    }
}

void RoomHolds::endStale(const std::vector<Step *> &waiting)
{
    std::map<std::uint64_t, std::uint32_t> idle; // Tasks that still need a hold, by step.
    for (const Step *step : waiting) {
        idle[step->creationIndex] = step->idleTasks;
    }
    const auto isStale = [this, &idle](const Hold &hold) {
        Worker *worker = m_context->fleet.find(hold.worker);
        const auto left = idle.find(hold.step);
        const bool needed = left != idle.end() && left->second > 0;
        if (worker != nullptr && needed && m_context->now() < hold.since + holdTimeout
            && m_placement->workerVerdict(*worker) == PlaceVerdict::Fits) {
            --left->second;
            return false;
        }
        if (worker != nullptr) {
            worker->heldForStep.reset();
            m_context->fleet.candidates().markFreed(worker);
        }
        return true;
    };
    m_holds.erase(std::remove_if(m_holds.begin(), m_holds.end(), isStale), m_holds.end());
}

void RoomHolds::hold(const Step &step)
{
    const auto held = std::count_if(m_holds.begin(), m_holds.end(), [&step](const Hold &hold) {
        return hold.step == step.creationIndex;
    });
    Worker *worker = static_cast<std::uint32_t>(held) < step.idleTasks ? bestWorker(step) : nullptr;
    if (worker == nullptr) {
        return;
    }
    worker->heldForStep = step.creationIndex;
    m_holds.push_back(Hold{worker->id, step.creationIndex, m_context->now()});
    m_context->log->write(
        LogLine("worker_held")
            .with("worker", worker->id)
            .with("job", step.occurrence->job->id)
            .with("task", toString(keyOf(step.tasks.front())))
            .with("idle", static_cast<std::int64_t>(step.idleTasks))
            .with("free_millicores", worker->entry.capacity.milliCores - worker->used.milliCores)
            .with("need_millicores", step.spec->perTask.milliCores)
            .with("waited_ms", std::chrono::duration_cast<Milliseconds>(m_context->now() - step.waitingSince)));
}

void RoomHolds::findRoom()
{
    m_rooms.clear();
    m_largestRoom = Resources{};
    for (const auto &[id, worker] : m_context->fleet.all()) {
        const Resources room = roomBesideLasting(*worker);
        m_rooms.push_back(Room{worker.get(), room});
        m_largestRoom = largestOf(m_largestRoom, room);
    }
}

Worker *RoomHolds::bestWorker(const Step &step) const
{
    const Resources &need = step.spec->perTask;
    Worker *best = nullptr;
    if (!need.fitsIn(m_largestRoom)) {
        return nullptr;
    }
    for (const Room &room : m_rooms) {
        Worker *worker = room.worker;
        const bool belowLimit =
            step.spec->maxPerWorker == 0 || FleetTable::countOf(*worker, step) < step.spec->maxPerWorker;
        const bool suits = need.fitsIn(room.besideLasting) && !worker->heldForStep && belowLimit
            && m_placement->verdict(*worker, step) == PlaceVerdict::Room;
        if (suits && (best == nullptr || worker->used.milliCores < best->used.milliCores)) {
            best = worker;
        }
    }
    return best;
}

Worker *RoomHolds::heldWorker(const Step &step) const
{
    if (!step.spec->longRunning) {
        return nullptr;
    }
    for (const Hold &hold : m_holds) {
        Worker *worker = hold.step == step.creationIndex ? m_context->fleet.find(hold.worker) : nullptr;
        if (worker != nullptr && m_placement->verdict(*worker, step) == PlaceVerdict::Fits) {
            return worker;
        }
    }
    return nullptr;
}

void RoomHolds::release(Worker *worker, const Step &step)
{
    if (worker->heldForStep != step.creationIndex) {
        return;
    }
    worker->heldForStep.reset();
    m_context->fleet.candidates().markFreed(worker);
    m_holds.erase(std::remove_if(m_holds.begin(), m_holds.end(),
                                 [worker](const Hold &hold) {
                                     return hold.worker == worker->id;
                                 }),
                  m_holds.end());
}

} // namespace fescueledge::workflow
