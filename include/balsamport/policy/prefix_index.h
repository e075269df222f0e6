#ifndef BALSAMPORT_POLICY_PREFIX_INDEX_H
#define BALSAMPORT_POLICY_PREFIX_INDEX_H

#include <balsamport/core/clock.h>

#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

namespace balsamport {

/// @brief A node that is believed to hold a prompt prefix in its cache.
struct PrefixHolder
{
    std::uint32_t node = 0;
    Millis seenAt;

    bool operator==(const PrefixHolder &) const = default;
};

/// @brief Where prompt prefixes were last seen. A hint only: engines report late and with gaps, so
/// an entry may be wrong and fades by itself. Bounded.
struct PrefixIndex
{
    std::unordered_map<std::uint64_t, std::vector<PrefixHolder>> holders; ///< By prefix hash.
    std::unordered_map<std::uint32_t, std::uint64_t> nextEvent; ///< By node.
    std::size_t capacity = 65'536;
    Millis lifetime{300'000};
};

/// @brief One event of an engine's cache.
struct CacheEvent
{
    std::uint64_t number = 0; ///< Rises by one with each event of the engine.
    std::uint64_t prefix = 0;
    bool stored = true; ///< false: removed.

    bool operator==(const CacheEvent &) const = default;
};

/// @brief Records that a prefix was sent to a node.
void recordPrefix(PrefixIndex &index, std::uint64_t prefix, std::uint32_t node, Millis now);

/// @brief Takes in events of one node, oldest first. Known numbers are ignored; after a gap all
/// that is known of the node is forgotten, since removals may have been missed.
void applyCacheEvents(PrefixIndex &index, std::uint32_t node, const std::vector<CacheEvent> &events,
                      Millis now);

/// @brief Counts how many leading prefixes a node is believed to hold.
/// @param prefixes hashes of the prompt's prefixes, the shortest first
/// @complexity O(p * h) for p prefixes and h holders of each
[[nodiscard]] std::size_t prefixMatch(const PrefixIndex &index,
                                      const std::vector<std::uint64_t> &prefixes,
                                      std::uint32_t node, Millis now) noexcept;

} // namespace balsamport

#endif
