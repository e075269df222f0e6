#include <balsamport/edge/server_availability.h>

#include <algorithm>

namespace balsamport {

namespace {

using Entry = ServerAvailability::Entry;

/// A server whose entry lapsed may be listed again within this time, and still be leaving.
constexpr Millis entryLifetime{60'000};

/// The notice of a server's present run, begun where there is none.
Entry &entryOf(ServerAvailability &state, const ServerEntry &server)
{
    Entry &entry = state.entries[server.id];
    if (entry.address != server.address || entry.startedAtWallMs != server.startedAtWallMs) {
        entry = Entry();
        entry.address = server.address;
        entry.startedAtWallMs = server.startedAtWallMs;
    }
    return entry;
}

const Entry *findEntry(const ServerAvailability &state, const ServerEntry &server)
{
    const auto found = state.entries.find(server.id);
    const bool ofThisRun = found != state.entries.end() && found->second.address == server.address
            && found->second.startedAtWallMs == server.startedAtWallMs;
    return ofThisRun ? &found->second : nullptr;
}

} // namespace

bool recordDraining(ServerAvailability &state, const ServerEntry &server, Millis now)
{
    Entry &entry = entryOf(state, server);
    const bool isNew = !entry.draining;
    entry.draining = true;
    entry.reportedAt = now;
    return isNew;
}

bool recordBackoff(ServerAvailability &state, const ServerEntry &server, Millis pause, Millis now)
{
    Entry &entry = entryOf(state, server);
    const Millis until = now + std::min(pause, maxServerBackoff);
    const bool longer = until > entry.backoffUntil;
    entry.reportedAt = now;
    entry.backoffUntil = std::max(entry.backoffUntil, until);
    return longer;
}

void forgetUnlistedServers(ServerAvailability &state, const ServerCatalog &catalog, Millis now)
{
    std::erase_if(state.entries, [&](const auto &entry) {
        const bool old
                = now - entry.second.reportedAt > entryLifetime && entry.second.backoffUntil <= now;
        return old && catalog.servers.count(entry.first) == 0;
    });
}

bool isDraining(const ServerAvailability &state, const ServerEntry &server)
{
    const Entry *entry = findEntry(state, server);
    return entry != nullptr && entry->draining;
}

Millis remainingBackoff(const ServerAvailability &state, const ServerEntry &server, Millis now)
{
    const Entry *entry = findEntry(state, server);
    return entry == nullptr ? Millis(0) : std::max(entry->backoffUntil - now, Millis(0));
}

std::vector<const ServerEntry *> acceptingServers(const ServerAvailability &state,
                                                  const std::vector<const ServerEntry *> &servers,
                                                  Millis now)
{
    std::vector<const ServerEntry *> taking;
    std::copy_if(servers.begin(), servers.end(), std::back_inserter(taking),
                 [&](const ServerEntry *server) {
                     return !isDraining(state, *server)
                             && remainingBackoff(state, *server, now) == Millis(0);
                 });
    return taking;
}

std::optional<Millis> shortestBackoff(const ServerAvailability &state,
                                      const std::vector<const ServerEntry *> &servers, Millis now)
{
    std::optional<Millis> shortest;
    for (const ServerEntry *server : servers) {
        const Millis left = remainingBackoff(state, *server, now);
        const bool returns = left > Millis(0) && !isDraining(state, *server);
        if (returns && (!shortest || left < *shortest)) {
            shortest = left;
        }
    }
    return shortest;
}

} // namespace balsamport
