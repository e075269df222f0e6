#ifndef BALSAMPORT_EDGE_PUBLISHED_H
#define BALSAMPORT_EDGE_PUBLISHED_H

#include <balsamport/core/clock.h>

#include <compare>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace balsamport {

/// @brief Position in the history of the store. Each time the store returns from a copy its era
/// rises, and its revisions go back and are given out again.
struct StoreRevision
{
    constexpr StoreRevision() = default;
    /// @param storeEra 0 for a store that does not state one
    constexpr explicit StoreRevision(std::uint64_t revisionNumber,
                                     std::uint64_t storeEra = 0) noexcept
        : era(storeEra)
        , number(revisionNumber)
    { }

    std::uint64_t era = 0;
    std::uint64_t number = 0;

    auto operator<=>(const StoreRevision &) const = default;
};

/// @brief How an entry came about. Of two entries with the same revision the higher origin holds.
enum class EntryOrigin : std::uint8_t {
    Listed, ///< Read from a listing: written in this era, or part of the copy that it began with.
    Kept, ///< The listing lacks or contradicts it; it stays in force until it is written again.
    Written, ///< Received as a change, so written in this era.
};

/// @brief One entry that the platform publishes. Only the Dialect of the platform reads its value.
struct PublishedEntry
{
    std::string key;
    std::string value;
    StoreRevision revision; ///< Of its last change; heartbeats of servers do not count.
    bool deleted = false;
    EntryOrigin origin = EntryOrigin::Written;

    bool operator==(const PublishedEntry &) const = default;
};

/// @brief The published entries that this daemon received from the store or from its peers.
///
/// A deleted entry stays as a tombstone, so that an older copy from a peer cannot restore it.
/// Daemons compare their content revisions to find out what they lack, so that a state must not
/// claim a revision whose removals it doesn't know.
struct PublishedState
{
    std::map<std::string, PublishedEntry> entries;
    /// Each key is held as the store had it at this revision or later, removals included.
    StoreRevision contentRevision;
    /// All removals after this revision are held as tombstones. A listing shows no earlier ones.
    StoreRevision historyFrom;
    Millis confirmedAt{
            -1}; ///< When the store last confirmed the state, here or at a peer; -1 for never.
};

/// @brief Returns whether changes continue the state without a gap, so that they may be merged.
///
/// A state that merged changes after a gap would seem newer than it is, and no peer would send the
/// changes it lacks.
/// @param since the changes are all changes after this revision
[[nodiscard]] bool isContiguous(const PublishedState &state, const StoreRevision &since) noexcept;

/// @brief Decides between two entries with the same key across eras of the store: whether the older
/// one stays in force although the store now has the newer one.
/// @param rewritten the newer one was written after the older one had been lost
using StaysInForce = std::function<bool(const PublishedEntry &older, const PublishedEntry &newer,
                                        bool rewritten)>;

/// @brief Merges all changes up to the highest revision of the entries given; revisions that are
/// not newer than those held are ignored.
///
/// The order of the merges does not matter for what is in force.
/// @return the entries that are new or changed, as they are held now
/// @complexity O(n log m) for n entries given and m held
std::vector<PublishedEntry> mergeEntries(PublishedState &state,
                                         const std::vector<PublishedEntry> &entries,
                                         const StaysInForce &staysInForce);

/// @brief Applies a complete listing of the store: entries that are held but not listed become
/// deleted, unless they stay in force.
/// @param revision of the store at the time of the listing
/// @return the entries that changed
std::vector<PublishedEntry> replaceEntries(PublishedState &state,
                                           const std::vector<PublishedEntry> &listing,
                                           const StoreRevision &revision,
                                           const StaysInForce &staysInForce);

/// @brief The entries of a watch, in the order of their revisions.
struct WatchedChanges
{
    std::vector<PublishedEntry> changes;
    std::vector<PublishedEntry> heartbeats; ///< Their content is the one held.

    bool operator==(const WatchedChanges &) const = default;
};

/// @brief Separates the entries whose content is unchanged.
/// @param isHeartbeat compares an entry held with one that was written later
[[nodiscard]] WatchedChanges separateHeartbeats(
        const PublishedState &state, const std::vector<PublishedEntry> &entries,
        const std::function<bool(const PublishedEntry &held, const PublishedEntry &entry)>
                &isHeartbeat);

/// @brief Changes of a state from one revision to another, for a peer.
struct PublishedUpdate
{
    std::vector<PublishedEntry> entries; ///< Changed after `since`, tombstones included.
    StoreRevision since;
    StoreRevision contentRevision; ///< Of the state that the update leads to.
    /// Removals may lack a tombstone: keys in neither list are deleted.
    bool complete = false;
    std::vector<std::string> presentKeys; ///< Of a complete update: not changed after `since`.

    bool operator==(const PublishedUpdate &) const = default;
};

/// @brief Builds the update for a peer that holds the state of a revision.
[[nodiscard]] PublishedUpdate updateSince(const PublishedState &state, const StoreRevision &since);

/// @brief Applies an update that continues the state; see isContiguous().
/// @return the entries that changed
std::vector<PublishedEntry> applyUpdate(PublishedState &state, const PublishedUpdate &update,
                                        const StaysInForce &staysInForce);

/// @brief Returns the entries that changed after a revision, tombstones included, and those that
/// are kept: a daemon that started after the store's return has their revision but not them.
[[nodiscard]] std::vector<PublishedEntry> entriesSince(const PublishedState &state,
                                                       const StoreRevision &revision);

/// @return a number by which daemons compare the entries that they keep; 0 for none
[[nodiscard]] std::uint64_t keptEntriesDigest(const PublishedState &state);

} // namespace balsamport

#endif
