#include <balsamport/edge/entry_precedence.h>

#include <utility>

namespace balsamport {

namespace {

/// @return true if a versioned entry precedes the content that the store has now
template<typename Content>
bool isNewerVersion(const Content &older, const PublishedEntry &newer,
                    const Result<EntryContent> &newerContent)
{
    if (newer.deleted) {
        return newer.origin != EntryOrigin::Written;
    }
    const auto *next
            = newerContent.has_value() ? std::get_if<Content>(&newerContent.value()) : nullptr;
    return next == nullptr || next->version < older.version;
}

bool serverStays(const PublishedEntry &older, const ServerEntry &olderServer,
                 const PublishedEntry &newer, const Result<EntryContent> &newerContent,
                 bool rewritten)
{
    if (rewritten || newer.deleted) {
        return false;
    }
    if (older.deleted) {
        return true;
    }
    const auto *next
            = newerContent.has_value() ? std::get_if<ServerEntry>(&newerContent.value()) : nullptr;
    if (next == nullptr) {
        return true;
    }
    return olderServer.startedAtWallMs != next->startedAtWallMs
            ? olderServer.startedAtWallMs > next->startedAtWallMs
            : olderServer.draining && !next->draining;
}

} // namespace

StaysInForce entryPrecedence(std::function<Result<EntryContent>(const PublishedEntry &)> readEntry)
{
    return [read = std::move(readEntry)](const PublishedEntry &older, const PublishedEntry &newer,
                                         bool rewritten) {
        const Result<EntryContent> olderContent = read(older);
        if (olderContent.has_error()) {
            return false;
        }
        const Result<EntryContent> newerContent = read(newer);
        const EntryContent &content = olderContent.value();
        if (const auto *config = std::get_if<EdgeConfig>(&content)) {
            return isNewerVersion(*config, newer, newerContent);
        }
        if (const auto *declaration = std::get_if<AdapterDeclaration>(&content)) {
            return isNewerVersion(*declaration, newer, newerContent);
        }
        if (const auto *server = std::get_if<ServerEntry>(&content)) {
            return serverStays(older, *server, newer, newerContent, rewritten);
        }
        return false;
    };
}

} // namespace balsamport
