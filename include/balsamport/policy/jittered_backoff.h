#ifndef BALSAMPORT_POLICY_JITTERED_BACKOFF_H
#define BALSAMPORT_POLICY_JITTERED_BACKOFF_H

#include <balsamport/core/clock.h>

#include <algorithm>
#include <cstdint>

namespace balsamport {

/// @brief Exponential backoff with full jitter.
struct JitteredBackoff
{
    Millis first{100};
    Millis longest{5'000};
    std::uint32_t failures = 0; ///< In a row.

    bool operator==(const JitteredBackoff &) const = default;
};

/// @brief Gives the wait before the next try.
/// @param random any random number
/// @return from half of the doubled wait to the whole of it
[[nodiscard]] inline Millis waitAfterFailures(const JitteredBackoff &backoff,
                                              std::uint64_t random) noexcept
{
    constexpr std::uint32_t mostDoublings = 20;
    if (backoff.failures == 0) {
        return Millis();
    }
    const std::uint32_t doublings = std::min(backoff.failures - 1, mostDoublings);
    const Millis full = std::min(backoff.first * (std::int64_t{1} << doublings), backoff.longest);
    const std::int64_t half = std::max<std::int64_t>(full.count() / 2, 1);
    return Millis(half + static_cast<std::int64_t>(random % static_cast<std::uint64_t>(half + 1)));
}

} // namespace balsamport

#endif
