#include <balsamport/core/hash.h>
#include <balsamport/edge/published.h>

#include <algorithm>
#include <set>
#include <tuple>
#include <utility>

namespace balsamport {

namespace {

bool isNewer(const PublishedEntry &entry, const PublishedEntry &other) noexcept
{
    // The value only makes daemons agree that kept different ones.
    return std::tie(entry.revision, entry.origin, entry.value)
            > std::tie(other.revision, other.origin, other.value);
}

/// @return true if revisions alone do not order two entries with the same key
bool differInEra(const PublishedEntry &entry, const PublishedEntry &other) noexcept
{
    return entry.revision.era != other.revision.era || entry.origin == EntryOrigin::Kept
            || other.origin == EntryOrigin::Kept;
}

/// @return what is in force after an entry was received for a key
PublishedEntry resolve(const PublishedEntry &held, const PublishedEntry &received,
                       const StaysInForce &staysInForce)
{
    const bool receivedIsNewer = isNewer(received, held);
    const PublishedEntry &newer = receivedIsNewer ? received : held;
    const PublishedEntry &older = receivedIsNewer ? held : received;
    if (!differInEra(held, received)) {
        return newer;
    }
    // A kept entry has the revision of the copy's one, so a higher one was written since.
    const bool rewritten = newer.origin == EntryOrigin::Written
            || (older.origin == EntryOrigin::Kept && older.revision.era == newer.revision.era
                && older.revision < newer.revision);
    if (!staysInForce || !staysInForce(older, newer, rewritten)) {
        return newer;
    }
    PublishedEntry kept = older;
    kept.revision = newer.revision;
    kept.origin = EntryOrigin::Kept;
    return kept;
}

} // namespace

namespace {

/// Merges entries, and deletes what the store's content at a revision doesn't have.
std::vector<PublishedEntry> replaceWith(PublishedState &state, std::vector<PublishedEntry> entries,
                                        const std::set<std::string> &present,
                                        const StoreRevision &revision,
                                        const StaysInForce &staysInForce)
{
    for (const auto &[key, held] : state.entries) {
        if (!held.deleted && held.revision <= revision && present.count(key) == 0) {
            entries.push_back(
                    PublishedEntry{key, std::string(), revision, true, EntryOrigin::Listed});
        }
    }
    // Entries of later revisions show nothing of the other changes until then.
    const StoreRevision claimed = std::max(state.contentRevision, revision);
    std::vector<PublishedEntry> changed = mergeEntries(state, entries, staysInForce);
    state.contentRevision = claimed;
    state.historyFrom = std::max(state.historyFrom, revision);
    return changed;
}

} // namespace

bool isContiguous(const PublishedState &state, const StoreRevision &since) noexcept
{
    return since <= state.contentRevision;
}

std::vector<PublishedEntry> mergeEntries(PublishedState &state,
                                         const std::vector<PublishedEntry> &entries,
                                         const StaysInForce &staysInForce)
{
    std::vector<PublishedEntry> changed;
    for (const PublishedEntry &entry : entries) {
        PublishedEntry &held = state.entries[entry.key];
        const bool isNew = held.key.empty();
        PublishedEntry result = isNew ? entry : resolve(held, entry, staysInForce);
        // Daemons that learn of another era pass everything on, so that all have its revisions.
        const bool isChange = isNew || held.value != result.value || held.deleted != result.deleted
                || held.revision.era != result.revision.era;
        held = std::move(result);
        state.contentRevision = std::max(state.contentRevision, held.revision);
        if (isChange) {
            changed.push_back(held);
        }
    }
    return changed;
}

std::vector<PublishedEntry> replaceEntries(PublishedState &state,
                                           const std::vector<PublishedEntry> &listing,
                                           const StoreRevision &revision,
                                           const StaysInForce &staysInForce)
{
    std::set<std::string> listed;
    for (const PublishedEntry &entry : listing) {
        listed.insert(entry.key);
    }
    return replaceWith(state, listing, listed, revision, staysInForce);
}

WatchedChanges separateHeartbeats(
        const PublishedState &state, const std::vector<PublishedEntry> &entries,
        const std::function<bool(const PublishedEntry &held, const PublishedEntry &entry)>
                &isHeartbeat)
{
    WatchedChanges result;
    std::set<std::string> changed;
    for (const PublishedEntry &entry : entries) {
        const auto held = state.entries.find(entry.key);
        // After another change of the key, what is held says nothing: a server that was removed and
        // is back has the content that it had before.
        const bool comparable = held != state.entries.end() && changed.count(entry.key) == 0;
        if (comparable && isHeartbeat(held->second, entry)) {
            result.heartbeats.push_back(entry);
        } else {
            changed.insert(entry.key);
            result.changes.push_back(entry);
        }
    }
    return result;
}

PublishedUpdate updateSince(const PublishedState &state, const StoreRevision &since)
{
    PublishedUpdate update;
    update.entries = entriesSince(state, since);
    update.since = since;
    update.contentRevision = state.contentRevision;
    update.complete = since < state.historyFrom;
    if (!update.complete) {
        return update;
    }
    std::set<std::string> included;
    for (const PublishedEntry &entry : update.entries) {
        included.insert(entry.key);
    }
    for (const auto &[key, entry] : state.entries) {
        if (!entry.deleted && included.count(key) == 0) {
            update.presentKeys.push_back(key);
        }
    }
    return update;
}

std::vector<PublishedEntry> applyUpdate(PublishedState &state, const PublishedUpdate &update,
                                        const StaysInForce &staysInForce)
{
    if (update.complete && update.contentRevision > state.contentRevision) {
        std::set<std::string> present(update.presentKeys.begin(), update.presentKeys.end());
        for (const PublishedEntry &entry : update.entries) {
            present.insert(entry.key);
        }
        return replaceWith(state, update.entries, present, update.contentRevision, staysInForce);
    }
    const StoreRevision claimed = std::max(state.contentRevision, update.contentRevision);
    std::vector<PublishedEntry> changed = mergeEntries(state, update.entries, staysInForce);
    state.contentRevision = claimed;
    return changed;
}

std::vector<PublishedEntry> entriesSince(const PublishedState &state, const StoreRevision &revision)
{
    std::vector<PublishedEntry> result;
    for (const auto &[key, entry] : state.entries) {
        if (entry.revision > revision || entry.origin == EntryOrigin::Kept) {
            result.push_back(entry);
        }
    }
    return result;
}

std::uint64_t keptEntriesDigest(const PublishedState &state)
{
    std::uint64_t digest = 0;
    for (const auto &[key, entry] : state.entries) {
        if (entry.origin == EntryOrigin::Kept) {
            digest ^= mixHash(hash64(key), hash64(entry.value));
        }
    }
    return digest;
}

} // namespace balsamport
