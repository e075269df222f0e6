#ifndef BALSAMPORT_POLICY_PREFIX_INDEX_H
#define BALSAMPORT_POLICY_PREFIX_INDEX_H

#include <balsamport/core/clock.h>

#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

namespace balsamport {

/// @brief A node that is assumed to have a prompt prefix in its cache.
struct PrefixHolder
{
    std::uint32_t node = 0;
    Millis seenAt;

    bool operator==(const PrefixHolder &) const = default;
};

/// @brief The nodes on which prompt prefixes were last cached. Only a hint: engines report late and
/// with gaps, so an entry may be wrong, and expires after `lifetime`. Bounded.
struct PrefixIndex
{
    std::unordered_map<std::uint64_t, std::vector<PrefixHolder>> holders; ///< By prefix hash.
    std::unordered_map<std::uint32_t, std::uint64_t> nextEvent; ///< Expected event number, by node.
    std::size_t capacity = 65'536; ///< Prefixes.
    Millis lifetime{300'000};
};

/// @brief One event of the prefix cache of an engine.
struct CacheEvent
{
    std::uint64_t number = 0; ///< Increases by one with each event of the engine.
    std::uint64_t prefix = 0; ///< Hash of the prefix.
    bool stored = true; ///< False if the prefix was removed.

    bool operator==(const CacheEvent &) const = default;
};

/// @brief Records that a request with a prefix was sent to a node.
void recordPrefix(PrefixIndex &index, std::uint64_t prefix, std::uint32_t node, Millis now);

/// @brief Applies events of one node, oldest first. Events that were applied before are ignored;
/// after a gap in the numbers all entries of the node are removed, since removals may have been
/// missed.
void applyCacheEvents(PrefixIndex &index, std::uint32_t node, const std::vector<CacheEvent> &events,
                      Millis now);

/// @brief Counts the leading prefixes that a node is assumed to have in its cache.
/// @param prefixes hashes of the prompt's prefixes, the shortest first
/// @complexity O(p * h) for p prefixes and h holders of each
[[nodiscard]] std::size_t prefixMatch(const PrefixIndex &index,
                                      const std::vector<std::uint64_t> &prefixes,
                                      std::uint32_t node, Millis now) noexcept;

} // namespace balsamport

#endif
