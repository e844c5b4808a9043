#include "headroom_pvt.h"

#include <algorithm>

namespace fescueledge::workflow {

namespace {

/// Average error of the model that is normal for a healthy task, since gauges and model are imprecise.
constexpr double toleratedError = 0.4;

} // namespace

double shareOf(const Worker &worker, std::int64_t milliCores)
{
    return static_cast<double>(milliCores)
        / static_cast<double>(std::max<std::int64_t>(1, worker.entry.capacity.milliCores));
}

bool isRunningFiller(const Task &task)
{
    return task.step->spec->filler && task.phase == TaskPhase::Running;
}

double pacedShare(const Worker &worker, const Task &task)
{
    return shareOf(worker, task.step->spec->perTask.milliCores) * expectedPace(task) / fullPace;
}

FillerLoad gaugedLoad(const Worker &worker)
{
    FillerLoad load;
    for (const Task *task : worker.tasks) {
        if (isRunningFiller(*task) && task->gauge > 0) {
            load[task->step->spec->image] += shareOf(worker, task->gauge);
        }
    }
    return load;
}

std::vector<StepHeadroom> headroomOf(const Worker &worker, const InterferenceModel &model, const FillerLoad &load,
                                     TimePoint now, Duration ahead)
{
    // Tasks of a step are modelled alike, but one may have less headroom than the others for a cause outside the model.
    std::map<const Step *, double> errors;
    for (const Task *task : worker.tasks) {
        if (task->headroomError < -toleratedError) {
            errors[task->step] = std::min(errors[task->step], task->headroomError + toleratedError);
        }
    }
    std::vector<StepHeadroom> out;
    out.reserve(worker.servingSteps.size());
    for (const auto &[step, tasks] : worker.servingSteps) {
        const std::string &image = step->spec->image;
        const double own =
            step->trend.isInitialized() ? step->trend.minHeadroomWithin(now, ahead) : model.usualHeadroom(image);
        const auto error = errors.find(step);
        out.push_back({image, own + (error == errors.end() ? 0 : error->second), model.takenHeadroom(image, load)});
    }
    return out;
}

} // namespace fescueledge::workflow
