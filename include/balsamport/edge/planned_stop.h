#ifndef BALSAMPORT_EDGE_PLANNED_STOP_H
#define BALSAMPORT_EDGE_PLANNED_STOP_H

#include <balsamport/core/clock.h>

#include <array>
#include <cstddef>
#include <optional>

namespace balsamport {

/// @brief The moments of a planned stop.
struct StopPlan
{
    Millis startedAt; ///< The stop signal.
    Millis admitUntil; ///< Callers may still come; later ones are refused at once.
    Millis answerAt; ///< What is in progress then gets its final response.
    Millis exitAt; ///< The process ends at the latest, before the platform kills it.
    Millis idleTime; ///< The process ends earlier once it was idle for this long.

    bool operator==(const StopPlan &) const = default;
};

/// @brief Plans a stop.
/// @param grace time from the stop signal to the kill
/// @param balancerDrainTime time after which the load balancer sends no more callers
[[nodiscard]] StopPlan planStop(Millis grace, Millis balancerDrainTime, Millis now) noexcept;

/// @return true where a request that is sent now is expected to end before its final response is
/// due
/// @param expected time that such requests take; where it isn't known, the deadline decides
[[nodiscard]] bool canEndInTime(const StopPlan &plan, std::optional<Millis> expected,
                                Millis deadlineAt, Millis now) noexcept;

/// @brief The durations of the newest requests of one kind, from the send to the end.
struct RecentDurations
{
    static constexpr std::size_t capacity = 64;

    std::array<Millis, capacity> ring{};
    std::size_t recorded = 0; ///< Since the start; the newest `capacity` of them are kept.

    bool operator==(const RecentDurations &) const = default;
};

/// @brief Records the duration of a request.
/// @complexity O(1)
void recordDuration(RecentDurations &durations, Millis duration) noexcept;

/// @return the time within which nearly all requests of the kind ended; nothing while too few of
/// them were recorded
/// @complexity O(n log n) for n kept durations
[[nodiscard]] std::optional<Millis> expectedDuration(const RecentDurations &durations);

} // namespace balsamport

#endif
