#ifndef BALSAMPORT_EDGE_PLANNED_STOP_H
#define BALSAMPORT_EDGE_PLANNED_STOP_H

#include <balsamport/core/clock.h>

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

} // namespace balsamport

#endif
