#ifndef BALSAMPORT_EDGE_SCHEDULER_PREFILL_SCHEDULING_H
#define BALSAMPORT_EDGE_SCHEDULER_PREFILL_SCHEDULING_H

#include <balsamport/edge/engine_scheduler.h>

#include <optional>
#include <vector>

// When a prompt may be handed over, so that running streams do not pause for too long.

namespace balsamport {

/// Reading times of a prompt's pieces, one for each step.
[[nodiscard]] std::vector<Millis> prefillChunks(const EngineScheduler &state, std::uint32_t tokens,
                                                const SchedulerLimits &limits);

/// @brief Says whether so much of the handed prompts has been read that the next may come.
[[nodiscard]] bool canSchedulePrefill(const EngineScheduler &state, const SchedulerLimits &limits,
                                      Millis now);

/// When a prompt can be handed over without making the running streams pause for too long: now, or
/// after some steps without prompts.
[[nodiscard]] Millis earliestPrefillStart(const EngineScheduler &state,
                                          const SchedulerLimits &limits,
                                          const std::vector<Millis> &pieces, Millis now);

} // namespace balsamport

#endif
