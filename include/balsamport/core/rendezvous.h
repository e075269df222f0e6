#ifndef BALSAMPORT_CORE_RENDEZVOUS_H
#define BALSAMPORT_CORE_RENDEZVOUS_H

#include <balsamport/core/hash.h>

#include <algorithm>
#include <optional>
#include <string_view>
#include <vector>

namespace balsamport {

/// @brief Ranks nodes for a key by rendezvous hashing. All VMs with the same nodes compute the same
/// ranking, and the removal of a node reassigns only the keys of that node.
/// @param key for example the name of a backend server
/// @param nodes ids with a str() member, in any order
/// @return the nodes by descending score; ties are broken by name
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

/// @return the first node of rendezvousRank(); nothing if there are no nodes
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
