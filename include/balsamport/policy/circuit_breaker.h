#ifndef BALSAMPORT_POLICY_CIRCUIT_BREAKER_H
#define BALSAMPORT_POLICY_CIRCUIT_BREAKER_H

#include <balsamport/core/clock.h>

#include <cstdint>

namespace balsamport {

/// @brief Keeps requests away from a backend server that fails time after time.
///
/// Opens after `failuresToOpen` failures in a row; after a pause that doubles with every further
/// failure it lets one request through as a probe.
struct CircuitBreaker
{
    static constexpr std::uint32_t failuresToOpen = 3;
    static constexpr Millis firstPause{500};
    static constexpr Millis longestPause{10'000};

    std::uint32_t failures = 0; ///< In a row.
    Millis openUntil; ///< Monotonic.

    bool operator==(const CircuitBreaker &) const = default;
};

/// @return true where a request may be sent at `now`
[[nodiscard]] bool mayPass(const CircuitBreaker &breaker, Millis now) noexcept;

/// @brief Notes that a request is sent. Only after mayPass().
[[nodiscard]] CircuitBreaker afterPass(CircuitBreaker breaker, Millis now) noexcept;

/// @brief Notes an answer: closes the circuit.
[[nodiscard]] CircuitBreaker afterAnswer(CircuitBreaker breaker) noexcept;

/// @brief Notes a failure: opens the circuit, or keeps it open for longer.
[[nodiscard]] CircuitBreaker afterFailure(CircuitBreaker breaker, Millis now) noexcept;

} // namespace balsamport

#endif
