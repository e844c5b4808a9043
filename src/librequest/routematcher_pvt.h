#pragma once

#include "fescueledge/endpointclient.h"
#include "fescueledge/route.h"

#include <vector>

namespace fescueledge {

/// The route that matches @p request, or nullptr. The longest path prefix wins, then a route with a host over one
/// without, then the order of @p routes. A prefix matches whole path segments only.
const Route *matchRoute(const std::vector<Route> &routes, const ServiceRequest &request);

/// The urgency of @p request, from its `priority` header as in RFC 9218: 0 is the most urgent, 7 the least.
int requestUrgency(const ServiceRequest &request);

} // namespace fescueledge
