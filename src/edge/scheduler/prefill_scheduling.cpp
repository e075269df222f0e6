#include "prefill_scheduling.h"
#include "engine_estimates.h"

#include <algorithm>

namespace balsamport {

namespace {

/// Longest pause of streams whose callers name none.
constexpr Millis mostPause{1'000};
/// Grants whose first piece has not come; more would queue inside the engine.
constexpr std::uint32_t maxUnstarted = 4;

/// The longest pause that all callers of running streams allow.
Millis maxTokenGap(const EngineScheduler &state)
{
    Millis least = mostPause;
    for (const auto &[key, request] : state.running) {
        if (request.maxTokenGap > Millis(0)) {
            least = std::min(least, request.maxTokenGap);
        }
    }
    return least;
}

/// Time for prompts within the steps of one event, less these steps and the way to the caller.
Millis prefillPerEvent(const EngineScheduler &state, const SchedulerLimits &limits)
{
    // Steps take longer in a full batch than in the quiet streams that the profile comes from.
    constexpr double loadedStep = 1.5;
    const Millis steps = scaled(eventInterval(limits.profile), state.pace.slowdown * loadedStep);
    return maxTokenGap(state) - limits.deliveryJitter - steps;
}

/// Steps that an engine surely takes in a time without prompts.
std::int64_t lightSteps(const EngineScheduler &state, const SchedulerLimits &limits, Millis idle)
{
    const Millis sure = idle - limits.deliveryJitter;
    const auto most = static_cast<std::int64_t>(wholeDecodeStepsPerEvent(limits.profile));
    return sure <= Millis(0) ? 0 : std::min(sure.count() / stepTime(state, limits).count(), most);
}

/// Prompt work in the steps before a new prompt, newest last; one step less than an event has.
std::vector<Millis> stepsBefore(const EngineScheduler &state, const SchedulerLimits &limits,
                                Millis begin)
{
    const std::size_t wanted = wholeDecodeStepsPerEvent(limits.profile) - 1;
    std::vector<Millis> newestFirst;
    Millis next = begin;
    for (auto piece = state.recentChunks.rbegin();
         piece != state.recentChunks.rend() && newestFirst.size() < wanted; ++piece) {
        const std::int64_t light = lightSteps(state, limits, next - piece->readBy);
        newestFirst.insert(newestFirst.end(), static_cast<std::size_t>(light), Millis(0));
        newestFirst.push_back(piece->work);
        next = piece->readBy - piece->work - stepTime(state, limits);
    }
    newestFirst.resize(wanted);
    return {newestFirst.rbegin(), newestFirst.rend()};
}

/// Whether running streams pause for too long where a prompt is read after some steps.
bool wouldPause(std::vector<Millis> steps, const std::vector<Millis> &pieces, Millis most,
                std::size_t decodeStepsPerEvent)
{
    steps.insert(steps.end(), pieces.begin(), pieces.end());
    for (std::size_t first = 0; first + decodeStepsPerEvent <= steps.size(); ++first) {
        Millis work;
        for (std::size_t step = first; step < first + decodeStepsPerEvent; ++step) {
            work += steps[step];
        }
        if (work > most) {
            return true;
        }
    }
    return false;
}

} // namespace

std::vector<Millis> prefillChunks(const EngineScheduler &state, std::uint32_t tokens,
                                  const SchedulerLimits &limits)
{
    const std::uint32_t bound = limits.profile.prefillTokensPerStep;
    const std::uint32_t most = bound == 0 ? std::max(tokens, 1U) : bound;
    std::vector<Millis> pieces;
    Millis read;
    for (std::uint32_t done = 0; done < tokens;) {
        done = std::min(tokens, done + most);
        const Millis until = prefillTime(state, done, limits);
        pieces.push_back(until - read);
        read = until;
    }
    return pieces;
}

bool canSchedulePrefill(const EngineScheduler &state, const SchedulerLimits &limits, Millis now)
{
    return state.prefillUntil <= now + limits.prefillAhead && unstarted(state) < maxUnstarted;
}

Millis earliestPrefillStart(const EngineScheduler &state, const SchedulerLimits &limits,
                            const std::vector<Millis> &pieces, Millis now)
{
    const Millis most = prefillPerEvent(state, limits);
    const std::size_t decodeStepsPerEvent = wholeDecodeStepsPerEvent(limits.profile);
    const Millis step = stepTime(state, limits);
    const Millis start = std::max(now, state.prefillUntil);
    if (!wouldPause(stepsBefore(state, limits, start), pieces, most, decodeStepsPerEvent)) {
        return now;
    }
    // After all but one of an event's steps nothing more is gained: the prompt is long itself.
    const auto mostLight = static_cast<std::int64_t>(decodeStepsPerEvent) - 1;
    for (std::int64_t light = 1; light < mostLight; ++light) {
        const Millis begin = state.prefillUntil + limits.deliveryJitter + step * light;
        if (begin >= start
            && !wouldPause(stepsBefore(state, limits, begin), pieces, most, decodeStepsPerEvent)) {
            return begin;
        }
    }
    return std::max(now, state.prefillUntil + limits.deliveryJitter + step * mostLight);
}

} // namespace balsamport
