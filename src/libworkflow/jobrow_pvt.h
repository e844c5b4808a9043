#pragma once

#include "fescueledge/workflow/catalog.h"
#include "fescueledge/workflow/workflowspec.h"

#include <string>

namespace fescueledge::workflow {

/// The row of an accepted job.
struct JobRow
{
    WorkflowSpec spec;
    QueuePolicy policy; ///< Policy of its queue when it was accepted, without host and path.
    std::string account; ///< Client account that the job belongs to; empty if it has none.
    WallTime acceptedAt{};
};

std::string encodeJobRow(const JobRow &row);
/// @throws nlohmann::json::exception if @p value can't be read.
JobRow decodeJobRow(const std::string &value);

} // namespace fescueledge::workflow
