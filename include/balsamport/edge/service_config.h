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

/// @brief What a route lets the system do with a request whose outcome is unknown.
enum class Repeatability : std::uint8_t {
    Idempotent, ///< May run again.
    AtMostOnce, ///< Is never sent again once it may have run.
};

/// @brief One service of a route, and its share of the requests.
struct RouteTarget
{
    ServiceId service;
    std::uint32_t weight = 1;

    bool operator==(const RouteTarget &) const = default;
};

/// @brief Requests of one host and path prefix.
struct EdgeRoute
{
    std::string name;
    std::string host;
    std::string prefix; ///< Begins and ends with a slash.
    std::vector<RouteTarget> targets;
    Repeatability repeatability = Repeatability::AtMostOnce;
    bool isPublic = false; ///< Callers need no key.
    bool streaming = false;
    bool resumable = false; ///< A broken stream may go on at another backend server.
    std::uint32_t maxAttempts = 1; ///< Backend servers that one request may run on.
    std::int32_t priority = 0; ///< 0 goes first.
    Millis timeout{0}; ///< Longest wait of a caller; 0 for none.
    Millis objective{0}; ///< Answers, or first pieces of streams, are late after this time.
    Millis tokenGapObjective{0}; ///< Longest pause between pieces of a stream.
    Millis maxStreamSilence{0}; ///< A caller leaves a stream that is silent for so long; 0: never.

    bool operator==(const EdgeRoute &) const = default;
};

/// @brief What the engines of a service can do.
struct EngineLimits
{
    std::uint32_t batchSlots = 0; ///< Requests that run at once.
    std::uint64_t kvTokens = 0; ///< Tokens that running requests and kept prompts share.
    std::uint32_t adapterSlots = 0;
    std::vector<BaseModelId> models; ///< Base models that the engines may hold.

    bool operator==(const EngineLimits &) const = default;
};

/// @brief A service that requests are routed to.
struct EdgeService
{
    ServiceId name;
    std::optional<EngineLimits> engine; ///< Nothing for a plain service.

    bool operator==(const EdgeService &) const = default;
};

/// @brief One accepted configuration of the edge; immutable once built.
struct EdgeConfig
{
    std::uint64_t version = 0;
    std::map<std::string, std::vector<EdgeRoute>> routesByHost; ///< Longest prefix first.
    std::map<ServiceId, EdgeService> services;
    bool needsKeys = false; ///< Callers of routes that are not public need a key.
    Organisations organisations;

    bool operator==(const EdgeConfig &) const = default;
};

/// @brief Adds a route and keeps the routes of its host sorted by falling length of the prefix.
void addRoute(EdgeConfig &config, EdgeRoute route);

/// @brief Finds the route of a request: the host's one with the longest prefix that begins the
/// path.
/// @param host as sent, with or without a port
/// @return nothing where no route matches
/// @complexity linear in the routes of the host
[[nodiscard]] const EdgeRoute *findRoute(const EdgeConfig &config, std::string_view host,
                                         std::string_view path) noexcept;

/// @brief Chooses the service of a request by the weights of the route's targets.
/// @param requestHash decides; equal hashes choose alike on every VM
/// @return nothing where all weights are 0
[[nodiscard]] const ServiceId *chooseService(const EdgeRoute &route,
                                             std::uint64_t requestHash) noexcept;

} // namespace balsamport

#endif
