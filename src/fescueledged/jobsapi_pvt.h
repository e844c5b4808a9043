#pragma once

#include <httplib.h>

namespace fescueledge {

struct DaemonContext;

/// Adds the jobs API to @p server: submit, show, list and cancel. Both listeners serve it.
void addJobsApi(httplib::Server *server, DaemonContext *context);

} // namespace fescueledge
