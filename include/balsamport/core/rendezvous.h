#ifndef BALSAMPORT_CORE_RENDEZVOUS_H
#define BALSAMPORT_CORE_RENDEZVOUS_H

#include <balsamport/core/hash.h>

#include <algorithm>
#include <optional>
#include <string_view>
#include <vector>

namespace balsamport {

/// @brief Ranks nodes for a key by rendezvous hashing: every VM with the same nodes ranks alike,
/// and a node that goes moves only its own keys.
/// @param key what is placed, for example a backend server's name
/// @param nodes ids with a str() member; the order does not matter
/// @return the nodes, first choice first; ties are broken by name
/// @complexity O(n log n) for n nodes
/// Example: `const auto ranked = rendezvousRank(server.str(), vms);`
template<typename Id>
[[nodiscard]] std::vector<Id> rendezvousRank(std::string_view key, std::vector<Id> nodes)
{
    const std::uint64_t keyHash = hash64(key);
    const auto score
            = [keyHash](const Id &node) { return rendezvousScore(keyHash, hash64(node.str())); };
    std::sort(nodes.begin(), nodes.end(), [&score](const Id &a, const Id &b) {
        const std::uint64_t scoreA = score(a);
        const std::uint64_t scoreB = score(b);
        return scoreA != scoreB ? scoreA > scoreB : a < b;
    });
    return nodes;
}

/// @brief Gives the first choice of rendezvousRank.
/// @return nothing where there are no nodes
/// @complexity O(n)
template<typename Id>
[[nodiscard]] std::optional<Id> rendezvousFirst(std::string_view key, const std::vector<Id> &nodes)
{
    const std::uint64_t keyHash = hash64(key);
    const Id *best = nullptr;
    std::uint64_t bestScore = 0;
    for (const Id &node : nodes) {
        const std::uint64_t score = rendezvousScore(keyHash, hash64(node.str()));
        if (best == nullptr || score > bestScore || (score == bestScore && node < *best)) {
            best = &node;
            bestScore = score;
        }
    }
    if (best == nullptr) {
        return std::nullopt;
    }
    return *best;
}

} // namespace balsamport

#endif
