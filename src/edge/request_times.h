#ifndef BALSAMPORT_EDGE_REQUEST_TIMES_H
#define BALSAMPORT_EDGE_REQUEST_TIMES_H

#include <balsamport/core/clock.h>

#include <algorithm>

namespace balsamport {

/// Shortest time in which a backend server can still answer.
constexpr Millis leastUsefulTime{20};
/// Retry-After where nothing better is known.
constexpr Millis defaultRetryAfter{500};

/// @return the time until a moment; 0 once it has passed
inline Millis timeUntil(Millis at, Millis now) noexcept
{
    return std::max(at - now, Millis(0));
}

} // namespace balsamport

#endif
