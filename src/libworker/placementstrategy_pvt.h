#pragma once

#include "fescueledge/dispatchmessages.h"
#include "fescueledge/resources.h"

#include <cstddef>
#include <memory>
#include <vector>

namespace fescueledge {

class Random;
struct WorkerPolicy;
struct WorkerRow;

/// A worker that could run an attempt, with the inputs for its cost.
struct PlacementCandidate
{
    WorkerRow *worker = nullptr;
    Resources available; ///< Resources left for the class of the attempt.
    double reportedLoad = 0; ///< Share of the processors in use, as last reported.
    double expectedLoad = 0; ///< Share of the processors expected to be in use with the attempt.
    double predictedRatio = 0; ///< Predicted p99 over target of the service with the attempt; 0 without a target.
    double cost = 0; ///< Set by the strategy; the smallest wins.
};

/// Chooses a worker for an attempt.
class PlacementStrategy
{
public:
    virtual ~PlacementStrategy() = default;
    virtual const char *name() const = 0;
    /// Name of the measure that the strategy compares.
    virtual const char *measure() const = 0;
    /// Sets the costs and returns the index of the chosen worker. @p candidates is not empty and ordered by name.
    virtual std::size_t choose(const TaskOffer &offer, std::vector<PlacementCandidate> *candidates) = 0;
};

/// Creates the strategy that @p policy names. @p random must outlive it.
/// @throws Error InvalidSettings if the name is unknown.
std::unique_ptr<PlacementStrategy> makePlacementStrategy(const WorkerPolicy &policy, Random *random);

} // namespace fescueledge
