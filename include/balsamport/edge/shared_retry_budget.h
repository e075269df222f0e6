#ifndef BALSAMPORT_EDGE_SHARED_RETRY_BUDGET_H
#define BALSAMPORT_EDGE_SHARED_RETRY_BUDGET_H

#include <balsamport/core/clock.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace balsamport {

/// @brief The limit on retries for one service, shared by all daemons.
struct RetryBudgetLimits
{
    double ratio = 0.2; ///< Retries for each request of callers.
    double slack = 56; ///< Additional retries, over all daemons.
    Millis window{10'000}; ///< The limit applies to any time span of this length.

    bool operator==(const RetryBudgetLimits &) const = default;
};

/// @brief This daemon's share of the budget: its requests and retries in the last window.
///
/// The sum over all daemons stays within the limit if each of them divides the slack by at least
/// the number of daemons that are running.
class SharedRetryBudget
{
public:
    /// @brief For a daemon that has had no previous run.
    SharedRetryBudget() = default;
    /// @param daemonStartedAt when this daemon started: its previous run may have used its share
    /// until then
    explicit SharedRetryBudget(Millis daemonStartedAt)
        : startedAt(daemonStartedAt)
    { }

    /// @brief Records a request of a caller.
    void recordRequest(const RetryBudgetLimits &limits, Millis now);

    /// @brief Takes one retry from the budget.
    /// @param daemons number of daemons that share the slack, this one included; 0 where it is
    /// unknown: the slack isn't used then
    /// @return false if the share is exhausted; nothing is taken then
    bool tryTake(const RetryBudgetLimits &limits, std::size_t daemons, Millis now);

private:
    static constexpr std::size_t bucketsPerWindow = 10;
    /// The current bucket is incomplete: with one more, the retries of a whole window count.
    static constexpr std::size_t bucketCount = bucketsPerWindow + 1;
    /// Fraction of the limit that is used, because the windows of whoever checks the limit begin at
    /// other times than those here.
    static constexpr double usableFraction = 0.75;
    /// The same in the first window after the start: the previous run may have used its fraction in
    /// that window.
    static constexpr double startFraction = 1 - usableFraction;

    struct Bucket
    {
        std::int64_t index = -1;
        std::uint32_t requests = 0;
        std::uint32_t retries = 0;
    };

    Bucket &bucketAt(const RetryBudgetLimits &limits, Millis now);

    std::optional<Millis> startedAt; ///< Empty without a previous run.
    std::array<Bucket, bucketCount> ring{};
};

} // namespace balsamport

#endif
