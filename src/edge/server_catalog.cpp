#include <balsamport/edge/server_catalog.h>

#include <algorithm>

namespace balsamport {

void recordStoreOutage(ServerCatalog &catalog, Millis now) noexcept
{
    catalog.graceUntil = std::max(catalog.graceUntil, now + relistDelay);
}

bool upsertServer(ServerCatalog &catalog, const ServerEntry &entry)
{
    CatalogServer &server = catalog.servers[entry.id];
    // Loaded adapters change all the time; only the ranking of engines uses them.
    server.entry.adapters = entry.adapters;
    const bool changed = server.entry != entry;
    server.entry = entry;
    server.missingSince = Millis(-1);
    return changed;
}

bool removeServer(ServerCatalog &catalog, const BackendServerId &id, Millis now)
{
    const auto found = catalog.servers.find(id);
    if (found == catalog.servers.end()) {
        return false;
    }
    if (now <= catalog.graceUntil && !found->second.entry.draining) {
        if (found->second.missingSince < Millis(0)) {
            found->second.missingSince = now;
        }
        return false;
    }
    catalog.servers.erase(found);
    return true;
}

std::vector<BackendServerId> expireServers(ServerCatalog &catalog, Millis now)
{
    std::vector<BackendServerId> removed;
    if (now <= catalog.graceUntil) {
        return removed;
    }
    for (auto server = catalog.servers.begin(); server != catalog.servers.end();) {
        if (server->second.missingSince >= Millis(0)) {
            removed.push_back(server->first);
            server = catalog.servers.erase(server);
        } else {
            ++server;
        }
    }
    return removed;
}

std::vector<const ServerEntry *> usableServers(const ServerCatalog &catalog,
                                               const ServiceId &service)
{
    std::vector<const ServerEntry *> result;
    for (const auto &[id, server] : catalog.servers) {
        if (server.entry.service == service && !server.entry.draining) {
            result.push_back(&server.entry);
        }
    }
    return result;
}

} // namespace balsamport
