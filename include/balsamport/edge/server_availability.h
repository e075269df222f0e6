#ifndef BALSAMPORT_EDGE_SERVER_AVAILABILITY_H
#define BALSAMPORT_EDGE_SERVER_AVAILABILITY_H

#include <balsamport/core/clock.h>
#include <balsamport/core/ids.h>
#include <balsamport/edge/server_catalog.h>
#include <balsamport/policy/fleet_rate_limit.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace balsamport {

/// @brief Availability that backend servers reported in their responses, before the platform
/// publishes it. An entry holds for one run of a server, not for a later one at the same address or
/// id.
struct ServerAvailability
{
    struct Entry
    {
        std::string address;
        std::int64_t startedAtWallMs = 0;
        bool draining = false; ///< The server accepts no new requests.
        Millis backoffUntil{-1}; ///< The server accepts no requests before.
        KnownRateLimit rateLimit; ///< Of all daemons together.
        Millis reportedAt; ///< Time of the last report.

        bool operator==(const Entry &) const = default;
    };
    std::map<BackendServerId, Entry> entries;

    bool operator==(const ServerAvailability &) const = default;
};

/// Longer backoffs are cut: no overload lasts longer, and the value may be wrong.
constexpr Millis maxServerBackoff{600'000};

/// @brief Records that a server is draining.
/// @return true where that wasn't known
bool recordDraining(ServerAvailability &state, const ServerEntry &server, Millis now);

/// @brief Records a backoff that a server requested. A shorter one doesn't end a longer one.
/// @return true where the backoff ends later than was known
bool recordBackoff(ServerAvailability &state, const ServerEntry &server, Millis backoff,
                   Millis now);

/// @brief Records what a response of a server states about the request rate that it accepts.
/// @return true where the limit has changed
bool recordRateLimit(ServerAvailability &state, const ServerEntry &server,
                     const RateLimitReport &report, Millis now);

/// @brief Records a rate limit that another daemon knows, if that is newer.
/// @return true where the limit has changed
bool recordRateLimit(ServerAvailability &state, const ServerEntry &server,
                     const KnownRateLimit &received, Millis now);

/// @brief Removes old entries of servers that aren't in the catalog any more.
void forgetUnlistedServers(ServerAvailability &state, const ServerCatalog &catalog, Millis now);

[[nodiscard]] bool isDraining(const ServerAvailability &state, const ServerEntry &server);

/// @return the rest of the server's backoff; 0 where it accepts requests
[[nodiscard]] Millis remainingBackoff(const ServerAvailability &state, const ServerEntry &server,
                                      Millis now);

/// @return the newest known rate limit of the server's current run
[[nodiscard]] KnownRateLimit rateLimitOf(const ServerAvailability &state,
                                         const ServerEntry &server);

/// @return the servers that are neither draining nor in a backoff
[[nodiscard]] std::vector<const ServerEntry *>
acceptingServers(const ServerAvailability &state, const std::vector<const ServerEntry *> &servers,
                 Millis now);

/// @return the time until the first backoff ends, without servers that are draining; nothing where
/// no server is in a backoff
[[nodiscard]] std::optional<Millis> shortestBackoff(const ServerAvailability &state,
                                                    const std::vector<const ServerEntry *> &servers,
                                                    Millis now);

} // namespace balsamport

#endif
