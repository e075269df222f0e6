#include <balsamport/edge/server_availability.h>

#include <algorithm>

namespace balsamport {

namespace {

using Entry = ServerAvailability::Entry;

/// A server whose catalog entry expired may be listed again within this time and still be draining.
constexpr Millis entryLifetime{60'000};

/// @return the entry of a server's current run, a new one where there is none
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
    const bool changed = !entry.draining;
    entry.draining = true;
    entry.reportedAt = now;
    return changed;
}

bool recordBackoff(ServerAvailability &state, const ServerEntry &server, Millis backoff, Millis now)
{
    Entry &entry = entryOf(state, server);
    const Millis until = now + std::min(backoff, maxServerBackoff);
    const bool longer = until > entry.backoffUntil;
    entry.reportedAt = now;
    entry.backoffUntil = std::max(entry.backoffUntil, until);
    return longer;
}

bool recordRateLimit(ServerAvailability &state, const ServerEntry &server,
                     const RateLimitReport &report, Millis now)
{
    using Kind = RateLimitReport::Kind;
    // Most responses state no limit and need no entry.
    const bool isNews = report.kind == Kind::Limited
            || (report.kind == Kind::Unlimited && rateLimitOf(state, server).perSecond);
    if (!isNews) {
        return false;
    }
    Entry &entry = entryOf(state, server);
    entry.reportedAt = now;
    return applyReport(entry.rateLimit, report, now);
}

bool recordRateLimit(ServerAvailability &state, const ServerEntry &server,
                     const KnownRateLimit &received, Millis now)
{
    Entry &entry = entryOf(state, server);
    entry.reportedAt = now;
    return mergeRateLimit(entry.rateLimit, received);
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

KnownRateLimit rateLimitOf(const ServerAvailability &state, const ServerEntry &server)
{
    const Entry *entry = findEntry(state, server);
    return entry == nullptr ? KnownRateLimit() : entry->rateLimit;
}

std::vector<const ServerEntry *> acceptingServers(const ServerAvailability &state,
                                                  const std::vector<const ServerEntry *> &servers,
                                                  Millis now)
{
    std::vector<const ServerEntry *> accepting;
    std::copy_if(servers.begin(), servers.end(), std::back_inserter(accepting),
                 [&](const ServerEntry *server) {
                     return !isDraining(state, *server)
                             && remainingBackoff(state, *server, now) == Millis(0);
                 });
    return accepting;
}

std::optional<Millis> shortestBackoff(const ServerAvailability &state,
                                      const std::vector<const ServerEntry *> &servers, Millis now)
{
    std::optional<Millis> shortest;
    for (const ServerEntry *server : servers) {
        const Millis remaining = remainingBackoff(state, *server, now);
        const bool willAccept = remaining > Millis(0) && !isDraining(state, *server);
        if (willAccept && (!shortest || remaining < *shortest)) {
            shortest = remaining;
        }
    }
    return shortest;
}

} // namespace balsamport
