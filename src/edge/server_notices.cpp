#include <balsamport/edge/server_notices.h>

#include <algorithm>

namespace balsamport {

namespace {

using Notice = ServerNotices::Notice;

/// A server whose entry lapsed may be listed again within this time, and still be leaving.
constexpr Millis noticeTime{60'000};

/// The notice of a server's present run, begun where there is none.
Notice &noticeOf(ServerNotices &state, const ServerEntry &server)
{
    Notice &notice = state.notices[server.id];
    if (notice.address != server.address || notice.startedAtWallMs != server.startedAtWallMs) {
        notice = Notice();
        notice.address = server.address;
        notice.startedAtWallMs = server.startedAtWallMs;
    }
    return notice;
}

const Notice *findNotice(const ServerNotices &state, const ServerEntry &server)
{
    const auto found = state.notices.find(server.id);
    const bool ofThisRun = found != state.notices.end() && found->second.address == server.address
            && found->second.startedAtWallMs == server.startedAtWallMs;
    return ofThisRun ? &found->second : nullptr;
}

} // namespace

bool noteLeaving(ServerNotices &state, const ServerEntry &server, Millis now)
{
    Notice &notice = noticeOf(state, server);
    const bool isNew = !notice.leaving;
    notice.leaving = true;
    notice.notedAt = now;
    return isNew;
}

bool notePause(ServerNotices &state, const ServerEntry &server, Millis pause, Millis now)
{
    Notice &notice = noticeOf(state, server);
    const Millis until = now + std::min(pause, longestServerPause);
    const bool longer = until > notice.pausedUntil;
    notice.notedAt = now;
    notice.pausedUntil = std::max(notice.pausedUntil, until);
    return longer;
}

void forgetNotices(ServerNotices &state, const ServerCatalog &catalog, Millis now)
{
    std::erase_if(state.notices, [&](const auto &entry) {
        const bool old = now - entry.second.notedAt > noticeTime && entry.second.pausedUntil <= now;
        return old && catalog.servers.count(entry.first) == 0;
    });
}

bool isLeaving(const ServerNotices &state, const ServerEntry &server)
{
    const Notice *notice = findNotice(state, server);
    return notice != nullptr && notice->leaving;
}

Millis pauseLeft(const ServerNotices &state, const ServerEntry &server, Millis now)
{
    const Notice *notice = findNotice(state, server);
    return notice == nullptr ? Millis(0) : std::max(notice->pausedUntil - now, Millis(0));
}

std::vector<const ServerEntry *> takingRequests(const ServerNotices &state,
                                                const std::vector<const ServerEntry *> &servers,
                                                Millis now)
{
    std::vector<const ServerEntry *> taking;
    std::copy_if(servers.begin(), servers.end(), std::back_inserter(taking),
                 [&](const ServerEntry *server) {
                     return !isLeaving(state, *server)
                             && pauseLeft(state, *server, now) == Millis(0);
                 });
    return taking;
}

std::optional<Millis> shortestPause(const ServerNotices &state,
                                    const std::vector<const ServerEntry *> &servers, Millis now)
{
    std::optional<Millis> shortest;
    for (const ServerEntry *server : servers) {
        const Millis left = pauseLeft(state, *server, now);
        const bool returns = left > Millis(0) && !isLeaving(state, *server);
        if (returns && (!shortest || left < *shortest)) {
            shortest = left;
        }
    }
    return shortest;
}

} // namespace balsamport
