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
    const auto slot = state.slots.find(request.adapter);
    std::uint32_t tokens = totalTokens(request);
    if (slot == state.slots.end()) {
        return tokens;
    }
    for (const PromptPart &part : request.parts) {
        if (slot->second.cachedParts.count(part.id) == 0) {
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

Millis engineDecodeStepTime(const EngineScheduler &state, const SchedulerLimits &limits)
{
    return Millis(std::llround(std::ceil(limits.profile.decodeStepMs * state.speed.slowdown)));
}

Millis enginePrefillTime(const EngineScheduler &state, std::uint32_t tokens,
                         const SchedulerLimits &limits)
{
    return scaled(prefillDuration(limits.profile, tokens), state.speed.slowdown);
}

Millis firstTokenTime(const EngineScheduler &state, std::uint32_t tokens,
                      const SchedulerLimits &limits)
{
    return enginePrefillTime(state, tokens, limits)
            + scaled(eventInterval(limits.profile), state.speed.slowdown);
}

bool isHostCached(const EngineScheduler &state, const AdapterId &adapter)
{
    return std::find(state.hostCached.begin(), state.hostCached.end(), adapter)
            != state.hostCached.end();
}

Millis loadTime(const EngineScheduler &state, const SchedulerLimits &limits,
                const AdapterId &adapter)
{
    return isHostCached(state, adapter) ? limits.profile.hostCacheLoadTime
                                        : limits.profile.storeLoadTime;
}

AdapterVersion requiredVersion(const EngineScheduler &state, const AdapterId &adapter,
                               const AdapterVersions &versions)
{
    const auto found = versions.find({state.base, adapter});
    return found == versions.end() ? AdapterVersion() : found->second;
}

bool hasWaitingRequest(const EngineScheduler &state, const AdapterId &adapter)
{
    return std::any_of(
            state.waiting.begin(), state.waiting.end(),
            [&adapter](const EngineGrantRequest &request) { return request.adapter == adapter; });
}

std::uint32_t unstartedGrants(const EngineScheduler &state)
{
    return static_cast<std::uint32_t>(
            std::count_if(state.running.begin(), state.running.end(),
                          [](const auto &entry) { return !entry.second.started; }));
}

} // namespace balsamport
