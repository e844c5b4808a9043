#pragma once

#include "interferenceestimator_pvt.h"

namespace fescueledge {

struct AttemptRow;
struct WorkerContext;
struct WorkerRow;

/// Share of the processors of @p worker that @p row uses: as measured, or as learnt before the first measurement.
double attemptExposure(const WorkerContext &context, const WorkerRow &worker, const AttemptRow &row);
/// The exposure of the service on @p worker to all attempts there, by kind.
InterferenceExposure workerExposure(const WorkerContext &context, const WorkerRow &worker);
/// The reported p99 of the service on @p worker over the target of its pool; 0 without a target.
double reportedRatio(const WorkerContext &context, const WorkerRow &worker);

} // namespace fescueledge
