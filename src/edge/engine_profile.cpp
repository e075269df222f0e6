#include <balsamport/edge/engine_profile.h>

#include <algorithm>
#include <cmath>

namespace balsamport {

namespace {

/// Shorter prefills give no useful sample beside the jitter of a few ms in all measured times.
constexpr Millis minPrefillTime{20};
/// Samples kept of each kind; a busy service yields as many within seconds.
constexpr std::size_t maxSamples = 64;
/// Isolated prefills from which on queued ones aren't used, however many there are.
constexpr std::size_t minIsolated = 3;
/// Streams whose event sizes are kept; more than of other kinds, as few streams use all tokens that
/// they are allowed.
constexpr std::size_t maxEventSizes = 256;
/// With fewer samples of a kind the previous value is kept.
constexpr std::size_t minSamples = 5;
constexpr std::size_t minEventSizes = 16;
/// Short and long prompts each that the cost of attention is estimated from.
constexpr std::size_t minSamplesPerLength = 16;
/// Samples of one engine's speed; a busy engine yields as many in about 2 s.
constexpr std::size_t maxSpeedSamples = 9;
/// Range of an engine's slowdown. Measured values outside come from a stall or a wrong assumption.
constexpr double minSlowdown = 0.2;
constexpr double maxSlowdown = 6.0;
constexpr double lowerThird = 1.0 / 3;
constexpr double median = 0.5;
constexpr double million = 1'000'000.0;
/// Upper bound of the cost of attention.
constexpr double maxTokensPerMillionPairs = 100;
/// Streams with fewer events give no sample of the event size: the last event may be small.
constexpr std::uint32_t minEvents = 4;
/// A prefill longer than the longest token gap by this factor shows that the prefill of a step is
/// limited.
constexpr double clearlyLongerFactor = 1.3;
/// Margin of the estimated limit of a step over the measured one.
constexpr double stepLimitMargin = 1.1;

template<typename T>
void addBounded(std::deque<T> &samples, T sample, std::size_t limit = maxSamples)
{
    samples.push_back(sample);
    if (samples.size() > limit) {
        samples.pop_front();
    }
}

double quantile(std::vector<double> values, double share)
{
    const auto index = static_cast<std::size_t>(share * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(index),
                     values.end());
    return values[index];
}

double quantile(const std::deque<double> &values, double share)
{
    return quantile(std::vector<double>(values.begin(), values.end()), share);
}

double millionPairs(std::uint32_t tokens)
{
    return static_cast<double>(tokens) * tokens / 2 / million;
}

/// @return a prompt's tokens, with the cost of attention as further tokens
double effectiveTokens(std::uint32_t tokens, double tokensPerMillionPairs)
{
    return tokens + millionPairs(tokens) * tokensPerMillionPairs;
}

double msOf(Millis time)
{
    return static_cast<double>(time.count());
}

/// @return a quantile of the samples' prefill time, in ms per effective token
double msPerToken(const std::vector<PrefillSample> &samples, double tokensPerMillionPairs,
                  double share)
{
    std::vector<double> ratios;
    ratios.reserve(samples.size());
    for (const PrefillSample &sample : samples) {
        ratios.push_back(msOf(sample.time) / effectiveTokens(sample.tokens, tokensPerMillionPairs));
    }
    return quantile(std::move(ratios), share);
}

double meanTokens(const std::vector<PrefillSample> &samples)
{
    double sum = 0;
    for (const PrefillSample &sample : samples) {
        sum += sample.tokens;
    }
    return sum / static_cast<double>(samples.size());
}

/// Estimates the cost of attention from the additional time per token of longer prompts.
/// @return tokens per million pairs
double fitAttentionCost(const std::deque<PrefillSample> &prefills, double previous)
{
    constexpr double clearlyDifferent = 2.0;
    std::vector<PrefillSample> sorted(prefills.begin(), prefills.end());
    std::sort(sorted.begin(), sorted.end(),
              [](const PrefillSample &a, const PrefillSample &b) { return a.tokens < b.tokens; });
    const auto third = static_cast<std::ptrdiff_t>(sorted.size() / 3);
    const std::vector<PrefillSample> shorter(sorted.begin(), sorted.begin() + third);
    const std::vector<PrefillSample> longer(sorted.end() - third, sorted.end());
    if (shorter.size() < minSamplesPerLength
        || meanTokens(longer) < meanTokens(shorter) * clearlyDifferent) {
        return previous;
    }
    const double shortRate = msPerToken(shorter, 0, median);
    const double slope = (msPerToken(longer, 0, median) - shortRate)
            / (meanTokens(longer) - meanTokens(shorter)) * 2 * million;
    const double fitted = std::clamp(slope / shortRate, 0.0, maxTokensPerMillionPairs);
    // Moves towards the fitted value only in part: a third of the samples is few.
    constexpr double weight = 0.125;
    return previous * (1 - weight) + fitted * weight;
}

/// Estimates the limit of prefill tokens in a step from prompts that caused token gaps shorter than
/// their prefill.
/// @return tokens; 0 where every gap may have been a complete prefill
std::uint32_t fitPrefillTokensPerStep(const std::deque<TokenGapSample> &tokenGaps,
                                      const EngineProfile &profile)
{
    constexpr std::size_t minLongPrompts = 4;
    if (tokenGaps.size() < minSamples) {
        return 0;
    }
    // Single longer gaps have other causes: a preempted stream, a busy VM, the network.
    constexpr double nearlyAll = 0.9;
    std::vector<double> sorted;
    for (const TokenGapSample &sample : tokenGaps) {
        sorted.push_back(msOf(sample.excess));
    }
    const Millis longest(std::llround(quantile(std::move(sorted), nearlyAll)));
    const auto isLonger = [longest](const TokenGapSample &sample) {
        return msOf(sample.prefill) > msOf(longest) * clearlyLongerFactor;
    };
    const auto longPrompts = std::count_if(tokenGaps.begin(), tokenGaps.end(), isLonger);
    if (longest <= Millis(0) || static_cast<std::size_t>(longPrompts) < minLongPrompts) {
        return 0;
    }
    const double tokens = msOf(longest) * stepLimitMargin / profile.prefillMsPerToken;
    return static_cast<std::uint32_t>(std::ceil(tokens / profile.decodeStepsPerEvent));
}

/// A value with the number of samples that it was measured from.
struct Weighted
{
    double value = 0;
    std::uint32_t weight = 0;
};

/// Stands for an unknown limit.
constexpr double unbounded = 1e12;

std::uint32_t weightOf(const std::vector<Weighted> &values)
{
    std::uint32_t sum = 0;
    for (const Weighted &one : values) {
        sum += one.weight;
    }
    return sum;
}

/// @return the previous value where the weights add up to less than minWeight
double weightedMedian(std::vector<Weighted> values, std::size_t minWeight, double previous)
{
    const std::uint32_t total = weightOf(values);
    if (total < minWeight || total == 0) {
        return previous;
    }
    std::sort(values.begin(), values.end(),
              [](const Weighted &a, const Weighted &b) { return a.value < b.value; });
    std::uint32_t below = 0;
    for (const Weighted &one : values) {
        below += one.weight;
        if (below * 2 >= total && one.weight > 0) {
            return one.value;
        }
    }
    return previous;
}

bool differsSignificantly(double a, double b)
{
    constexpr double fifth = 0.2;
    return std::abs(a - b) > fifth * std::max(std::abs(a), std::abs(b));
}

} // namespace

Millis prefillDuration(const EngineProfile &profile, std::uint32_t tokens)
{
    return Millis(std::llround(std::ceil(
            profile.prefillMsPerToken * effectiveTokens(tokens, profile.tokensPerMillionPairs))));
}

Millis eventInterval(const EngineProfile &profile)
{
    return Millis(std::llround(std::ceil(profile.decodeStepMs * profile.decodeStepsPerEvent)));
}

std::size_t wholeDecodeStepsPerEvent(const EngineProfile &profile)
{
    return static_cast<std::size_t>(std::max(1.0, std::round(profile.decodeStepsPerEvent)));
}

void addPrefill(EngineSamples &samples, const EngineProfile &profile, const PrefillSample &sample)
{
    // A prompt that took no time waited less than its grant assumed.
    constexpr Millis noTime{1};
    // The measured time counts as well: a profile that is far too fast would reject all samples.
    const Millis duration = std::max(prefillDuration(profile, sample.tokens), sample.time);
    if (duration < minPrefillTime || sample.time <= noTime) {
        return;
    }
    addBounded(sample.isolated ? samples.prefills : samples.queuedPrefills, sample);
    ++samples.totalCount;
}

void addStream(EngineSamples &samples, const EngineProfile &profile, const StreamTiming &stream,
               Millis longestPrefill)
{
    if (stream.events < minEvents) {
        return;
    }
    ++samples.totalCount;
    if (stream.lowerQuartileGap > Millis(0)) {
        addBounded(samples.eventIntervals, msOf(stream.lowerQuartileGap));
    }
    if (stream.outputTokens > 0) {
        addBounded(samples.eventSizes,
                   static_cast<double>(stream.outputTokens) / static_cast<double>(stream.events),
                   maxEventSizes);
    }
    if (longestPrefill > Millis(0)) {
        addBounded(samples.tokenGaps,
                   TokenGapSample{std::max(stream.longestGap - eventInterval(profile), Millis(0)),
                                  longestPrefill});
    }
}

bool recordLoadTime(EngineProfile &profile, Millis time, bool firstPoll)
{
    constexpr double weight = 0.2;
    // A load found complete by the first poll may have ended long before.
    constexpr double unseenEndFactor = 0.7;
    constexpr Millis minLoadTime{5};
    const bool fromHostCache = time * 2 < profile.storeLoadTime + profile.hostCacheLoadTime;
    Millis &estimate = fromHostCache ? profile.hostCacheLoadTime : profile.storeLoadTime;
    const double sample = msOf(time) * (firstPoll ? unseenEndFactor : 1.0);
    estimate = std::max(Millis(std::llround(msOf(estimate) * (1 - weight) + sample * weight)),
                        minLoadTime);
    return fromHostCache;
}

bool isPlausible(const MeasuredProfile &measured) noexcept
{
    // Slower than any engine; also keeps sums and products finite.
    constexpr double maxMs = 1e6;
    constexpr std::uint32_t maxWeight = maxEventSizes + maxSamples;
    const auto isTime = [](double value) { return value > 0 && value <= maxMs; };
    const EngineProfile &profile = measured.profile;
    const auto weights = {measured.prefills, measured.streams, measured.tokenGaps, measured.loads};
    // Comparisons with NaN are false.
    return isTime(profile.prefillMsPerToken) && isTime(profile.decodeStepMs)
            && profile.decodeStepsPerEvent >= 1 && profile.decodeStepsPerEvent <= maxMs
            && profile.tokensPerMillionPairs >= 0 && profile.tokensPerMillionPairs <= maxMs
            && isTime(msOf(profile.storeLoadTime)) && isTime(msOf(profile.hostCacheLoadTime))
            && std::all_of(weights.begin(), weights.end(),
                           [](std::uint32_t weight) { return weight <= maxWeight; });
}

MeasuredProfile measureProfile(const EngineSamples &samples, const EngineProfile &previous)
{
    constexpr double maxSteps = 64;
    // Queued prefills count for less than isolated ones; some of them didn't queue after all.
    constexpr std::size_t queuedShare = 4;
    MeasuredProfile measured;
    EngineProfile &profile = measured.profile;
    profile = previous;
    const std::size_t isolated = samples.prefills.size();
    const std::size_t queued = samples.queuedPrefills.size();
    measured.prefills = static_cast<std::uint32_t>(isolated + queued / queuedShare);
    if (isolated >= minIsolated || (isolated > 0 && queued < minSamples)) {
        profile.tokensPerMillionPairs
                = fitAttentionCost(samples.prefills, previous.tokensPerMillionPairs);
        profile.prefillMsPerToken = msPerToken({samples.prefills.begin(), samples.prefills.end()},
                                               profile.tokensPerMillionPairs, median);
    } else if (queued >= minSamples) {
        profile.prefillMsPerToken
                = msPerToken({samples.queuedPrefills.begin(), samples.queuedPrefills.end()},
                             profile.tokensPerMillionPairs, lowerThird);
    } else {
        measured.prefills = 0;
    }
    if (!samples.eventSizes.empty() && !samples.eventIntervals.empty()) {
        measured.streams = static_cast<std::uint32_t>(samples.eventSizes.size());
        // Streams that end before the allowed length make events appear larger, never smaller.
        profile.decodeStepsPerEvent
                = std::clamp(std::round(quantile(samples.eventSizes, 0)), 1.0, maxSteps);
        profile.decodeStepMs = std::max(quantile(samples.eventIntervals, lowerThird), 1.0)
                / profile.decodeStepsPerEvent;
    }
    if (samples.tokenGaps.size() >= minSamples) {
        measured.tokenGaps = static_cast<std::uint32_t>(samples.tokenGaps.size());
        profile.prefillTokensPerStep = fitPrefillTokensPerStep(samples.tokenGaps, profile);
    }
    return measured;
}

EngineProfile mergeProfiles(const std::vector<MeasuredProfile> &measured,
                            const EngineProfile &previous)
{
    EngineProfile merged = previous;
    std::vector<Weighted> prefill;
    std::vector<Weighted> attention;
    std::vector<Weighted> events;
    std::vector<Weighted> prefillPerEvent;
    std::vector<Weighted> storeLoads;
    std::vector<Weighted> hostCacheLoads;
    std::vector<Weighted> hostCacheSizes;
    double smallestEvent = 0;
    for (const MeasuredProfile &one : measured) {
        const EngineProfile &profile = one.profile;
        const double perEvent = profile.prefillTokensPerStep == 0
                ? unbounded
                : profile.prefillTokensPerStep * profile.decodeStepsPerEvent;
        prefill.push_back({profile.prefillMsPerToken, one.prefills});
        attention.push_back({profile.tokensPerMillionPairs, one.prefills});
        events.push_back({profile.decodeStepMs * profile.decodeStepsPerEvent, one.streams});
        prefillPerEvent.push_back({perEvent, one.tokenGaps});
        storeLoads.push_back({msOf(profile.storeLoadTime), one.loads});
        hostCacheLoads.push_back({msOf(profile.hostCacheLoadTime), one.loads});
        hostCacheSizes.push_back({static_cast<double>(profile.hostCachedAdapters),
                                  profile.hostCachedAdapters == 0 ? 0 : one.loads});
        if (one.streams > 0) {
            smallestEvent = smallestEvent == 0
                    ? profile.decodeStepsPerEvent
                    : std::min(smallestEvent, profile.decodeStepsPerEvent);
        }
    }
    merged.prefillMsPerToken = weightedMedian(prefill, minSamples, previous.prefillMsPerToken);
    merged.tokensPerMillionPairs
            = weightedMedian(attention, minSamples, previous.tokensPerMillionPairs);
    const double eventMs = weightedMedian(events, minSamples,
                                          previous.decodeStepMs * previous.decodeStepsPerEvent);
    if (weightOf(events) >= minEventSizes) {
        merged.decodeStepsPerEvent = smallestEvent;
    }
    merged.decodeStepMs = eventMs / merged.decodeStepsPerEvent;
    const double perEvent = weightedMedian(prefillPerEvent, minSamples, unbounded);
    merged.prefillTokensPerStep = perEvent >= unbounded
            ? 0
            : static_cast<std::uint32_t>(std::ceil(perEvent / merged.decodeStepsPerEvent));
    merged.storeLoadTime = Millis(
            std::llround(weightedMedian(storeLoads, minSamples, msOf(previous.storeLoadTime))));
    merged.hostCacheLoadTime = Millis(std::llround(
            weightedMedian(hostCacheLoads, minSamples, msOf(previous.hostCacheLoadTime))));
    merged.hostCachedAdapters = static_cast<std::size_t>(
            weightedMedian(hostCacheSizes, 1, static_cast<double>(previous.hostCachedAdapters)));
    return merged;
}

EngineProfile estimateProfile(const EngineSamples &samples, const EngineProfile &previous)
{
    return mergeProfiles({measureProfile(samples, previous)}, previous);
}

void recordSpeed(EngineSpeed &speed, const EngineProfile &profile, const PrefillSample &sample)
{
    if (prefillDuration(profile, sample.tokens) < minPrefillTime) {
        return;
    }
    speed.samples.push_back(sample);
    if (speed.samples.size() > maxSpeedSamples) {
        speed.samples.pop_front();
    }
    std::vector<double> ratios;
    for (const PrefillSample &recent : speed.samples) {
        ratios.push_back(msOf(recent.time) / msOf(prefillDuration(profile, recent.tokens)));
    }
    speed.slowdown = std::clamp(quantile(std::move(ratios), lowerThird), minSlowdown, maxSlowdown);
}

bool differsSignificantly(const EngineProfile &a, const EngineProfile &b)
{
    return differsSignificantly(a.prefillMsPerToken, b.prefillMsPerToken)
            || differsSignificantly(a.decodeStepMs, b.decodeStepMs)
            || differsSignificantly(a.decodeStepsPerEvent, b.decodeStepsPerEvent)
            || differsSignificantly(a.prefillTokensPerStep, b.prefillTokensPerStep)
            || differsSignificantly(msOf(a.storeLoadTime), msOf(b.storeLoadTime))
            || differsSignificantly(msOf(a.hostCacheLoadTime), msOf(b.hostCacheLoadTime));
}

std::size_t updatedHostCacheSize(std::size_t previous, std::size_t cacheDepth, bool fast) noexcept
{
    if (fast) {
        return previous == 0 ? 0 : std::max(previous, cacheDepth + 1);
    }
    // A single slow load moves the bound only in part: the host may have dropped the adapter for
    // another reason.
    return previous == 0
            ? std::max<std::size_t>(cacheDepth, 1)
            : std::max<std::size_t>(std::min(previous, (previous + cacheDepth) / 2), 1);
}

} // namespace balsamport
