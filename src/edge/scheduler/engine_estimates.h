#ifndef BALSAMPORT_EDGE_SCHEDULER_ENGINE_ESTIMATES_H
#define BALSAMPORT_EDGE_SCHEDULER_ENGINE_ESTIMATES_H

#include <balsamport/edge/engine_scheduler.h>

#include <optional>
#include <vector>

// What the parts of an engine's places reckon with: tokens, times, versions.

namespace balsamport {

/// @return the tokens of a prompt
[[nodiscard]] std::uint32_t totalTokens(const EngineGrantRequest &request);

/// Tokens that the engine has to read: all parts after the first that is not cached.
[[nodiscard]] std::uint32_t uncachedTokens(const EngineScheduler &state,
                                           const EngineGrantRequest &request);

/// @return a time multiplied by a factor, rounded
[[nodiscard]] Millis scaled(Millis time, double factor);

/// One step of the streams that run, on this engine.
[[nodiscard]] Millis stepTime(const EngineScheduler &state, const SchedulerLimits &limits);

/// @return how long the engine reads a prompt of so many uncached tokens
[[nodiscard]] Millis prefillTime(const EngineScheduler &state, std::uint32_t tokens,
                                 const SchedulerLimits &limits);

/// From a place to the first piece, for a prompt that nobody is before.
[[nodiscard]] Millis firstPieceTime(const EngineScheduler &state, std::uint32_t tokens,
                                    const SchedulerLimits &limits);

/// @return true where the engine held the adapter lately, so that it loads fast
[[nodiscard]] bool isWarm(const EngineScheduler &state, const AdapterId &adapter);

/// Expected time of a load.
[[nodiscard]] Millis loadTime(const EngineScheduler &state, const SchedulerLimits &limits,
                              const AdapterId &adapter);

/// @return the newest declared version of an adapter; 0 where none is declared
[[nodiscard]] AdapterVersion wantedVersion(const EngineScheduler &state, const AdapterId &adapter,
                                           const AdapterVersions &versions);

/// @return true where a request waits for the adapter
[[nodiscard]] bool isWaitedFor(const EngineScheduler &state, const AdapterId &adapter);

/// @return how many granted requests have no first piece yet
[[nodiscard]] std::uint32_t unstarted(const EngineScheduler &state);

} // namespace balsamport

#endif
