#ifndef BALSAMPORT_EDGE_SCHEDULER_PREFILL_SCHEDULING_H
#define BALSAMPORT_EDGE_SCHEDULER_PREFILL_SCHEDULING_H

#include <balsamport/edge/engine_scheduler.h>

#include <optional>
#include <vector>

// Decides when a prompt may be handed over to the engine so that token gaps of running streams stay
// within what their callers allow.

namespace balsamport {

/// @return prefill times of a prompt's chunks, one for each decode step
[[nodiscard]] std::vector<Millis> prefillChunks(const EngineScheduler &state, std::uint32_t tokens,
                                                const SchedulerLimits &limits);

/// @return true where the granted prefills are so far complete that the next may be handed over
[[nodiscard]] bool canSchedulePrefill(const EngineScheduler &state, const SchedulerLimits &limits,
                                      Millis now);

/// @return when a prompt can be handed over without token gaps beyond the allowed one: now, or
/// after some decode steps without prefill
[[nodiscard]] Millis earliestPrefillStart(const EngineScheduler &state,
                                          const SchedulerLimits &limits,
                                          const std::vector<Millis> &chunks, Millis now);

} // namespace balsamport

#endif
