#ifndef BALSAMPORT_POLICY_RETRY_H
#define BALSAMPORT_POLICY_RETRY_H

#include <balsamport/core/clock.h>
#include <balsamport/core/error.h>

#include <cstdint>
#include <optional>

namespace balsamport {

/// @brief Limits retries to a share of recent successes: a token bucket that successes fill.
struct RetryBudget
{
    static constexpr std::int64_t tokensPerRetry = 100;
    static constexpr std::int64_t maxTokens = 100 * tokensPerRetry;

    std::int64_t tokens = 10 * tokensPerRetry; ///< In hundredths of a retry.

    bool operator==(const RetryBudget &) const = default;
};

/// @brief Adds the tokens of one request that succeeded.
/// @param retryPercent retries allowed for each hundred successes
[[nodiscard]] RetryBudget afterSuccess(RetryBudget budget, std::uint32_t retryPercent) noexcept;

/// @return true where one more retry is allowed
[[nodiscard]] bool canRetry(const RetryBudget &budget) noexcept;

/// @brief Takes the tokens of one retry. Call only after canRetry().
[[nodiscard]] RetryBudget afterRetry(RetryBudget budget) noexcept;

/// @brief How an attempt failed.
struct FailedAttempt
{
    ErrorCode failure = ErrorCode::Internal;
    bool repeatable = false;
    bool sent = true; ///< A byte may have been sent; false only where certainly none was.
    bool responseStarted = false; ///< The caller has received a part of the response.
    bool resumable = false; ///< The backend server may still hold the stream.
    std::uint32_t attempts = 1; ///< Attempts so far, including this one.
    Millis now; ///< Monotonic.
    Millis deadline; ///< Of the request; for a claimed one, the dispatch deadline.

    bool operator==(const FailedAttempt &) const = default;
};

/// @brief The action after a failed attempt.
enum class RetryAction : std::uint8_t {
    Fail,
    Resume, ///< Request the rest of the stream from the same backend server.
    TryAnother, ///< Start again on another backend server after the delay.
};

struct RetryDecision
{
    RetryAction action = RetryAction::Fail;
    Millis delay{0};
    std::optional<ErrorCode> failure; ///< The error for the caller after Fail.

    bool operator==(const RetryDecision &) const = default;
};

/// Largest number of attempts of one request, including the first.
constexpr std::uint32_t maxAttempts = 4;

/// @brief Decides whether, how and when to retry. A request that is not repeatable is retried only
/// where no byte of it was sent.
/// @param random uniform in [0, 1), for the jitter
/// @complexity constant; never throws
[[nodiscard]] RetryDecision decideRetry(const FailedAttempt &failed, const RetryBudget &budget,
                                        double random) noexcept;

/// @brief Computes the wait before a retry: exponential, between half of its bound and all of it.
/// @param attempts attempts so far, from 1
/// @param random uniform in [0, 1)
[[nodiscard]] Millis retryBackoff(std::uint32_t attempts, double random) noexcept;

/// @return true where another backend server may succeed
[[nodiscard]] bool isWorthRetrying(ErrorCode failure) noexcept;

} // namespace balsamport

#endif
