#ifndef BALSAMPORT_FILTERS_CRASH_SUSPECTS_H
#define BALSAMPORT_FILTERS_CRASH_SUSPECTS_H

#include <balsamport/filters/filter.h>

namespace balsamport {

/// @brief Holds back requests that were in progress when a backend server crashed.
///
/// A suspected request runs alone, so it may wait until another run of the same request has ended.
/// Fails with Quarantined after two crashes, or with DeadlineExceeded. The verdict is queried again
/// before each retry.
[[nodiscard]] Filter makeCrashSuspectFilter(SuspectSource suspects, TimerSource timer);

} // namespace balsamport

#endif
