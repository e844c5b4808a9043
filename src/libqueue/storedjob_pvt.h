#pragma once

#include "fescueledge/error.h"

#include "job_pvt.h"

#include <functional>
#include <memory>
#include <optional>

namespace fescueledge {

struct QueueContext;
struct Row;

/// A job as read from the store.
struct StoredJob
{
    std::shared_ptr<Job> job; ///< Null if there is none or the store did not answer.
    std::optional<Error> error; ///< NotFound or StoreUnavailable.
    bool ended = false; ///< It was archived.
};

/// Reads @p id with its blocks, whether it is open or ended.
void readStoredJob(QueueContext *context, const JobId &id, const std::function<void(const StoredJob &)> &handler);
/// Decodes the ended job of a `done` row.
std::shared_ptr<Job> decodeDoneRow(const Row &row);
/// Decodes an open job from its row and its @p blocks.
std::shared_ptr<Job> decodeJobRow(const Row &row, std::map<int, Block> blocks);
/// Explains the state of task @p index of @p job.
TaskExplanation explainTask(const Job &job, int index);

} // namespace fescueledge
