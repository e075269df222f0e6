#ifndef BALSAMPORT_EDGE_REQUEST_RATE_H
#define BALSAMPORT_EDGE_REQUEST_RATE_H

#include <balsamport/core/clock.h>

#include <cmath>

namespace balsamport {

/// @brief Requests a second, weighted to the newest.
struct RequestRate
{
    double perSecond = 0;
    Millis at; ///< Of the newest request.

    bool operator==(const RequestRate &) const = default;
};

/// Time constant of a rate. Source: popularity moves within some 8 s on the users' days.
constexpr double rateSeconds = 4.0;

/// @return the rate at a moment, without a request that comes now
[[nodiscard]] inline double rateAt(const RequestRate &rate, Millis now) noexcept
{
    constexpr double millisPerSecond = 1000.0;
    const double seconds = static_cast<double>((now - rate.at).count()) / millisPerSecond;
    return rate.perSecond * std::exp(-seconds / rateSeconds);
}

/// @brief Counts a request.
inline void countRequest(RequestRate &rate, Millis now) noexcept
{
    rate.perSecond = rateAt(rate, now) + 1.0 / rateSeconds;
    rate.at = now;
}

} // namespace balsamport

#endif
