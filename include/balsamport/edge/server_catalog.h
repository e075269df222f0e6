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

/// @brief An adapter of a base model.
struct AdapterName
{
    BaseModelId base;
    AdapterId adapter;

    auto operator<=>(const AdapterName &) const = default;
    bool operator==(const AdapterName &) const = default;
};

/// @brief A backend server as it describes itself.
struct ServerEntry
{
    BackendServerId id;
    ServiceId service;
    std::string address; ///< IP:PORT
    DataCentreId dataCentre;
    std::uint32_t slots = 0; ///< Requests that it runs at once.
    bool draining = false;
    std::int64_t startedAtWallMs = 0; ///< Changes where a restart kept the id; 0 if not told.
    bool holdsModel = true; ///< An engine that has a base model in place, or a plain service.
    /// In an engine's places when it last renewed its entry, a second or two ago.
    std::set<AdapterName> adapters;

    bool operator==(const ServerEntry &) const = default;
};

/// @brief A backend server in the catalog.
struct CatalogServer
{
    ServerEntry entry;
    Millis missingSince{-1}; ///< When its entry was found deleted; -1 while it is listed.

    bool operator==(const CatalogServer &) const = default;
};

/// @brief The backend servers that may get work.
///
/// An entry that is deleted while the store is in trouble may have lapsed only because its owner
/// could not renew it. Such a server is kept for a while after the store is back.
struct ServerCatalog
{
    std::map<BackendServerId, CatalogServer> servers;
    Millis graceUntil{-1}; ///< The store was in trouble until then.

    bool operator==(const ServerCatalog &) const = default;
};

/// Time after the store's return by which live servers are listed again. Source: the users'
/// second letter ("about two seconds"), and half a second for the way to this VM.
constexpr Millis relistDelay{2'500};

/// @brief Notes that the store does not answer, or has just come back.
void recordStoreOutage(ServerCatalog &catalog, Millis now) noexcept;

/// @brief Takes a server's description.
/// @return true where more changed than the adapters that it holds
bool upsertServer(ServerCatalog &catalog, const ServerEntry &entry);

/// @brief Takes the deletion of a server's entry. It is removed at once while the store is well.
/// @return true where it was removed
bool removeServer(ServerCatalog &catalog, const BackendServerId &id, Millis now);

/// @brief Removes servers that were not listed again in time.
/// @return the ids that were removed
std::vector<BackendServerId> expireServers(ServerCatalog &catalog, Millis now);

/// @brief Gives the servers of a service that may get new work, ordered by id.
[[nodiscard]] std::vector<const ServerEntry *> usableServers(const ServerCatalog &catalog,
                                                             const ServiceId &service);

} // namespace balsamport

#endif
