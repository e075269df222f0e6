#include <balsamport/policy/prefix_index.h>

#include <algorithm>

namespace balsamport {

namespace {

constexpr std::size_t maxHolders = 4; ///< Per prefix.

void removeNode(PrefixIndex &index, std::uint32_t node)
{
    for (auto &[prefix, holders] : index.holders) {
        std::erase_if(holders, [node](const PrefixHolder &h) { return h.node == node; });
    }
    std::erase_if(index.holders, [](const auto &entry) { return entry.second.empty(); });
}

void removeHolder(PrefixIndex &index, std::uint64_t prefix, std::uint32_t node)
{
    const auto found = index.holders.find(prefix);
    if (found == index.holders.end()) {
        return;
    }
    std::erase_if(found->second, [node](const PrefixHolder &h) { return h.node == node; });
    if (found->second.empty()) {
        index.holders.erase(found);
    }
}

void removeExpired(PrefixIndex &index, Millis now)
{
    const Millis lifetime = index.lifetime / 2;
    for (auto &[prefix, holders] : index.holders) {
        std::erase_if(holders, [now, lifetime](const PrefixHolder &holder) {
            return now - holder.seenAt > lifetime;
        });
    }
    std::erase_if(index.holders, [](const auto &entry) { return entry.second.empty(); });
    if (index.holders.size() >= index.capacity) {
        index.holders.clear();
    }
}

} // namespace

void recordPrefix(PrefixIndex &index, std::uint64_t prefix, std::uint32_t node, Millis now)
{
    if (index.holders.size() >= index.capacity && !index.holders.contains(prefix)) {
        removeExpired(index, now);
    }
    std::vector<PrefixHolder> &holders = index.holders[prefix];
    for (PrefixHolder &holder : holders) {
        if (holder.node == node) {
            holder.seenAt = now;
            return;
        }
    }
    if (holders.size() >= maxHolders) {
        holders.erase(std::min_element(
                holders.begin(), holders.end(),
                [](const PrefixHolder &a, const PrefixHolder &b) { return a.seenAt < b.seenAt; }));
    }
    holders.push_back({node, now});
}

void applyCacheEvents(PrefixIndex &index, std::uint32_t node, const std::vector<CacheEvent> &events,
                      Millis now)
{
    for (const CacheEvent &event : events) {
        const auto known = index.nextEvent.find(node);
        if (known != index.nextEvent.end() && event.number < known->second) {
            continue;
        }
        if (known != index.nextEvent.end() && event.number > known->second) {
            removeNode(index, node);
        }
        index.nextEvent[node] = event.number + 1;
        if (event.stored) {
            recordPrefix(index, event.prefix, node, now);
        } else {
            removeHolder(index, event.prefix, node);
        }
    }
}

std::size_t prefixMatch(const PrefixIndex &index, const std::vector<std::uint64_t> &prefixes,
                        std::uint32_t node, Millis now) noexcept
{
    std::size_t count = 0;
    for (const std::uint64_t prefix : prefixes) {
        const auto found = index.holders.find(prefix);
        const bool cached = found != index.holders.end()
                && std::any_of(found->second.begin(), found->second.end(),
                               [&index, node, now](const PrefixHolder &holder) {
                                   return holder.node == node
                                           && now - holder.seenAt <= index.lifetime;
                               });
        if (!cached) {
            return count;
        }
        ++count;
    }
    return count;
}

} // namespace balsamport
