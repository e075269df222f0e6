#ifndef BALSAMPORT_FILTERS_RETRY_TRACKER_H
#define BALSAMPORT_FILTERS_RETRY_TRACKER_H

#include <balsamport/core/ids.h>
#include <balsamport/policy/circuit_breaker.h>
#include <balsamport/policy/retry.h>

#include <mutex>
#include <random>
#include <unordered_map>
#include <vector>

namespace balsamport {

/// @brief The gateway's retry budget and the circuit breakers of its backend servers.
///
/// All functions may be called from any thread.
class RetryTracker
{
public:
    explicit RetryTracker(std::uint64_t seed)
        : random(seed)
    { }

    /// @brief Decides what to do after a failed attempt, and charges a retry to the budget.
    [[nodiscard]] RetryDecision decide(const FailedAttempt &failed);

    /// @brief Records that a request is sent to a backend server.
    /// @param now monotonic
    void recordSent(const BackendServerId &server, Millis now);

    /// @brief Records a complete response of a backend server.
    /// @param retryPercent retries allowed for each hundred successes
    void recordSuccess(const BackendServerId &server, std::uint32_t retryPercent);

    void recordFailure(const BackendServerId &server, Millis now);

    /// @return backend servers that should currently get no request, sorted
    /// @complexity n log n for n backend servers that failed since their last success
    [[nodiscard]] std::vector<BackendServerId> openCircuits(Millis now) const;

private:
    mutable std::mutex mutex;
    std::mt19937_64 random;
    RetryBudget budget;
    /// Breakers of the servers that failed since their last success.
    std::unordered_map<BackendServerId, CircuitBreaker> breakers;
};

} // namespace balsamport

#endif
