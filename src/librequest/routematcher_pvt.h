#pragma once

#include "fescueledge/endpointclient.h"
#include "fescueledge/route.h"

#include <vector>

namespace fescueledge {

/// The route that @p request takes, or nullptr: the longest path prefix first, then a named host before any host,
/// then the order of @p routes. A prefix ends at a path segment.
const Route *matchRoute(const std::vector<Route> &routes, const ServiceRequest &request);

/// The urgency of @p request, from its `priority` header as in RFC 9218: 0 is the most urgent, 7 the least.
int requestUrgency(const ServiceRequest &request);

} // namespace fescueledge
