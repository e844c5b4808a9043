#pragma once

#include <httplib.h>

namespace fescueledge {

struct DaemonContext;
class PeerQuery;

/// Adds the configuration and audit trail APIs.
void addConfigApi(httplib::Server *server, DaemonContext *context);

/// Adds the API that takes data centres out of service and brings them back.
void addDataCentresApi(httplib::Server *server, DaemonContext *context);

/// Adds the API that shows the state of all nodes and explains decisions.
void addViewsApi(httplib::Server *server, DaemonContext *context);

/// Sets the functions that answer other nodes' queries about this node's state and decisions.
void setViewAnswerFunctions(PeerQuery *peerQuery, DaemonContext *context);

} // namespace fescueledge
