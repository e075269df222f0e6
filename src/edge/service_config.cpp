#include <balsamport/edge/service_config.h>

#include <algorithm>
#include <utility>

namespace balsamport {

namespace {

std::string normalizedHost(std::string_view host)
{
    host = host.substr(0, host.find(':'));
    std::string lower(host);
    std::transform(lower.begin(), lower.end(), lower.begin(), [](unsigned char character) {
        return static_cast<char>(character >= 'A' && character <= 'Z' ? character + ('a' - 'A')
                                                                      : character);
    });
    return lower;
}

} // namespace

void addRoute(EdgeConfig &config, EdgeRoute route)
{
    std::vector<EdgeRoute> &routes = config.routesByHost[normalizedHost(route.host)];
    const auto position = std::find_if(routes.begin(), routes.end(), [&](const EdgeRoute &other) {
        return other.prefix.size() < route.prefix.size();
    });
    routes.insert(position, std::move(route));
}

const EdgeRoute *findRoute(const EdgeConfig &config, std::string_view host,
                           std::string_view path) noexcept
{
    const auto routes = config.routesByHost.find(normalizedHost(host));
    if (routes == config.routesByHost.end()) {
        return nullptr;
    }
    for (const EdgeRoute &route : routes->second) {
        if (path.substr(0, route.prefix.size()) == route.prefix) {
            return &route;
        }
    }
    return nullptr;
}

const ServiceId *chooseService(const EdgeRoute &route, std::uint64_t requestHash) noexcept
{
    std::uint64_t total = 0;
    for (const RouteTarget &target : route.targets) {
        total += target.weight;
    }
    if (total == 0) {
        return nullptr;
    }
    std::uint64_t position = requestHash % total;
    for (const RouteTarget &target : route.targets) {
        if (position < target.weight) {
            return &target.service;
        }
        position -= target.weight;
    }
    return nullptr;
}

} // namespace balsamport
