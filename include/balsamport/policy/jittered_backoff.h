#ifndef BALSAMPORT_POLICY_JITTERED_BACKOFF_H
#define BALSAMPORT_POLICY_JITTERED_BACKOFF_H

#include <balsamport/core/clock.h>

#include <algorithm>
#include <cstdint>

namespace balsamport {

/// @brief Exponential backoff with jitter.
struct JitteredBackoff
{
    Millis initialWait{100};
    Millis maxWait{5'000};
    std::uint32_t failures = 0; ///< Consecutive failures.

    bool operator==(const JitteredBackoff &) const = default;
};

/// @brief Computes the wait before the next attempt.
/// @param random any random number
/// @return between half of the doubled wait and all of it; at most maxWait; 0 without a failure
[[nodiscard]] inline Millis waitAfterFailures(const JitteredBackoff &backoff,
                                              std::uint64_t random) noexcept
{
    constexpr std::uint32_t maxDoublings = 20;
    if (backoff.failures == 0) {
        return Millis();
    }
    const std::uint32_t doublings = std::min(backoff.failures - 1, maxDoublings);
    const Millis bound
            = std::min(backoff.initialWait * (std::int64_t{1} << doublings), backoff.maxWait);
    const std::int64_t half = std::max<std::int64_t>(bound.count() / 2, 1);
    return Millis(half + static_cast<std::int64_t>(random % static_cast<std::uint64_t>(half + 1)));
}

} // namespace balsamport

#endif
