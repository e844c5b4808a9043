#pragma once

#include "fescueledge/resources.h"
#include "fescueledge/taskreport.h"
#include "fescueledge/types.h"

#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

/// Messages between the owner of a queue partition and the owners of racks.
///
/// An attempt starts in three steps: the queue owner asks a rack owner to reserve capacity (`reserve`); it commits the
/// claim in one transaction, with conditions on its own shard row and on the rack's; it tells the rack owner to start
/// the attempt (`start`). The rack owner repeats terminal reports as `outcome` until the queue owner answers that they
/// are durable.
namespace fescueledge {

/// Class of a task for placement and eviction.
enum class TaskClass {
    LatencyCritical, ///< Starts first and is never evicted for batch work.
    Batch,
};

const char *taskClassName(TaskClass taskClass);

/// One attempt to be placed.
struct TaskOffer
{
    TaskId task;
    Attempt attempt = 0;
    TaskClass taskClass = TaskClass::Batch;
    std::string customer;
    std::string team;
    std::string kind; ///< Caller's name for this sort of work; interference and resource use are learnt per kind.
    std::string pool; ///< Pool to run in; empty for any.
    Resources resources; ///< Declared need.
    std::string payload;
    std::string checkpoint;
    std::vector<WorkerId> avoid; ///< Workers on which earlier attempts failed.
};

/// `reserve`: asks a rack owner to reserve capacity for some attempts. A reservation expires after a few seconds.
struct ReserveRequest
{
    std::vector<TaskOffer> offers;
};

/// The rack owner's decision on one offer.
struct Reservation
{
    TaskId task;
    Attempt attempt = 0;
    bool granted = false;
    WorkerId worker;
    ShardId shard; ///< Rack shard of the worker.
    Epoch epoch = 0;
    RowVersion shardRowVersion = 0; ///< Condition for the claim.
    std::string reason; ///< If not granted: what excluded the workers.
};

/// Answer to `reserve`, in the order of the offers.
struct ReserveReply
{
    std::vector<Reservation> reservations;
};

/// `start`: the claims are durable. The rack owner starts the attempts and answers with an empty message.
struct StartRequest
{
    std::vector<Reservation> claims;
};

/// `control`: the queue owner requests that attempts be stopped (cancelled or superseded) or checkpointed.
struct ControlRequest
{
    struct Item
    {
        TaskId task;
        Attempt attempt = 0;
        WorkerId worker;
        bool checkpoint = false; ///< Save the state before stopping.
    };
    std::vector<Item> items;
};

/// `outcome`: terminal states of attempts, and running attempts, from a rack owner to a queue owner.
struct OutcomeReport
{
    struct Item
    {
        TaskReport report;
        WorkerId worker;
        Epoch epoch = 0;
        bool workerLost = false; ///< The worker was lost or its leases have certainly expired; the attempt has ended.
    };
    std::vector<Item> items;
};

/// Answer to `outcome`: the reports that are durable or obsolete and may be discarded.
struct OutcomeReply
{
    struct Item
    {
        TaskId task;
        Attempt attempt = 0;
        bool obsolete = false; ///< Not the current attempt; stop it if it runs.
    };
    std::vector<Item> settled;
};

/// `capacity`: the free capacity of a rack owner, sent to all nodes each second. Always somewhat stale.
struct CapacityNotice
{
    struct Item
    {
        std::string pool;
        DataCentreId dataCentre;
        Resources free; ///< Sum over the workers that accept new tasks.
        Resources largest; ///< The largest free amount on one worker, in each dimension.
        Resources largestVm; ///< The largest capacity of a worker in each dimension; no larger task can ever fit.
    };
    std::vector<Item> items;
};

void to_json(nlohmann::json &json, const TaskOffer &offer);
void from_json(const nlohmann::json &json, TaskOffer &offer);
void to_json(nlohmann::json &json, const ReserveRequest &request);
void from_json(const nlohmann::json &json, ReserveRequest &request);
void to_json(nlohmann::json &json, const Reservation &reservation);
void from_json(const nlohmann::json &json, Reservation &reservation);
void to_json(nlohmann::json &json, const ReserveReply &reply);
void from_json(const nlohmann::json &json, ReserveReply &reply);
void to_json(nlohmann::json &json, const StartRequest &request);
void from_json(const nlohmann::json &json, StartRequest &request);
void to_json(nlohmann::json &json, const ControlRequest &request);
void from_json(const nlohmann::json &json, ControlRequest &request);
void to_json(nlohmann::json &json, const OutcomeReport &report);
void from_json(const nlohmann::json &json, OutcomeReport &report);
void to_json(nlohmann::json &json, const OutcomeReply &reply);
void from_json(const nlohmann::json &json, OutcomeReply &reply);
void to_json(nlohmann::json &json, const CapacityNotice &notice);
void from_json(const nlohmann::json &json, CapacityNotice &notice);

} // namespace fescueledge
