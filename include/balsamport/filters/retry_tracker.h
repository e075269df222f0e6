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

    /// @brief Decides what follows a failed attempt, and pays for a retry.
    [[nodiscard]] RetryDecision decide(const FailedAttempt &failed);

    /// @brief Notes that a request goes to a backend server.
    void noteSent(const BackendServerId &server, Millis now);

    /// @brief Notes that a backend server gave a whole answer.
    /// @param retryPercent retries allowed for each hundred successes
    void noteSuccess(const BackendServerId &server, std::uint32_t retryPercent);

    void noteFailure(const BackendServerId &server, Millis now);

    /// @return backend servers that should get no request now
    /// @complexity linear in the backend servers that failed lately
    [[nodiscard]] std::vector<BackendServerId> openCircuits(Millis now) const;

private:
    mutable std::mutex mutex;
    std::mt19937_64 random;
    RetryBudget budget;
    std::unordered_map<BackendServerId, CircuitBreaker> failing; ///< Only those with failures.
};

} // namespace balsamport

#endif
