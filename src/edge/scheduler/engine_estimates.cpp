#include "engine_estimates.h"

#include <algorithm>
#include <cmath>

namespace balsamport {

std::uint32_t totalTokens(const EngineGrantRequest &request)
{
    std::uint32_t tokens = 0;
    for (const PromptPart &part : request.parts) {
        tokens += part.tokens;
    }
    return tokens;
}

std::uint32_t uncachedTokens(const EngineScheduler &state, const EngineGrantRequest &request)
{
    const auto place = state.places.find(request.adapter);
    std::uint32_t tokens = totalTokens(request);
    if (place == state.places.end()) {
        return tokens;
    }
    for (const PromptPart &part : request.parts) {
        if (place->second.cachedParts.count(part.id) == 0) {
            break;
        }
        tokens -= part.tokens;
    }
    return tokens;
}

Millis scaled(Millis time, double factor)
{
    return Millis(std::llround(std::ceil(static_cast<double>(time.count()) * factor)));
}

Millis stepTime(const EngineScheduler &state, const SchedulerLimits &limits)
{
    return Millis(std::llround(std::ceil(limits.profile.decodeStepMs * state.pace.slowdown)));
}

Millis prefillTime(const EngineScheduler &state, std::uint32_t tokens,
                   const SchedulerLimits &limits)
{
    return scaled(prefillDuration(limits.profile, tokens), state.pace.slowdown);
}

Millis firstPieceTime(const EngineScheduler &state, std::uint32_t tokens,
                      const SchedulerLimits &limits)
{
    return prefillTime(state, tokens, limits)
            + scaled(eventInterval(limits.profile), state.pace.slowdown);
}

bool isWarm(const EngineScheduler &state, const AdapterId &adapter)
{
    return std::find(state.warm.begin(), state.warm.end(), adapter) != state.warm.end();
}

Millis loadTime(const EngineScheduler &state, const SchedulerLimits &limits,
                const AdapterId &adapter)
{
    return isWarm(state, adapter) ? limits.profile.hostCacheLoadTime : limits.profile.storeLoadTime;
}

AdapterVersion wantedVersion(const EngineScheduler &state, const AdapterId &adapter,
                             const AdapterVersions &versions)
{
    const auto found = versions.find({state.base, adapter});
    return found == versions.end() ? AdapterVersion() : found->second;
}

bool isWaitedFor(const EngineScheduler &state, const AdapterId &adapter)
{
    return std::any_of(
            state.waiting.begin(), state.waiting.end(),
            [&adapter](const EngineGrantRequest &request) { return request.adapter == adapter; });
}

std::uint32_t unstarted(const EngineScheduler &state)
{
    return static_cast<std::uint32_t>(
            std::count_if(state.running.begin(), state.running.end(),
                          [](const auto &entry) { return !entry.second.started; }));
}

} // namespace balsamport
