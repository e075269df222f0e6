#ifndef BALSAMPORT_EDGE_SERVER_AVAILABILITY_H
#define BALSAMPORT_EDGE_SERVER_AVAILABILITY_H

#include <balsamport/core/clock.h>
#include <balsamport/core/ids.h>
#include <balsamport/edge/server_catalog.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace balsamport {

/// @brief What backend servers said of themselves in their answers, before the platform publishes
/// it. Each notice is of one run of a server; a new one at the same address or id is not bound.
struct ServerAvailability
{
    struct Entry
    {
        std::string address;
        std::int64_t startedAtWallMs = 0;
        bool draining = false; ///< It takes no new requests.
        Millis backoffUntil{-1}; ///< It wants no requests before.
        Millis reportedAt; ///< When it said so last.

        bool operator==(const Entry &) const = default;
    };
    std::map<BackendServerId, Entry> entries;

    bool operator==(const ServerAvailability &) const = default;
};

/// Longer pauses are cut: no overload lasts so long, and the figure may be nonsense.
constexpr Millis maxServerBackoff{600'000};

/// @brief Notes that a server is leaving.
/// @return true where that was not known
bool recordDraining(ServerAvailability &state, const ServerEntry &server, Millis now);

/// @brief Notes that a server wants no requests for a time. A shorter wish does not end a longer
/// one.
/// @return true where it is paused for longer than was known
bool recordBackoff(ServerAvailability &state, const ServerEntry &server, Millis pause, Millis now);

/// @brief Forgets old notices of servers that are not in the catalog any more.
void forgetUnlistedServers(ServerAvailability &state, const ServerCatalog &catalog, Millis now);

[[nodiscard]] bool isDraining(const ServerAvailability &state, const ServerEntry &server);

/// @return how long the server still wants no requests; 0 where it takes them
[[nodiscard]] Millis remainingBackoff(const ServerAvailability &state, const ServerEntry &server,
                                      Millis now);

/// @brief Leaves out the servers that are leaving or want a pause.
[[nodiscard]] std::vector<const ServerEntry *>
acceptingServers(const ServerAvailability &state, const std::vector<const ServerEntry *> &servers,
                 Millis now);

/// @return the time until the first of the paused servers takes requests again; nothing where none
/// of them is paused
[[nodiscard]] std::optional<Millis> shortestBackoff(const ServerAvailability &state,
                                                    const std::vector<const ServerEntry *> &servers,
                                                    Millis now);

} // namespace balsamport

#endif
