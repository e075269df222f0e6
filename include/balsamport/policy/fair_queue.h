#ifndef BALSAMPORT_POLICY_FAIR_QUEUE_H
#define BALSAMPORT_POLICY_FAIR_QUEUE_H

#include <cstdint>
#include <map>

/// @file
/// Start-time fair queueing among organisations.
///
/// Answers the load of organisations that compete for an engine: one that sends much more than the
/// others gets no larger share of the grants than they, as long as they wait as well. What nobody
/// else waits for, it gets.

namespace balsamport {

/// @brief Shares of one engine. Cost is counted in tokens.
struct FairQueue
{
    double virtualTime = 0; ///< Start tag of the latest grant.
    /// Finish tag of the latest grant of each organisation, if above the virtual time.
    std::map<std::uint64_t, double> finishTags;

    bool operator==(const FairQueue &) const = default;
};

/// @return the start tag of an organisation's next request; the lowest tag goes first
[[nodiscard]] double startTag(const FairQueue &queue, std::uint64_t organisation);

/// @brief Records a grant.
void recordGrant(FairQueue &queue, std::uint64_t organisation, double cost);

} // namespace balsamport

#endif
