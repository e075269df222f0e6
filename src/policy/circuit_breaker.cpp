#include <balsamport/policy/circuit_breaker.h>

#include <algorithm>

namespace balsamport {

namespace {

bool isOpen(const CircuitBreaker &breaker) noexcept
{
    return breaker.failures >= CircuitBreaker::failuresToOpen;
}

} // namespace

bool isRequestAllowed(const CircuitBreaker &breaker, Millis now) noexcept
{
    if (!isOpen(breaker)) {
        return true;
    }
    // A probe whose result is never recorded keeps the circuit open for maxOpenTime at most.
    return now >= breaker.openUntil;
}

CircuitBreaker afterRequest(CircuitBreaker breaker, Millis now) noexcept
{
    if (isOpen(breaker)) {
        breaker.openUntil = now + CircuitBreaker::maxOpenTime;
    }
    return breaker;
}

CircuitBreaker afterResponse(CircuitBreaker breaker) noexcept
{
    breaker = CircuitBreaker{};
    return breaker;
}

CircuitBreaker afterFailure(CircuitBreaker breaker, Millis now) noexcept
{
    constexpr std::uint32_t maxDoublings = 8;
    breaker.failures
            = std::min(breaker.failures + 1, CircuitBreaker::failuresToOpen + maxDoublings);
    if (isOpen(breaker)) {
        const std::uint32_t doublings = breaker.failures - CircuitBreaker::failuresToOpen;
        const Millis openTime = CircuitBreaker::initialOpenTime * (std::int64_t{1} << doublings);
        breaker.openUntil = now + std::min(openTime, CircuitBreaker::maxOpenTime);
    }
    return breaker;
}

} // namespace balsamport
