#ifndef BALSAMPORT_TESTS_RATE_LIMIT_CHECK_H
#define BALSAMPORT_TESTS_RATE_LIMIT_CHECK_H

#include <balsamport/core/clock.h>

#include <algorithm>
#include <cstddef>
#include <vector>

namespace balsamport::testing {

/// Span over which the users count the requests that a server with a limit receives.
constexpr Millis limitWindow{4'000};
/// All daemons apply a limit this long after a response first stated it.
constexpr Millis limitNoticeTime{600};

/// @return the most requests that a server with a limit may receive within the window
inline double maxLimitedRequests(double perSecond)
{
    constexpr double tolerance = 1.5;
    constexpr double slack = 5;
    constexpr double windowSeconds = 4.0;
    return tolerance * perSecond * windowSeconds + slack;
}

/// @return the most of the times, in ascending order, that lie within one window from a moment on
inline std::size_t busiestWindow(const std::vector<Millis> &times, Millis from)
{
    std::size_t most = 0;
    for (auto first = std::lower_bound(times.begin(), times.end(), from); first != times.end();
         ++first) {
        const auto last = std::upper_bound(first, times.end(), *first + limitWindow);
        most = std::max(most, static_cast<std::size_t>(last - first));
    }
    return most;
}

} // namespace balsamport::testing

#endif
