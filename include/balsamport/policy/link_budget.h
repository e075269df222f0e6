#ifndef BALSAMPORT_POLICY_LINK_BUDGET_H
#define BALSAMPORT_POLICY_LINK_BUDGET_H

#include <balsamport/core/clock.h>

#include <cstdint>

namespace balsamport {

/// Share of the fleet's link budget that is reserved for adapter loads, in percent; the rest is for
/// requests.
constexpr std::uint32_t linkLoadPercent = 80;

/// @brief One share of the bytes that may cross between regions: a token bucket.
struct LinkBudget
{
    double bytesPerSecond = 0;
    double capacity = 0; ///< Largest number of unused bytes that accumulate.
    double left = 0;
    Millis filledAt;

    bool operator==(const LinkBudget &) const = default;
};

/// @brief Sets the share. The bytes that are left stay available, up to the new capacity; a budget
/// without a share starts with the bytes of one second.
/// @param fleetBytesPerSecond rate of all VMs together
/// @param vmCount number of VMs that share the rate
void setLinkShare(LinkBudget &budget, std::uint64_t fleetBytesPerSecond, std::uint32_t vmCount,
                  Millis now) noexcept;

/// @brief Takes bytes from the budget.
/// @return whether the budget had them; otherwise it is unchanged
[[nodiscard]] bool takeLinkBytes(LinkBudget &budget, std::uint64_t bytes, Millis now) noexcept;

/// @return the number of bytes that may cross now
[[nodiscard]] std::uint64_t linkBytesLeft(const LinkBudget &budget, Millis now) noexcept;

/// @return the time until the budget has this number of bytes; 0 if it has them now, or has no rate
[[nodiscard]] Millis linkWait(const LinkBudget &budget, std::uint64_t bytes, Millis now) noexcept;

} // namespace balsamport

#endif
