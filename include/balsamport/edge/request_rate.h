#ifndef BALSAMPORT_EDGE_REQUEST_RATE_H
#define BALSAMPORT_EDGE_REQUEST_RATE_H

#include <balsamport/core/clock.h>

#include <cmath>

namespace balsamport {

/// @brief Rate of requests, as an exponentially weighted average.
struct RequestRate
{
    double perSecond = 0; ///< At the time of the newest request.
    Millis at; ///< Time of the newest request.

    bool operator==(const RequestRate &) const = default;
};

/// Time constant of the average. Source: on the users' days the popularity of adapters
/// changes within about 8 s.
constexpr double rateTimeConstantSeconds = 4.0;

/// @return the rate at a time, in requests a second, decayed since the newest request
[[nodiscard]] inline double rateAt(const RequestRate &rate, Millis now) noexcept
{
    constexpr double millisPerSecond = 1000.0;
    const double seconds = static_cast<double>((now - rate.at).count()) / millisPerSecond;
    return rate.perSecond * std::exp(-seconds / rateTimeConstantSeconds);
}

/// @brief Adds a request to the rate.
inline void countRequest(RequestRate &rate, Millis now) noexcept
{
    rate.perSecond = rateAt(rate, now) + 1.0 / rateTimeConstantSeconds;
    rate.at = now;
}

/// @brief Work a second, as an exponentially weighted average.
struct WorkRate
{
    double perSecond = 0; ///< At the time of the newest work.
    Millis at;

    bool operator==(const WorkRate &) const = default;
};

/// Time constant of the work of an engine: a burst of requests shows within a second.
constexpr double workTimeConstantSeconds = 1.5;

/// @return the rate at a time, decayed since the newest work
[[nodiscard]] inline double rateAt(const WorkRate &rate, Millis now) noexcept
{
    constexpr double millisPerSecond = 1000.0;
    const double seconds = static_cast<double>((now - rate.at).count()) / millisPerSecond;
    return rate.perSecond * std::exp(-seconds / workTimeConstantSeconds);
}

/// @brief Adds work to the rate.
inline void addWork(WorkRate &rate, double work, Millis now) noexcept
{
    rate.perSecond = rateAt(rate, now) + work / workTimeConstantSeconds;
    rate.at = now;
}

} // namespace balsamport

#endif
