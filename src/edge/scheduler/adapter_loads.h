#ifndef BALSAMPORT_EDGE_SCHEDULER_ADAPTER_LOADS_H
#define BALSAMPORT_EDGE_SCHEDULER_ADAPTER_LOADS_H

#include <balsamport/edge/engine_scheduler.h>

#include <optional>
#include <vector>

// Chooses commands that load and unload adapters, and applies their outcomes.

namespace balsamport {

/// @return the expected time until a new adapter gets a slot, after the adapters already waiting
[[nodiscard]] Millis expectedSlotWait(const EngineScheduler &state, const SchedulerLimits &limits,
                                      const EngineGrantRequest &request);

/// @return a command that loads the base model, or queries whether the load has ended
[[nodiscard]] std::optional<EngineCommand> modelCommand(EngineScheduler &state, Millis now);

/// @return true while a load or an unload of an adapter is in progress
[[nodiscard]] bool awaitsCompletion(const EngineScheduler &state);

/// @return a query whether a load or an unload has ended, or a load that replaces an outdated
/// version without granted requests
/// @param mayRepeat the query may be sent, which repeats the command
[[nodiscard]] std::optional<EngineCommand> maintenanceCommand(const EngineScheduler &state,
                                                              const AdapterVersions &versions,
                                                              bool mayRepeat, Millis now);

/// @return a load of the first waiting request's missing adapter, or an unload that frees a slot
/// for it
[[nodiscard]] std::optional<EngineCommand> loadCommand(const EngineScheduler &state,
                                                       const SchedulerLimits &limits,
                                                       const AdapterVersions &versions);

/// @brief Replaces an unload that the engine might accept as equal to one of an earlier owner,
/// which waits for requests to end: the engine wouldn't count it, so that the reservation alone,
/// which ends soon, would keep other daemons from sending a command.
/// @return a command that the engine will count; nothing if there is none now
[[nodiscard]] std::optional<EngineCommand> countedCommand(const EngineScheduler &state,
                                                          const EngineCommand &wanted, Millis now);

/// @brief Marks a command as in progress and its slot as taken from the moment it is sent.
void beginCommand(EngineScheduler &state, const SchedulerLimits &limits,
                  const EngineCommand &command, Millis now);

} // namespace balsamport

#endif
