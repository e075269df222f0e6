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
    // A probe that was never reported blocks the circuit no longer than one pause.
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
        const Millis pause = CircuitBreaker::initialOpenTime * (std::int64_t{1} << doublings);
        breaker.openUntil = now + std::min(pause, CircuitBreaker::maxOpenTime);
    }
    return breaker;
}

} // namespace balsamport
