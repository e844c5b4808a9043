#include "routematcher_pvt.h"

#include <algorithm>

namespace fescueledge {

namespace {

constexpr int defaultUrgency = 3;

bool matchesPath(const std::string &prefix, const std::string &target)
{
    const std::string path = target.substr(0, target.find('?'));
    if (path.compare(0, prefix.size(), prefix) != 0) {
        return false;
    }
    return prefix.empty() || prefix.back() == '/' || path.size() == prefix.size() || path[prefix.size()] == '/';
}

bool matches(const Route &route, const ServiceRequest &request)
{
    if (!route.host.empty() && route.host != request.host) {
        return false;
    }
    if (!route.methods.empty()
        && std::find(route.methods.begin(), route.methods.end(), request.method) == route.methods.end()) {
        return false;
    }
    return matchesPath(route.pathPrefix, request.path);
}

bool isMoreSpecific(const Route &a, const Route &b)
{
    if (a.pathPrefix.size() != b.pathPrefix.size()) {
        return a.pathPrefix.size() > b.pathPrefix.size();
    }
    return !a.host.empty() && b.host.empty();
}

} // namespace

const Route *matchRoute(const std::vector<Route> &routes, const ServiceRequest &request)
{
    const Route *best = nullptr;
    for (const Route &route : routes) {
        if (matches(route, request) && (best == nullptr || isMoreSpecific(route, *best))) {
            best = &route;
        }
    }
    return best;
}

int requestUrgency(const ServiceRequest &request)
{
    const auto it = request.headers.find("priority");
    if (it == request.headers.end()) {
        return defaultUrgency;
    }
    const std::size_t pos = it->second.find("u=");
    if (pos == std::string::npos || pos + 2 >= it->second.size()) {
        return defaultUrgency;
    }
    const char digit = it->second[pos + 2];
    return digit >= '0' && digit <= '7' ? digit - '0' : defaultUrgency;
}

} // namespace fescueledge
