#ifndef BALSAMPORT_EDGE_SCHEDULER_ENGINE_ESTIMATES_H
#define BALSAMPORT_EDGE_SCHEDULER_ENGINE_ESTIMATES_H

#include <balsamport/edge/engine_scheduler.h>

#include <optional>
#include <vector>

// Token counts, estimated times and required versions, for the parts of the scheduler.

namespace balsamport {

/// @return the number of tokens of a prompt
[[nodiscard]] std::uint32_t totalTokens(const EngineGrantRequest &request);

/// @return tokens to prefill: the first part that isn't in the prefix cache and all after it
[[nodiscard]] std::uint32_t uncachedTokens(const EngineScheduler &state,
                                           const EngineGrantRequest &request);

/// @return a time multiplied by a factor, rounded up to whole milliseconds
[[nodiscard]] Millis scaled(Millis time, double factor);

/// @return the time of one decode step without prefill on this engine
[[nodiscard]] Millis engineDecodeStepTime(const EngineScheduler &state,
                                          const SchedulerLimits &limits);

/// @param tokens that aren't in the prefix cache
/// @return the prefill time on this engine
[[nodiscard]] Millis enginePrefillTime(const EngineScheduler &state, std::uint32_t tokens,
                                       const SchedulerLimits &limits);

/// @return the time from a grant to the first chunk where no other prefill is queued
[[nodiscard]] Millis firstTokenTime(const EngineScheduler &state, std::uint32_t tokens,
                                    const SchedulerLimits &limits);

/// @return true where the adapter is assumed in host memory, so that it loads fast
[[nodiscard]] bool isHostCached(const EngineScheduler &state, const AdapterId &adapter);

/// @return the expected time of a load, from the host cache or the store
[[nodiscard]] Millis loadTime(const EngineScheduler &state, const SchedulerLimits &limits,
                              const AdapterId &adapter);

/// @return the newest declared version of an adapter; 0 where none is declared
[[nodiscard]] AdapterVersion requiredVersion(const EngineScheduler &state, const AdapterId &adapter,
                                             const AdapterVersions &versions);

/// @return true where a waiting request needs the adapter
[[nodiscard]] bool hasWaitingRequest(const EngineScheduler &state, const AdapterId &adapter);

/// @return the number of granted requests without a first chunk
[[nodiscard]] std::uint32_t unstartedGrants(const EngineScheduler &state);

} // namespace balsamport

#endif
