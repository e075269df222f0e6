#ifndef BALSAMPORT_EDGE_PUBLISHED_H
#define BALSAMPORT_EDGE_PUBLISHED_H

#include <balsamport/core/clock.h>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace balsamport {

/// @brief One entry that the platform publishes. Only the Dialect of the platform reads its value.
struct PublishedEntry
{
    std::string key;
    std::string value;
    std::uint64_t revision = 0; ///< Of its last change; heartbeats of servers do not count.
    bool deleted = false;

    bool operator==(const PublishedEntry &) const = default;
};

/// @brief The published entries that this daemon received from the store or from its peers.
///
/// A deleted entry stays as a tombstone, so that an older copy from a peer cannot restore it.
struct PublishedState
{
    std::map<std::string, PublishedEntry> entries;
    std::uint64_t contentRevision = 0; ///< The highest revision of all entries held.
    Millis confirmedAt{
            -1}; ///< When the store last confirmed the state, here or at a peer; -1 for never.
};

/// @brief Returns whether changes continue the state without a gap, so that they may be merged.
///
/// A state that merged changes after a gap would seem newer than it is, and no peer would send the
/// changes it lacks.
/// @param since the changes are all changes after this revision
[[nodiscard]] bool isContiguous(const PublishedState &state, std::uint64_t since) noexcept;

/// @brief Merges entries; revisions that are not newer than those held are ignored.
/// @return the entries that are new or changed
/// @complexity O(n log m) for n entries given and m held
std::vector<PublishedEntry> mergeEntries(PublishedState &state,
                                         const std::vector<PublishedEntry> &entries);

/// @brief Applies a complete listing of the store: entries that are held but not listed become
/// deleted.
/// @param revision of the store at the time of the listing
/// @return the entries that changed
std::vector<PublishedEntry> replaceEntries(PublishedState &state,
                                           const std::vector<PublishedEntry> &listing,
                                           std::uint64_t revision);

/// @brief Returns the entries that changed after a revision, tombstones included.
[[nodiscard]] std::vector<PublishedEntry> entriesSince(const PublishedState &state,
                                                       std::uint64_t revision);

} // namespace balsamport

#endif
