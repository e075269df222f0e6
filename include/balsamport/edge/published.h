#ifndef BALSAMPORT_EDGE_PUBLISHED_H
#define BALSAMPORT_EDGE_PUBLISHED_H

#include <balsamport/core/clock.h>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace balsamport {

/// @brief One entry that the platform publishes. Its value is read by the platform's adapter only.
struct PublishedEntry
{
    std::string key;
    std::string value;
    std::uint64_t revision = 0; ///< Of its last change that matters.
    bool deleted = false;

    bool operator==(const PublishedEntry &) const = default;
};

/// @brief What this daemon knows of the published entries, from the store or from its peers.
///
/// A deleted entry stays as a tombstone, so that an older copy from a peer cannot bring it back.
struct PublishedState
{
    std::map<std::string, PublishedEntry> entries;
    std::uint64_t contentRevision = 0; ///< Newest revision of any entry held.
    Millis confirmedAt{-1}; ///< When the store last answered, here or at a peer; -1 for never.
};

/// @brief Tells whether changes may be merged: nothing is missing before them.
///
/// A state that took changes over a gap would seem newer than it is, and no peer would send what it
/// lacks.
/// @param since the changes are all those after this revision
[[nodiscard]] bool isContiguous(const PublishedState &state, std::uint64_t since) noexcept;

/// @brief Takes entries; older revisions than those held are ignored.
/// @return the entries that were new
/// @complexity O(n log m) for n entries given and m held
std::vector<PublishedEntry> mergeEntries(PublishedState &state,
                                         const std::vector<PublishedEntry> &entries);

/// @brief Takes a whole listing of the store: what is held and not listed becomes deleted.
/// @param revision of the store when it answered
/// @return the entries that changed
std::vector<PublishedEntry> replaceEntries(PublishedState &state,
                                           const std::vector<PublishedEntry> &listing,
                                           std::uint64_t revision);

/// @brief Gives the entries that changed after a revision, tombstones included.
[[nodiscard]] std::vector<PublishedEntry> entriesSince(const PublishedState &state,
                                                       std::uint64_t revision);

} // namespace balsamport

#endif
