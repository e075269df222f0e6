#include <balsamport/edge/published.h>

#include <algorithm>
#include <set>

namespace balsamport {

bool isContiguous(const PublishedState &state, std::uint64_t since) noexcept
{
    return since <= state.contentRevision;
}

std::vector<PublishedEntry> mergeEntries(PublishedState &state,
                                         const std::vector<PublishedEntry> &entries)
{
    std::vector<PublishedEntry> changed;
    for (const PublishedEntry &entry : entries) {
        PublishedEntry &held = state.entries[entry.key];
        const bool isNew = held.key.empty();
        if (!isNew && entry.revision <= held.revision) {
            continue;
        }
        const bool isChange = isNew || held.value != entry.value || held.deleted != entry.deleted;
        held = entry;
        state.contentRevision = std::max(state.contentRevision, entry.revision);
        if (isChange) {
            changed.push_back(entry);
        }
    }
    return changed;
}

std::vector<PublishedEntry> replaceEntries(PublishedState &state,
                                           const std::vector<PublishedEntry> &listing,
                                           std::uint64_t revision)
{
    std::set<std::string> listed;
    for (const PublishedEntry &entry : listing) {
        listed.insert(entry.key);
    }
    std::vector<PublishedEntry> entries = listing;
    for (const auto &[key, held] : state.entries) {
        if (!held.deleted && held.revision <= revision && listed.count(key) == 0) {
            entries.push_back(PublishedEntry{key, std::string(), revision, true});
        }
    }
    return mergeEntries(state, entries);
}

std::vector<PublishedEntry> entriesSince(const PublishedState &state, std::uint64_t revision)
{
    std::vector<PublishedEntry> result;
    for (const auto &[key, entry] : state.entries) {
        if (entry.revision > revision) {
            result.push_back(entry);
        }
    }
    return result;
}

} // namespace balsamport
