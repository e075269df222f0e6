#ifndef BALSAMPORT_FILTERS_SUSPICION_H
#define BALSAMPORT_FILTERS_SUSPICION_H

#include <balsamport/filters/filter.h>

namespace balsamport {

/// @brief Holds back requests that were in progress when a backend server died.
///
/// One that is suspected runs alone, so it may wait until another run of it has ended. Fails with
/// Quarantined after two crashes, or with DeadlineExceeded. Asked again before each retry.
[[nodiscard]] Filter makeSuspicionFilter(SuspectSource suspects, TimerSource timer);

} // namespace balsamport

#endif
