#pragma once

#include "interferenceestimator_pvt.h"

namespace fescueledge {

struct AttemptRow;
struct WorkerContext;
struct WorkerRow;

/// Returns the share of the processors of @p worker that @p row uses: measured, or estimated until it is measured.
double attemptExposure(const WorkerContext &context, const WorkerRow &worker, const AttemptRow &row);
/// Returns the exposure of the service on @p worker to all attempts there, by kind.
InterferenceExposure workerExposure(const WorkerContext &context, const WorkerRow &worker);
/// Returns the reported p99 of the service on @p worker over the target of its pool; 0 without a target.
double reportedRatio(const WorkerContext &context, const WorkerRow &worker);

} // namespace fescueledge
