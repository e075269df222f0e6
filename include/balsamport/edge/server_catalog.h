#ifndef BALSAMPORT_EDGE_SERVER_CATALOG_H
#define BALSAMPORT_EDGE_SERVER_CATALOG_H

#include <balsamport/core/clock.h>
#include <balsamport/core/ids.h>

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace balsamport {

/// @brief Name of an adapter of a base model.
struct AdapterName
{
    BaseModelId base;
    AdapterId adapter;

    auto operator<=>(const AdapterName &) const = default;
    bool operator==(const AdapterName &) const = default;
};

/// @brief Entry of a backend server, as published by itself.
struct ServerEntry
{
    BackendServerId id;
    ServiceId service;
    std::string address; ///< IP:PORT
    DataCentreId dataCentre;
    std::uint32_t slots = 0; ///< Concurrent requests that it runs.
    bool draining = false;
    std::int64_t startedAtWallMs = 0; ///< Changes where a restart kept the id; 0 if not published.
    bool holdsModel = true; ///< An engine with a loaded base model, or a plain service.
    /// Loaded by the engine when it last renewed its entry, one or two seconds ago.
    std::set<AdapterName> adapters;

    bool operator==(const ServerEntry &) const = default;
};

/// @brief A backend server in the catalog.
struct CatalogServer
{
    ServerEntry entry;
    Millis missingSince{-1}; ///< Time at which its entry was deleted; -1 while it is listed.

    bool operator==(const CatalogServer &) const = default;
};

/// @brief Known backend servers.
///
/// An entry that is deleted during a store outage may have expired only because its owner couldn't
/// renew it. Such a server is kept for a grace period after the store is reachable again.
struct ServerCatalog
{
    std::map<BackendServerId, CatalogServer> servers;
    Millis graceUntil{-1}; ///< End of the grace period after the last store outage.

    bool operator==(const ServerCatalog &) const = default;
};

/// Grace period: time after a store outage by which live servers are listed again. Source: the
/// users' second letter ("about two seconds"), and half a second for the delivery to this VM.
constexpr Millis relistDelay{2'500};

/// @brief Records that the store isn't reachable, or has just become reachable again.
void recordStoreOutage(ServerCatalog &catalog, Millis now) noexcept;

/// @brief Adds or updates a server.
/// @return true where more changed than its loaded adapters
bool upsertServer(ServerCatalog &catalog, const ServerEntry &entry);

/// @brief Applies the deletion of a server's entry. Outside of the grace period, or while it
/// drains, the server is removed at once.
/// @return true where it was removed
bool removeServer(ServerCatalog &catalog, const BackendServerId &id, Millis now);

/// @brief Removes servers that weren't listed again within the grace period.
/// @return the ids of the removed servers
std::vector<BackendServerId> expireServers(ServerCatalog &catalog, Millis now);

/// @return the servers of a service that aren't draining, ordered by id
[[nodiscard]] std::vector<const ServerEntry *> usableServers(const ServerCatalog &catalog,
                                                             const ServiceId &service);

} // namespace balsamport

#endif
