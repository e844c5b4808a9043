#pragma once

#include "fescueledge/dispatchmessages.h"

#include <string>

namespace fescueledge {

class AttemptSystem;
class PlacementSystem;
class PreemptionSystem;
struct AttemptRow;
struct WorkerContext;
struct WorkerRow;

/// Serves queue owners: reserves capacity, starts claimed attempts, and stops or checkpoints attempts on request.
class ReservationSystem
{
public:
    ReservationSystem(WorkerContext *context, AttemptSystem *attempts, PlacementSystem *placement,
                      PreemptionSystem *preemption);

    ReserveReply reserve(const ReserveRequest &request);
    /// Returns false if this node may not act for one of the workers; the state of its claim is then unknown.
    bool start(const StartRequest &request);
    /// Returns false if this node may not act for one of the workers.
    bool control(const ControlRequest &request);

private:
    Reservation decideOffer(const TaskOffer &offer);
    Reservation renewHold(AttemptRow *row);
    Reservation grant(const AttemptRow &row) const;
    AttemptRow &addHold(const WorkerRow &worker, const TaskOffer &offer);
    void startClaim(WorkerRow *worker, const Reservation &claim);
    void controlAttempt(WorkerRow *worker, const ControlRequest::Item &item);

    WorkerContext *m_context;
    AttemptSystem *m_attempts;
    PlacementSystem *m_placement;
    PreemptionSystem *m_preemption;
};

} // namespace fescueledge
