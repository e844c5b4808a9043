#pragma once

#include <httplib.h>

namespace fescueledge {

struct DaemonContext;

/// Adds `/metrics`, in the text format of Prometheus, to @p server.
void addMetricsPage(httplib::Server *server, DaemonContext *context);

} // namespace fescueledge
