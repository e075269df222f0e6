#include <balsamport/policy/retry.h>

#include <algorithm>
#include <cmath>

namespace balsamport {

namespace {

constexpr Millis initialBackoff{25};
constexpr Millis maxBackoff{1'000};

RetryDecision failWith(ErrorCode failure) noexcept
{
    return RetryDecision{RetryAction::Fail, Millis(0), failure};
}

} // namespace

RetryBudget afterSuccess(RetryBudget budget, std::uint32_t retryPercent) noexcept
{
    budget.tokens = std::min(budget.tokens + static_cast<std::int64_t>(retryPercent),
                             RetryBudget::maxTokens);
    return budget;
}

bool canRetry(const RetryBudget &budget) noexcept
{
    return budget.tokens >= RetryBudget::tokensPerRetry;
}

RetryBudget afterRetry(RetryBudget budget) noexcept
{
    budget.tokens = std::max<std::int64_t>(0, budget.tokens - RetryBudget::tokensPerRetry);
    return budget;
}

Millis retryBackoff(std::uint32_t attempts, double random) noexcept
{
    constexpr std::uint32_t maxDoublings = 10;
    const std::uint32_t doublings = std::min(attempts > 0 ? attempts - 1 : 0, maxDoublings);
    const Millis bound = std::min(initialBackoff * (std::int64_t{1} << doublings), maxBackoff);
    const double half = static_cast<double>(bound.count()) / 2;
    return Millis(static_cast<std::int64_t>(std::llround(half + half * random)));
}

bool isWorthRetrying(ErrorCode failure) noexcept
{
    switch (failure) {
    case ErrorCode::ConnectFailed:
    case ErrorCode::ConnectionBroken:
    case ErrorCode::Timeout:
    case ErrorCode::BadResponse:
    case ErrorCode::MalformedResponse:
    case ErrorCode::BackendServerCrashed:
    case ErrorCode::AdapterNotLoaded:
    case ErrorCode::WrongVersion:
    case ErrorCode::BackendServerError:
    case ErrorCode::AnswerIncomplete:
    case ErrorCode::GrantExpired:
    case ErrorCode::GrantUnknown:
    case ErrorCode::LoadFailed:
    case ErrorCode::CircuitOpen:
    case ErrorCode::NotOwner:
        return true;
    default:
        return false;
    }
}

RetryDecision decideRetry(const FailedAttempt &failed, const RetryBudget &budget,
                          double random) noexcept
{
    if (!failed.repeatable && failed.sent) {
        return failWith(failed.failure);
    }
    if (!isWorthRetrying(failed.failure) || failed.attempts >= maxAttempts) {
        return failWith(failed.failure);
    }
    if (failed.now >= failed.deadline) {
        return failWith(ErrorCode::DeadlineExceeded);
    }
    if (!canRetry(budget)) {
        return failWith(ErrorCode::RetryBudgetSpent);
    }
    if (failed.resumable && failed.responseStarted
        && failed.failure == ErrorCode::ConnectionBroken) {
        return RetryDecision{RetryAction::Resume, Millis(0), std::nullopt};
    }
    const Millis delay = retryBackoff(failed.attempts, random);
    if (failed.now + delay >= failed.deadline) {
        return failWith(ErrorCode::DeadlineExceeded);
    }
    return RetryDecision{RetryAction::TryAnother, delay, std::nullopt};
}

} // namespace balsamport
