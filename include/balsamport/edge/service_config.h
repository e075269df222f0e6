#ifndef BALSAMPORT_EDGE_SERVICE_CONFIG_H
#define BALSAMPORT_EDGE_SERVICE_CONFIG_H

#include <balsamport/core/clock.h>
#include <balsamport/core/ids.h>
#include <balsamport/edge/organisations.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace balsamport {

/// @brief Whether a request of a route may be sent again when its outcome is unknown.
enum class Repeatability : std::uint8_t {
    Idempotent, ///< May run again.
    AtMostOnce, ///< Is not sent again once it may have run.
};

/// @brief A service of a route and its share of the requests.
struct RouteTarget
{
    ServiceId service;
    std::uint32_t weight = 1;

    bool operator==(const RouteTarget &) const = default;
};

/// @brief Settings for the requests of one host and path prefix.
struct EdgeRoute
{
    std::string name;
    std::string host;
    std::string prefix; ///< Begins and ends with a slash.
    std::vector<RouteTarget> targets;
    Repeatability repeatability = Repeatability::AtMostOnce;
    bool isPublic = false; ///< Callers need no key.
    bool streaming = false;
    bool resumable = false; ///< A broken stream may continue on another backend server.
    std::uint32_t maxAttempts = 1; ///< Backend servers that one request may run on.
    std::int32_t priority = 0; ///< 0 is served first.
    Millis timeout{0}; ///< Longest wait of a caller; 0 for no limit.
    /// Service level objective for a response, or for the first chunk of a stream; 0 for none.
    Millis objective{0};
    Millis tokenGapObjective{0}; ///< Longest gap between chunks of a stream.
    /// A caller cancels a stream without a chunk for this long; 0 for never.
    Millis maxStreamSilence{0};

    bool operator==(const EdgeRoute &) const = default;
};

/// @brief Capacity of each engine of a service.
struct EngineLimits
{
    std::uint32_t batchSlots = 0; ///< Requests that run concurrently.
    std::uint64_t kvTokens = 0; ///< Tokens that running requests and the prefix cache share.
    std::uint32_t adapterSlots = 0; ///< Adapters that are loaded at the same time.
    std::vector<BaseModelId> models; ///< Base models that the engines may serve.
    /// Longest lifetime of a reservation; nothing if the configuration doesn't say.
    std::optional<Millis> maxReservation;

    bool operator==(const EngineLimits &) const = default;
};

/// @brief A service that requests are routed to.
struct EdgeService
{
    ServiceId name;
    std::optional<EngineLimits> engine; ///< Empty for a plain service.

    bool operator==(const EdgeService &) const = default;
};

/// @brief One accepted configuration of the edge daemon; immutable once built.
struct EdgeConfig
{
    std::uint64_t version = 0;
    std::map<std::string, std::vector<EdgeRoute>> routesByHost; ///< Longest prefix first.
    std::map<ServiceId, EdgeService> services;
    bool needsKeys = false; ///< Callers of routes that are not public must send a key.
    Organisations organisations;

    bool operator==(const EdgeConfig &) const = default;
};

/// @brief Adds a route. The routes of a host stay sorted by descending length of their prefixes.
void addRoute(EdgeConfig &config, EdgeRoute route);

/// @brief Finds the route of a request: the route of the host with the longest prefix of the path.
/// @param host as sent, with or without a port
/// @return nullptr if no route matches
/// @complexity linear in the routes of the host
[[nodiscard]] const EdgeRoute *findRoute(const EdgeConfig &config, std::string_view host,
                                         std::string_view path) noexcept;

/// @brief Chooses the service of a request by the weights of the route's targets.
/// @param requestHash determines the choice; equal hashes choose the same service on every VM
/// @return nullptr if all weights are 0
[[nodiscard]] const ServiceId *chooseService(const EdgeRoute &route,
                                             std::uint64_t requestHash) noexcept;

} // namespace balsamport

#endif
