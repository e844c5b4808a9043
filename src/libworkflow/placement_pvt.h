#pragma once

#include "context_pvt.h"
#include "headroom_pvt.h"

#include <unordered_map>

namespace fescueledge::workflow {

/// What a worker is ruled out by, for tasks of a step.
enum class PlaceVerdict {
    Fits,
    Unlisted, ///< It left the list of workers.
    Draining,
    NotReady, ///< It has not answered in this term, or does not stand in the durable list yet.
    Blocked, ///< It gets no starts for a moment: it failed, refused or did not answer.
    OtherService,
    Evacuated,
    Label,
    Room,
    PerWorkerLimit,
    Processor, ///< Too little idle processor time for a filler.
    Headroom, ///< A serving task there would get too slow beside a filler.
};
constexpr std::size_t placeVerdictCount = 12;

/// The name of @p verdict in logs.
const char *placeVerdictName(PlaceVerdict verdict);

/// Where a task may start.
struct Place
{
    Worker *worker = nullptr; ///< nullptr if there is none.
    int pace = fullPace; ///< Percent; only fillers are slowed down.
    bool overcommitted = false; ///< The task counts as harmful there.
};

/// Finds workers for tasks.
class Placement
{
public:
    explicit Placement(std::shared_ptr<Context> context);

    /// Forgets headroom that was worked out too long ago; call before a series of questions.
    void dropStaleHeadroom();
    /// Forgets the headroom of @p worker: what is on it has changed.
    void invalidateHeadroom(const Worker *worker);
    /// The best place for a task of @p step. If its job is @p overdue, a filler gets a place at a slower pace, where it
    /// does least harm if there is no harmless one.
    Place choose(const Step &step, bool overdue) const;
    /// Whether @p job has had nothing on any worker for too long.
    bool overdue(const Job &job) const;
    /// Whether a worker other than its own could take @p task, a filler, at once and without harm.
    bool hasPlaceElsewhere(const Task &task);
    /// Whether @p worker could take a task of @p step, and what rules it out.
    PlaceVerdict verdict(const Worker &worker, const Step &step) const;

private:
    /// The verdict on all but how fillers and serving tasks get along.
    PlaceVerdict basicVerdict(const Worker &worker, const Step &step) const;
    /// The verdict on how fillers and serving tasks get along.
    PlaceVerdict fillerVerdict(const Worker &worker, const Step &step, int pace) const;
    /// The best worker for a task of @p step at @p pace; nullptr if there is none.
    Worker *cheapest(const Step &step, int pace) const;
    /// The worker whose serving tasks keep most headroom beside a slow task of @p step.
    Worker *mostHeadroomLeft(const Step &step) const;
    double cost(const Worker &worker, const Step &step) const;
    double servingCost(const Worker &worker, const StepSpec &spec) const;
    /// Headroom of the serving steps on @p worker beside the fillers there, at their pace.
    const std::vector<StepHeadroom> &headroomOn(const Worker &worker) const;
    /// The least headroom that serving tasks on @p worker would keep beside one more task of @p filler
    /// at @p pace.
    double headroomLeftWith(const Worker &worker, const StepSpec &filler, int pace) const;
    /// The most headroom that one more task of @p filler at @p pace would take from a serving task on @p worker.
    double headroomTaken(const Worker &worker, const StepSpec &filler, int pace) const;
    bool leavesEnoughHeadroom(const Worker &worker, const StepSpec &filler, int pace) const;

    std::shared_ptr<Context> m_context;
    /// Headroom on the workers looked at lately, as long as nothing was placed there.
    mutable std::unordered_map<const Worker *, std::vector<StepHeadroom>> m_headroom;
    TimePoint m_headroomAt{}; ///< When the oldest of it was worked out.
};

} // namespace fescueledge::workflow
