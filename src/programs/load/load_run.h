#ifndef BALSAMPORT_LOAD_RUN_H
#define BALSAMPORT_LOAD_RUN_H

#include "load_settings.h"

#include <balsamport/tools/load_report.h>

namespace balsamport {

/// @brief Sends the planned requests at their times, independently of earlier responses (an open
/// loop), waits for all responses and reads the ledgers.
///
/// Durations count from the moment at which a request was due to be sent, so that a sender that
/// falls behind shows as latency (no coordinated omission).
[[nodiscard]] LoadReport runLoad(const LoadSettings &settings);

} // namespace balsamport

#endif
