#ifndef BALSAMPORT_CORE_HASH_H
#define BALSAMPORT_CORE_HASH_H

#include <balsamport/core/ids.h>

#include <cstdint>
#include <string_view>

namespace balsamport {

/// @brief Hashes bytes with XXH3 (64 bits). The result is the same on every VM and in every
/// version.
/// @complexity linear in the number of bytes
[[nodiscard]] std::uint64_t hash64(std::string_view bytes, std::uint64_t seed = 0) noexcept;

/// @brief Combines two hashes; not commutative.
[[nodiscard]] std::uint64_t mixHash(std::uint64_t a, std::uint64_t b) noexcept;

/// @brief Hashes an adapter version without building its string form.
[[nodiscard]] std::uint64_t hashOf(const AdapterRef &ref) noexcept;

/// @brief Computes the score of a node for a key in rendezvous hashing; the highest score wins.
/// @param keyHash hash64() of the key
/// @param nodeHash hash64() of the node's name
[[nodiscard]] inline std::uint64_t rendezvousScore(std::uint64_t keyHash,
                                                   std::uint64_t nodeHash) noexcept
{
    return mixHash(keyHash, nodeHash);
}

} // namespace balsamport

#endif
