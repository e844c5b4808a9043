#pragma once

#include <httplib.h>

namespace fescueledge {

struct DaemonContext;

/// Adds the paths of jobs to @p server: submit, show, list and cancel. Both listeners serve them.
void addJobsApi(httplib::Server *server, DaemonContext *context);

} // namespace fescueledge
