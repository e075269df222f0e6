#ifndef BALSAMPORT_EDGE_SCHEDULER_ADAPTER_LOADS_H
#define BALSAMPORT_EDGE_SCHEDULER_ADAPTER_LOADS_H

#include <balsamport/edge/engine_scheduler.h>

#include <optional>
#include <vector>

// Which adapters are loaded and unloaded, and when a load has ended.

namespace balsamport {

/// Expected time until a new adapter gets a place, after those that wait for one already.
[[nodiscard]] Millis placeWaitFor(const EngineScheduler &state, const SchedulerLimits &limits,
                                  const EngineGrantRequest &request);

/// @brief Orders the base model, or asks whether it has been loaded.
[[nodiscard]] std::optional<EngineCommand> modelCommand(EngineScheduler &state, Millis now);

/// Asks again for loads that should have ended, and replaces outdated versions nobody uses.
[[nodiscard]] std::optional<EngineCommand>
maintenanceCommand(const EngineScheduler &state, const AdapterVersions &versions, Millis now);

/// Loads the adapter of the first waiting request that has no place.
[[nodiscard]] std::optional<EngineCommand> loadCommand(const EngineScheduler &state,
                                                       const SchedulerLimits &limits,
                                                       const AdapterVersions &versions);

/// Notes an order in the places, so that a place is taken from the moment the order leaves.
void beginCommand(EngineScheduler &state, const SchedulerLimits &limits,
                  const EngineCommand &command, Millis now);

} // namespace balsamport

#endif
