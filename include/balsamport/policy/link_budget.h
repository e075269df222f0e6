#ifndef BALSAMPORT_POLICY_LINK_BUDGET_H
#define BALSAMPORT_POLICY_LINK_BUDGET_H

#include <balsamport/core/clock.h>

#include <cstdint>

namespace balsamport {

/// Part of the fleet's budget that is for adapters' loads; the rest is for requests.
constexpr std::uint32_t linkLoadPercent = 80;

/// @brief One sharer's part of the bytes that may cross between regions: a token bucket.
struct LinkBudget
{
    double bytesPerSecond = 0;
    double capacity = 0; ///< Bytes that may gather unused.
    double left = 0;
    Millis filledAt;

    bool operator==(const LinkBudget &) const = default;
};

/// @brief Sets the share; what is left is kept, within the new capacity.
/// @param fleetBytesPerSecond for all VMs together
/// @param sharers how many VMs share it
void setLinkShare(LinkBudget &budget, std::uint64_t fleetBytesPerSecond, std::uint32_t sharers,
                  Millis now) noexcept;

/// @brief Takes bytes from the budget.
/// @return whether they were there; nothing is taken otherwise
[[nodiscard]] bool takeLinkBytes(LinkBudget &budget, std::uint64_t bytes, Millis now) noexcept;

/// @return bytes that may cross now
[[nodiscard]] std::uint64_t linkBytesLeft(const LinkBudget &budget, Millis now) noexcept;

/// @return how long until so many bytes are there; 0 where they are
[[nodiscard]] Millis linkWait(const LinkBudget &budget, std::uint64_t bytes, Millis now) noexcept;

} // namespace balsamport

#endif
