#ifndef BALSAMPORT_POLICY_CIRCUIT_BREAKER_H
#define BALSAMPORT_POLICY_CIRCUIT_BREAKER_H

#include <balsamport/core/clock.h>

#include <cstdint>

namespace balsamport {

/// @brief Stops requests to a backend server that fails repeatedly.
///
/// Opens after `failuresToOpen` consecutive failures. After an open time that doubles with every
/// further failure it lets one request through as a probe.
struct CircuitBreaker
{
    static constexpr std::uint32_t failuresToOpen = 3;
    static constexpr Millis initialOpenTime{500};
    static constexpr Millis maxOpenTime{10'000};

    std::uint32_t failures = 0; ///< Consecutive failures.
    Millis openUntil; ///< Monotonic.

    bool operator==(const CircuitBreaker &) const = default;
};

/// @return true where a request may be sent at `now`
[[nodiscard]] bool isRequestAllowed(const CircuitBreaker &breaker, Millis now) noexcept;

/// @brief Records that a request is sent. Call only after isRequestAllowed().
[[nodiscard]] CircuitBreaker afterRequest(CircuitBreaker breaker, Millis now) noexcept;

/// @brief Records a response: closes the circuit.
[[nodiscard]] CircuitBreaker afterResponse(CircuitBreaker breaker) noexcept;

/// @brief Records a failure: opens the circuit or keeps it open for longer.
[[nodiscard]] CircuitBreaker afterFailure(CircuitBreaker breaker, Millis now) noexcept;

} // namespace balsamport

#endif
