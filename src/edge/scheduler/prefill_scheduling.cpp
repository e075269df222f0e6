#include "prefill_scheduling.h"
#include "engine_estimates.h"

#include <algorithm>

namespace balsamport {

namespace {

/// Allowed token gap where no caller of a running stream sets a shorter one.
constexpr Millis defaultMaxTokenGap{1'000};
/// Most grants without a first chunk; further ones would only queue inside the engine.
constexpr std::uint32_t maxUnstartedGrants = 4;

/// @return the longest token gap that all callers of running streams allow
Millis allowedTokenGap(const EngineScheduler &state)
{
    Millis shortest = defaultMaxTokenGap;
    for (const auto &[key, request] : state.running) {
        if (request.maxTokenGap > Millis(0)) {
            shortest = std::min(shortest, request.maxTokenGap);
        }
    }
    return shortest;
}

/// @return the time left for prefill within the steps of one stream event, after the decode steps
/// and the delivery jitter
Millis prefillBudgetPerEvent(const EngineScheduler &state, const SchedulerLimits &limits)
{
    // Steps take longer in a full batch than in streams without prefill, which the profile
    // measures.
    constexpr double fullBatchStepFactor = 1.5;
    const Millis decodeTime
            = scaled(eventInterval(limits.profile), state.speed.slowdown * fullBatchStepFactor);
    return allowedTokenGap(state) - limits.deliveryJitter - decodeTime;
}

/// @return the least number of steps that the engine takes in a time without prefill, at most those
/// of one stream event
std::int64_t stepsWithoutPrefill(const EngineScheduler &state, const SchedulerLimits &limits,
                                 Millis idle)
{
    const Millis certain = idle - limits.deliveryJitter;
    const auto maxSteps = static_cast<std::int64_t>(wholeDecodeStepsPerEvent(limits.profile));
    return certain <= Millis(0)
            ? 0
            : std::min(certain.count() / engineDecodeStepTime(state, limits).count(), maxSteps);
}

/// @return the prefill time in each step before a new prefill, newest last; one step fewer than an
/// event has
std::vector<Millis> prefillInStepsBefore(const EngineScheduler &state,
                                         const SchedulerLimits &limits, Millis begin)
{
    const std::size_t stepCount = wholeDecodeStepsPerEvent(limits.profile) - 1;
    std::vector<Millis> newestFirst;
    Millis nextStepAt = begin;
    for (auto chunk = state.recentChunks.rbegin();
         chunk != state.recentChunks.rend() && newestFirst.size() < stepCount; ++chunk) {
        const std::int64_t emptySteps
                = stepsWithoutPrefill(state, limits, nextStepAt - chunk->endsAt);
        newestFirst.insert(newestFirst.end(), static_cast<std::size_t>(emptySteps), Millis(0));
        newestFirst.push_back(chunk->duration);
        nextStepAt = chunk->endsAt - chunk->duration - engineDecodeStepTime(state, limits);
    }
    newestFirst.resize(stepCount);
    return {newestFirst.rbegin(), newestFirst.rend()};
}

/// @param steps prefill times of the steps before the prompt
/// @return true where the prompt's chunks after these steps put more prefill than budget into the
/// steps of one event
bool exceedsBudget(std::vector<Millis> steps, const std::vector<Millis> &chunks, Millis budget,
                   std::size_t decodeStepsPerEvent)
{
    steps.insert(steps.end(), chunks.begin(), chunks.end());
    for (std::size_t first = 0; first + decodeStepsPerEvent <= steps.size(); ++first) {
        Millis prefill;
        for (std::size_t step = first; step < first + decodeStepsPerEvent; ++step) {
            prefill += steps[step];
        }
        if (prefill > budget) {
            return true;
        }
    }
    return false;
}

} // namespace

std::vector<Millis> prefillChunks(const EngineScheduler &state, std::uint32_t tokens,
                                  const SchedulerLimits &limits)
{
    const std::uint32_t limit = limits.profile.prefillTokensPerStep;
    const std::uint32_t chunkTokens = limit == 0 ? std::max(tokens, 1U) : limit;
    std::vector<Millis> chunks;
    Millis elapsed;
    for (std::uint32_t done = 0; done < tokens;) {
        done = std::min(tokens, done + chunkTokens);
        const Millis until = enginePrefillTime(state, done, limits);
        chunks.push_back(until - elapsed);
        elapsed = until;
    }
    return chunks;
}

bool canSchedulePrefill(const EngineScheduler &state, const SchedulerLimits &limits, Millis now)
{
    return state.prefillUntil <= now + limits.prefillLead
            && unstartedGrants(state) < maxUnstartedGrants;
}

Millis earliestPrefillStart(const EngineScheduler &state, const SchedulerLimits &limits,
                            const std::vector<Millis> &chunks, Millis now)
{
    const Millis budget = prefillBudgetPerEvent(state, limits);
    const std::size_t decodeStepsPerEvent = wholeDecodeStepsPerEvent(limits.profile);
    const Millis step = engineDecodeStepTime(state, limits);
    const Millis start = std::max(now, state.prefillUntil);
    if (!exceedsBudget(prefillInStepsBefore(state, limits, start), chunks, budget,
                       decodeStepsPerEvent)) {
        return now;
    }
    // Waiting for more than all but one of an event's steps gains nothing: the prompt alone exceeds
    // the budget.
    const auto maxEmptySteps = static_cast<std::int64_t>(decodeStepsPerEvent) - 1;
    for (std::int64_t emptySteps = 1; emptySteps < maxEmptySteps; ++emptySteps) {
        const Millis begin = state.prefillUntil + limits.deliveryJitter + step * emptySteps;
        if (begin >= start
            && !exceedsBudget(prefillInStepsBefore(state, limits, begin), chunks, budget,
                              decodeStepsPerEvent)) {
            return begin;
        }
    }
    return std::max(now, state.prefillUntil + limits.deliveryJitter + step * maxEmptySteps);
}

} // namespace balsamport
