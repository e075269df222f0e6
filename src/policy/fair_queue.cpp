#include <balsamport/policy/fair_queue.h>

#include <algorithm>

namespace balsamport {

double startTag(const FairQueue &queue, std::uint64_t organisation)
{
    const auto known = queue.finishTags.find(organisation);
    return known == queue.finishTags.end() ? queue.virtualTime
                                           : std::max(queue.virtualTime, known->second);
}

void recordGrant(FairQueue &queue, std::uint64_t organisation, double cost)
{
    const double start = startTag(queue, organisation);
    queue.virtualTime = std::max(queue.virtualTime, start);
    queue.finishTags[organisation] = start + cost;
    std::erase_if(queue.finishTags,
                  [&queue](const auto &entry) { return entry.second <= queue.virtualTime; });
}

} // namespace balsamport
