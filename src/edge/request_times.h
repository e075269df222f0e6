#ifndef BALSAMPORT_EDGE_REQUEST_TIMES_H
#define BALSAMPORT_EDGE_REQUEST_TIMES_H

#include <balsamport/core/clock.h>

#include <algorithm>

namespace balsamport {

/// Shortest remaining time in which a backend server can still respond.
constexpr Millis minUsefulTime{20};
/// Retry-After if no better estimate is known.
constexpr Millis defaultRetryAfter{500};

/// Retry-After while the daemon is stopping: any other daemon accepts the request at once.
constexpr Millis stopRetryAfter{50};

/// @return the remaining time until a moment; 0 once it has passed
inline Millis timeUntil(Millis at, Millis now) noexcept
{
    return std::max(at - now, Millis(0));
}

} // namespace balsamport

#endif
