#pragma once

#include <httplib.h>

namespace fescueledge {

struct DaemonContext;
class PeerQuery;

/// Adds the paths of the configuration and of the audit trail.
void addConfigApi(httplib::Server *server, DaemonContext *context);

/// Adds the paths that take data centres out of service and bring them back.
void addDataCentresApi(httplib::Server *server, DaemonContext *context);

/// Adds the paths that show the state of all nodes and explain decisions.
void addViewsApi(httplib::Server *server, DaemonContext *context);

/// Sets what this node tells the others about itself, for the views.
void setViewResponders(PeerQuery *peerQuery, DaemonContext *context);

} // namespace fescueledge
