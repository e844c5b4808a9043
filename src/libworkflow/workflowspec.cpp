#include "fescueledge/workflow/workflowspec.h"

#include "fescueledge/error.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace fescueledge::workflow {

namespace {

/// Resources of one task: small enough that a sum over the tasks on a worker fits into 64 bits.
constexpr std::int64_t maxResource = 1'000'000'000'000;
constexpr Milliseconds maxSpan{10'000'000'000}; ///< Four months; spans are added up, and converted to finer units.
constexpr std::uint32_t maxOccurrences = 100000; ///< Bounds the work of finding due occurrences.

void require(bool holds, const std::string &what)
{
    if (!holds) {
        throw Error(ErrorKind::InvalidArgument, what);
    }
}

/// Writes @p value unless it is the member's default, so that stored rows stay small.
template<typename T>
void putUnlessDefault(nlohmann::json &json, const char *name, const T &value)
{
    if (value != T{}) {
        json[name] = value;
    }
}

void putUnlessZero(nlohmann::json &json, const char *name, Milliseconds value)
{
    putUnlessDefault(json, name, value.count());
}

Milliseconds millisecondsOf(const nlohmann::json &json, const char *name)
{
    return Milliseconds(json.value(name, std::int64_t{0}));
}

} // namespace

std::uint32_t occurrenceCount(const WorkflowSpec &spec)
{
    return std::max(spec.occurrences, 1U);
}

WallTime occurrenceDue(const WorkflowSpec &spec, std::uint32_t occurrence)
{
    return spec.occurrences == 0 ? WallTime{} : spec.firstDue + occurrence * spec.interval;
}

Milliseconds criticalPath(const WorkflowSpec &spec)
{
    std::vector<Milliseconds> finish(spec.steps.size(), Milliseconds{0});
    Milliseconds longest{0};
    for (std::size_t i = 0; i < spec.steps.size(); ++i) {
        Milliseconds start{0};
        for (const std::uint32_t earlier : spec.steps[i].dependsOn) {
            start = std::max(start, finish[earlier]);
        }
        finish[i] = start + spec.steps[i].estimate;
        longest = std::max(longest, finish[i]);
    }
    return longest;
}

void validate(const WorkflowSpec &spec)
{
    require(!spec.steps.empty(), "a workflow needs at least one step");
    require(spec.occurrences <= maxOccurrences, "too many occurrences");
    require(spec.interval <= maxSpan, "the interval is too long");
    require(spec.occurrences < 2 || spec.interval.count() > 0, "occurrences need an interval");
    std::uint64_t tasks = 0;
    for (std::size_t i = 0; i < spec.steps.size(); ++i) {
        const StepSpec &step = spec.steps[i];
        require(step.count > 0, "a step needs at least one task");
        require(step.perTask.milliCores >= 0 && step.perTask.memoryMb >= 0 && step.perTask.accelerators >= 0,
                "a task's resources can't be negative");
        require(step.perTask.fitsIn(Resources{maxResource, maxResource, maxResource}),
                "a task's resources are too large");
        require(step.estimate.count() >= 0 && step.estimate <= maxSpan, "an estimate is out of range");
        require(step.tailTarget.count() >= 0 && step.tailTarget <= maxSpan, "a target is out of range");
        for (const std::uint32_t earlier : step.dependsOn) {
            require(earlier < i, "a step may depend on earlier steps only");
        }
        tasks += step.count;
    }
    require(tasks <= maxTasks, "too many tasks");
    require(criticalPath(spec) <= maxSpan, "the estimates add up to too long a time");
}

void to_json(nlohmann::json &json, const StepSpec &step)
{
    json = nlohmann::json{{"count", step.count}};
    putUnlessDefault(json, "cores", step.perTask.milliCores);
    putUnlessDefault(json, "memory", step.perTask.memoryMb);
    putUnlessDefault(json, "accelerators", step.perTask.accelerators);
    putUnlessZero(json, "estimate", step.estimate);
    putUnlessDefault(json, "after", step.dependsOn);
    putUnlessDefault(json, "checkpoints", step.checkpoints);
    putUnlessDefault(json, "gang", step.gang);
    putUnlessDefault(json, "rackSensitive", step.rackSensitive);
    putUnlessDefault(json, "speculative", step.speculative);
    putUnlessDefault(json, "longRunning", step.longRunning);
    putUnlessDefault(json, "filler", step.filler);
    putUnlessDefault(json, "label", step.requiredLabel);
    putUnlessDefault(json, "dataRack", step.dataRack);
    putUnlessDefault(json, "image", step.image);
    putUnlessDefault(json, "maxPerWorker", step.maxPerWorker);
    putUnlessDefault(json, "maxUnavailable", step.maxUnavailable);
    putUnlessZero(json, "tailTarget", step.tailTarget);
}

void from_json(const nlohmann::json &json, StepSpec &step)
{
    step.count = json.at("count").get<std::uint32_t>();
    step.perTask.milliCores = json.value("cores", std::int64_t{0});
    step.perTask.memoryMb = json.value("memory", std::int64_t{0});
    step.perTask.accelerators = json.value("accelerators", std::int64_t{0});
    step.estimate = millisecondsOf(json, "estimate");
    step.dependsOn = json.value("after", std::vector<std::uint32_t>{});
    step.checkpoints = json.value("checkpoints", false);
    step.gang = json.value("gang", false);
    step.rackSensitive = json.value("rackSensitive", false);
    step.speculative = json.value("speculative", false);
    step.longRunning = json.value("longRunning", false);
    step.filler = json.value("filler", false);
    step.requiredLabel = json.value("label", std::string());
    step.dataRack = json.value("dataRack", std::string());
    step.image = json.value("image", std::string());
    step.maxPerWorker = json.value("maxPerWorker", 0U);
    step.maxUnavailable = json.value("maxUnavailable", 0U);
    step.tailTarget = millisecondsOf(json, "tailTarget");
}

void to_json(nlohmann::json &json, const WorkflowSpec &spec)
{
    json = nlohmann::json{{"payload", spec.payload}, {"steps", spec.steps}};
    putUnlessDefault(json, "occurrences", spec.occurrences);
    putUnlessZero(json, "firstDue", spec.firstDue.time_since_epoch());
    putUnlessZero(json, "interval", spec.interval);
}

void from_json(const nlohmann::json &json, WorkflowSpec &spec)
{
    spec.payload = json.at("payload").get<std::string>();
    spec.steps = json.at("steps").get<std::vector<StepSpec>>();
    spec.occurrences = json.value("occurrences", 0U);
    spec.firstDue = WallTime(millisecondsOf(json, "firstDue"));
    spec.interval = millisecondsOf(json, "interval");
}

} // namespace fescueledge::workflow
