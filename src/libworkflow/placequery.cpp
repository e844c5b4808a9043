#include "placequery_pvt.h"

#include "accountgate_pvt.h"
#include "fescueledge/account/fairshare.h"
#include "placement_pvt.h"

#include <algorithm>
#include <array>
#include <limits>
#include <nlohmann/json.hpp>

namespace fescueledge::workflow {

using nlohmann::json;

namespace {

/// Each step needs a look at all workers, which take a quarter of a microsecond each; the others are left out.
constexpr std::size_t maxSteps = 16;
constexpr std::size_t maxCandidates = 5;
constexpr std::size_t maxReservations = 20;

json millisecondsUntil(TimePoint at, TimePoint now)
{
    return at == TimePoint::max() ? json()
                                  : json(std::chrono::duration_cast<Milliseconds>(std::max(at, now) - now).count());
}

Resources freeRoom(const Worker &worker)
{
    return worker.entry.capacity - worker.used;
}

/// How many tasks of @p step fit into the room that is free on @p worker.
std::int64_t tasksThatFit(const Worker &worker, const Step &step)
{
    const Resources need = FleetTable::reservedBy(*step.spec);
    const Resources free = freeRoom(worker);
    std::int64_t fit = std::numeric_limits<std::uint32_t>::max();
    for (const auto &[wanted, there] :
         {std::pair(need.milliCores, free.milliCores), std::pair(need.memoryMb, free.memoryMb),
          std::pair(need.accelerators, free.accelerators)}) {
        fit = wanted > 0 ? std::min(fit, there / wanted) : fit;
    }
    return step.spec->maxPerWorker > 0 ? std::min<std::int64_t>(fit, step.spec->maxPerWorker) : fit;
}

} // namespace

PlaceQuery::PlaceQuery(std::shared_ptr<Context> context, const Placement *placement, const AccountGate *accounts)
    : m_context(std::move(context))
    , m_placement(placement)
    , m_accounts(accounts)
{
}

json PlaceQuery::explain(const QueuePolicy &queue, const std::string &account, const WorkflowSpec &spec) const
{
    // A job that is in no table, so that nothing can start it.
    Job job;
    job.spec = spec;
    job.policy = queue;
    job.account = account;
    job.acceptedAt = m_context->now();
    Occurrence occurrence;
    occurrence.job = &job;
    const TimePoint now = m_context->now();
    json steps = json::array();
    std::vector<TimePoint> ends; // Expected, by step.
    for (std::size_t i = 0; i < std::min(maxSteps, job.spec.steps.size()); ++i) {
        Step step;
        step.occurrence = &occurrence;
        step.creationIndex = std::numeric_limits<std::uint64_t>::max() - 1; // No reservation is for it.
        step.number = static_cast<std::uint32_t>(i);
        step.spec = &job.spec.steps[i];
        TimePoint start = now;
        for (const std::uint32_t earlier : step.spec->dependsOn) {
            start = std::max(start, earlier < ends.size() ? ends[earlier] : TimePoint::max());
        }
        start = std::max(start, expectedStart(step));
        const bool endIsKnown = start != TimePoint::max() && !step.spec->longRunning;
        ends.push_back(endIsKnown ? start + m_context->expectedSpan(step) : TimePoint::max());
        json out = explainStep(step);
        out["expected_start_ms"] = millisecondsUntil(start, now);
        steps.push_back(std::move(out));
    }
    return json{{"term", m_context->term},
                {"queue", queue.name},
                {"look_ahead", m_context->settings.lookAhead},
                {"sends_orders", m_context->maySendOrders()},
                {"account", explainAccount(job)},
                {"waiting", waiting()},
                {"reservations", reservations()},
                {"steps", std::move(steps)},
                {"steps_left_out", job.spec.steps.size() - std::min(maxSteps, job.spec.steps.size())}};
}

json PlaceQuery::explainStep(const Step &step) const
{
    std::array<std::int64_t, placeVerdictCount> counts{};
    std::vector<std::pair<double, const Worker *>> fitting;
    std::int64_t tasks = 0;
    for (const auto &[id, worker] : m_context->fleet.all()) {
        const PlaceVerdict verdict = m_placement->verdict(*worker, step);
        ++counts.at(static_cast<std::size_t>(verdict));
        if (verdict == PlaceVerdict::Fits) {
            fitting.emplace_back(m_placement->cost(*worker, step), worker.get());
            tasks += tasksThatFit(*worker, step);
        }
    }
    // Equal workers are chosen by id, as they are in the order of the table.
    std::stable_sort(fitting.begin(), fitting.end(), [](const auto &a, const auto &b) {
        return a.first < b.first;
    });
    json candidates = json::array();
    for (std::size_t i = 0; i < std::min(maxCandidates, fitting.size()); ++i) {
        const Worker &worker = *fitting[i].second;
        candidates.push_back({{"worker", worker.id},
                              {"data_centre", worker.entry.dataCentre},
                              {"rack", worker.entry.rack},
                              {"cost", fitting[i].first},
                              {"free", freeRoom(worker)}});
    }
    json workers = json::object();
    for (std::size_t i = 0; i < counts.size(); ++i) {
        if (counts.at(i) > 0) {
            workers[placeVerdictName(static_cast<PlaceVerdict>(i))] = counts.at(i);
        }
    }
    const auto most = std::max_element(counts.begin(), counts.end());
    const std::uint32_t together = step.spec->gang ? step.spec->count : 1;
    const char *outcome = placeVerdictName(static_cast<PlaceVerdict>(most - counts.begin()));
    if (!m_accounts->mayStart(step, together)) {
        outcome = "account_limit";
    } else if (m_context->fleet.all().empty()) {
        outcome = "no_workers";
    } else if (!fitting.empty()) {
        outcome = step.spec->gang && tasks < step.spec->count ? "gang_room" : placeVerdictName(PlaceVerdict::Fits);
    }
    return json{{"step", step.number},
                {"tasks", step.spec->count},
                {"per_task", step.spec->perTask},
                {"expected_work_ms", std::chrono::duration_cast<Milliseconds>(m_context->expectedSpan(step)).count()},
                {"outcome", outcome},
                {"room_for_tasks", std::min<std::int64_t>(tasks, step.spec->count)},
                {"candidates", std::move(candidates)},
                {"workers", std::move(workers)}};
}

json PlaceQuery::explainAccount(const Job &job) const
{
    if (job.account.empty()) {
        return json();
    }
    return json{{"name", job.account},
                {"limit", m_accounts->limitOf(job)},
                {"used", m_context->fleet.usage().usage(job.account)},
                {"unknown", m_accounts->unknown()},
                {"share", m_accounts->shareOf(job)}};
}

json PlaceQuery::reservations() const
{
    const TimePoint now = m_context->now();
    std::size_t count = 0;
    json list = json::array();
    for (const auto &[id, worker] : m_context->fleet.all()) {
        if (!worker->heldForStep) {
            continue;
        }
        ++count;
        if (list.size() < maxReservations) {
            json entry{{"worker", id}, {"long_running", worker->isHeldForLongRunning}, {"free", freeRoom(*worker)}};
            if (worker->reservation) {
                entry["need"] = worker->reservation->need;
                entry["expected_start_ms"] = millisecondsUntil(worker->reservation->startsAt, now);
            }
            list.push_back(std::move(entry));
        }
    }
    return json{{"count", count}, {"workers", std::move(list)}};
}

json PlaceQuery::waiting() const
{
    std::int64_t steps = 0;
    std::int64_t tasks = 0;
    for (const Step *step : m_context->jobs.openSteps()) {
        if (step->idleTasks > 0 && !step->occurrence->job->ended()) {
            ++steps;
            tasks += step->idleTasks;
        }
    }
    return json{{"steps", steps}, {"tasks", tasks}};
}

TimePoint PlaceQuery::expectedStart(const Step &step) const
{
    const Resources need = FleetTable::reservedBy(*step.spec);
    TimePoint earliest = TimePoint::max();
    for (const auto &[id, worker] : m_context->fleet.all()) {
        const PlaceVerdict verdict = m_placement->verdict(*worker, step);
        if (verdict == PlaceVerdict::Fits) {
            earliest = m_context->now();
            break;
        }
        if (verdict == PlaceVerdict::Room) {
            earliest = std::min(earliest, m_context->roomFreeAt(*worker, need));
        }
    }
    return m_accounts->mayStart(step, 1) ? earliest : std::max(earliest, expectedBelowLimit(step));
}

TimePoint PlaceQuery::expectedBelowLimit(const Step &step) const
{
    const Job &job = *step.occurrence->job;
    std::vector<reserve::ExpectedEnd> ends;
    for (const auto &[id, worker] : m_context->fleet.all()) {
        for (const Task *task : worker->tasks) {
            if (task->step->occurrence->job->account == job.account && !task->step->spec->longRunning) {
                ends.push_back({task->step->spec->perTask, m_context->expectedEnd(*task)});
            }
        }
    }
    std::sort(ends.begin(), ends.end(), [](const reserve::ExpectedEnd &a, const reserve::ExpectedEnd &b) {
        return a.at < b.at;
    });
    Resources used = m_context->fleet.usage().usage(job.account) + m_accounts->unknown();
    for (const reserve::ExpectedEnd &end : ends) {
        used -= end.reserved;
        if (account::isWithinLimit(used, step.spec->perTask, m_accounts->limitOf(job))) {
            return std::max(end.at, m_context->now());
        }
    }
    return TimePoint::max();
}

} // namespace fescueledge::workflow
