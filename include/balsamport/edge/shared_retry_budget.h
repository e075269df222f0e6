#ifndef BALSAMPORT_EDGE_SHARED_RETRY_BUDGET_H
#define BALSAMPORT_EDGE_SHARED_RETRY_BUDGET_H

#include <balsamport/core/clock.h>

#include <array>
#include <cstddef>
#include <cstdint>

namespace balsamport {

/// @brief The limit on second sends that all daemons share, for one service.
struct RetryBudgetLimits
{
    double ratio = 0.2; ///< Second sends for each request of callers.
    double slack = 56; ///< Second sends allowed besides, over all daemons.
    Millis window{10'000}; ///< Any span of this length counts.

    bool operator==(const RetryBudgetLimits &) const = default;
};

/// @brief This daemon's share: its own requests and second sends in the last window.
class SharedRetryBudget
{
public:
    /// @brief Counts a request of a caller.
    void recordRequest(const RetryBudgetLimits &limits, Millis now);

    /// @brief Takes one second send.
    /// @param daemons that share the slack, this one included
    /// @return false where the share is used up; then nothing is taken
    bool tryTake(const RetryBudgetLimits &limits, std::size_t daemons, Millis now);

private:
    static constexpr std::size_t buckets = 10;
    /// Part of the limit that is used; windows here and at the judge do not begin together.
    static constexpr double usableFraction = 0.75;

    struct Bucket
    {
        std::int64_t index = -1;
        std::uint32_t requests = 0;
        std::uint32_t repeats = 0;
    };

    Bucket &bucketAt(const RetryBudgetLimits &limits, Millis now);

    std::array<Bucket, buckets> ring{};
};

} // namespace balsamport

#endif
