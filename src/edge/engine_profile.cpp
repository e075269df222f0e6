#include <balsamport/edge/engine_profile.h>

#include <algorithm>
#include <cmath>

namespace balsamport {

namespace {

/// Prompts that are read faster say little beside the jitter of a few ms in all times.
constexpr Millis leastReading{20};
/// Samples kept of each kind; a busy service gives as many within seconds.
constexpr std::size_t mostSamples = 64;
/// Prompts read alone that are taken for better than any number of others.
constexpr std::size_t fewestAlone = 3;
/// Streams whose sizes of events are kept; few of them use all tokens that they are allowed.
constexpr std::size_t mostEventSizes = 256;
/// Fewer samples of a kind change nothing.
constexpr std::size_t fewestSamples = 5;
constexpr std::size_t fewestEventSizes = 16;
/// Prompts of each length that the cost of attention is reckoned from.
constexpr std::size_t fewestOfLength = 16;
/// Samples of one engine's pace; a busy engine gives as many in some 2 s.
constexpr std::size_t paceSamples = 9;
/// An engine that seems further from its service's profile is stalled, or was not understood.
constexpr double minSlowdown = 0.2;
constexpr double maxSlowdown = 6.0;
constexpr double lowerThird = 1.0 / 3;
constexpr double median = 0.5;
constexpr double million = 1'000'000.0;
/// Bounds of the attention's cost, in tokens read for a million pairs.
constexpr double mostPairsPerToken = 100;
/// Streams with fewer events do not tell the size of an event: the last one may be small.
constexpr std::uint32_t fewestEvents = 4;
/// A prompt that takes longer than the longest pause by this factor shows that a step's reading is
/// bounded.
constexpr double clearlyLonger = 1.3;
/// Margin of the bound of a step over what was seen.
constexpr double pauseMargin = 1.1;

template<typename T>
void addBounded(std::deque<T> &samples, T sample, std::size_t most = mostSamples)
{
    samples.push_back(sample);
    if (samples.size() > most) {
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

double pairsOf(std::uint32_t tokens)
{
    return static_cast<double>(tokens) * tokens / 2 / million;
}

/// A prompt's length with its attention counted as further tokens.
double effectiveTokens(std::uint32_t tokens, double tokensPerMillionPairs)
{
    return tokens + pairsOf(tokens) * tokensPerMillionPairs;
}

double msOf(Millis time)
{
    return static_cast<double>(time.count());
}

/// ms a token, at a share of the samples sorted by it.
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

/// The cost of attention, from how much longer a token of the longer prompts takes.
double fitPairs(const std::deque<PrefillSample> &prefills, double before)
{
    constexpr double clearlyDifferent = 2.0;
    std::vector<PrefillSample> sorted(prefills.begin(), prefills.end());
    std::sort(sorted.begin(), sorted.end(),
              [](const PrefillSample &a, const PrefillSample &b) { return a.tokens < b.tokens; });
    const auto third = static_cast<std::ptrdiff_t>(sorted.size() / 3);
    const std::vector<PrefillSample> shorter(sorted.begin(), sorted.begin() + third);
    const std::vector<PrefillSample> longer(sorted.end() - third, sorted.end());
    if (shorter.size() < fewestOfLength
        || meanTokens(longer) < meanTokens(shorter) * clearlyDifferent) {
        return before;
    }
    const double shortRate = msPerToken(shorter, 0, median);
    const double slope = (msPerToken(longer, 0, median) - shortRate)
            / (meanTokens(longer) - meanTokens(shorter)) * 2 * million;
    const double fitted = std::clamp(slope / shortRate, 0.0, mostPairsPerToken);
    // A part of the way: a third of the samples is few.
    constexpr double weight = 0.125;
    return before * (1 - weight) + fitted * weight;
}

/// Tokens that one step reads at most, from prompts that did not hold up the streams beside them
/// for as long as they were read; 0 where every pause may have been a whole prompt.
std::uint32_t fitTokensPerStep(const std::deque<TokenGapSample> &pauses,
                               const EngineProfile &profile)
{
    constexpr std::size_t fewestLongPrompts = 4;
    if (pauses.size() < fewestSamples) {
        return 0;
    }
    // Single longer pauses have other causes: a preempted stream, a busy VM, the link.
    constexpr double nearlyAll = 0.9;
    std::vector<double> sorted;
    for (const TokenGapSample &sample : pauses) {
        sorted.push_back(msOf(sample.pause));
    }
    const Millis longest(std::llround(quantile(std::move(sorted), nearlyAll)));
    const auto isLonger = [longest](const TokenGapSample &sample) {
        return msOf(sample.reading) > msOf(longest) * clearlyLonger;
    };
    const auto longPrompts = std::count_if(pauses.begin(), pauses.end(), isLonger);
    if (longest <= Millis(0) || static_cast<std::size_t>(longPrompts) < fewestLongPrompts) {
        return 0;
    }
    const double tokens = msOf(longest) * pauseMargin / profile.prefillMsPerToken;
    return static_cast<std::uint32_t>(std::ceil(tokens / profile.decodeStepsPerEvent));
}

/// A value, and the samples behind it.
struct Weighted
{
    double value = 0;
    std::uint32_t weight = 0;
};

/// Stands for a bound that is not known.
constexpr double unbounded = 1e12;

std::uint32_t weightOf(const std::vector<Weighted> &values)
{
    std::uint32_t sum = 0;
    for (const Weighted &one : values) {
        sum += one.weight;
    }
    return sum;
}

/// @return what stood before where too few samples are behind the values
double weightedMedian(std::vector<Weighted> values, std::size_t fewest, double before)
{
    const std::uint32_t total = weightOf(values);
    if (total < fewest || total == 0) {
        return before;
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
    return before;
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
    if (prefillDuration(profile, sample.tokens) < leastReading) {
        return;
    }
    addBounded(sample.alone ? samples.prefills : samples.queuedPrefills, sample);
    ++samples.taken;
}

void addStream(EngineSamples &samples, const EngineProfile &profile, const StreamTiming &stream,
               Millis longestPrefill)
{
    if (stream.events < fewestEvents) {
        return;
    }
    ++samples.taken;
    if (stream.lowerQuartileGap > Millis(0)) {
        addBounded(samples.eventTimes, msOf(stream.lowerQuartileGap));
    }
    if (stream.outputTokens > 0) {
        addBounded(samples.eventSizes,
                   static_cast<double>(stream.outputTokens) / static_cast<double>(stream.events),
                   mostEventSizes);
    }
    if (longestPrefill > Millis(0)) {
        addBounded(samples.pauses,
                   TokenGapSample{std::max(stream.longestGap - eventInterval(profile), Millis(0)),
                                  longestPrefill});
    }
}

bool recordLoadTime(EngineProfile &profile, Millis time, bool firstPoll)
{
    constexpr double weight = 0.2;
    // Seen ready at once, the load may have ended long before.
    constexpr double unseenShare = 0.7;
    constexpr Millis leastLoad{5};
    const bool warm = time * 2 < profile.storeLoadTime + profile.hostCacheLoadTime;
    Millis &known = warm ? profile.hostCacheLoadTime : profile.storeLoadTime;
    const double sample = msOf(time) * (firstPoll ? unseenShare : 1.0);
    known = std::max(Millis(std::llround(msOf(known) * (1 - weight) + sample * weight)), leastLoad);
    return warm;
}

bool isPlausible(const MeasuredProfile &measured) noexcept
{
    // Slower than any engine; also keeps sums and products of it finite.
    constexpr double mostMs = 1e6;
    constexpr std::uint32_t mostWeight = mostEventSizes + mostSamples;
    const auto isTime = [](double value) { return value > 0 && value <= mostMs; };
    const EngineProfile &profile = measured.profile;
    const auto weights = {measured.prefills, measured.streams, measured.pauses, measured.loads};
    // Comparisons with what is no number are false.
    return isTime(profile.prefillMsPerToken) && isTime(profile.decodeStepMs)
            && profile.decodeStepsPerEvent >= 1 && profile.decodeStepsPerEvent <= mostMs
            && profile.tokensPerMillionPairs >= 0 && profile.tokensPerMillionPairs <= mostMs
            && isTime(msOf(profile.storeLoadTime)) && isTime(msOf(profile.hostCacheLoadTime))
            && std::all_of(weights.begin(), weights.end(),
                           [](std::uint32_t weight) { return weight <= mostWeight; });
}

MeasuredProfile measureProfile(const EngineSamples &samples, const EngineProfile &known)
{
    constexpr double mostSteps = 64;
    // Readings between others tell less; some of them were still alone.
    constexpr std::size_t busyShare = 4;
    MeasuredProfile measured;
    EngineProfile &profile = measured.profile;
    profile = known;
    const std::size_t alone = samples.prefills.size();
    const std::size_t busy = samples.queuedPrefills.size();
    measured.prefills = static_cast<std::uint32_t>(alone + busy / busyShare);
    if (alone >= fewestAlone || (alone > 0 && busy < fewestSamples)) {
        profile.tokensPerMillionPairs = fitPairs(samples.prefills, known.tokensPerMillionPairs);
        profile.prefillMsPerToken = msPerToken({samples.prefills.begin(), samples.prefills.end()},
                                               profile.tokensPerMillionPairs, median);
    } else if (busy >= fewestSamples) {
        profile.prefillMsPerToken
                = msPerToken({samples.queuedPrefills.begin(), samples.queuedPrefills.end()},
                             profile.tokensPerMillionPairs, lowerThird);
    } else {
        measured.prefills = 0;
    }
    if (!samples.eventSizes.empty() && !samples.eventTimes.empty()) {
        measured.streams = static_cast<std::uint32_t>(samples.eventSizes.size());
        // Streams that end before the allowed length make events seem larger, never smaller.
        profile.decodeStepsPerEvent
                = std::clamp(std::round(quantile(samples.eventSizes, 0)), 1.0, mostSteps);
        profile.decodeStepMs = std::max(quantile(samples.eventTimes, lowerThird), 1.0)
                / profile.decodeStepsPerEvent;
    }
    if (samples.pauses.size() >= fewestSamples) {
        measured.pauses = static_cast<std::uint32_t>(samples.pauses.size());
        profile.prefillTokensPerStep = fitTokensPerStep(samples.pauses, profile);
    }
    return measured;
}

EngineProfile mergeProfiles(const std::vector<MeasuredProfile> &measured,
                            const EngineProfile &before)
{
    EngineProfile joined = before;
    std::vector<Weighted> reading;
    std::vector<Weighted> attention;
    std::vector<Weighted> events;
    std::vector<Weighted> readPerEvent;
    std::vector<Weighted> cold;
    std::vector<Weighted> warm;
    std::vector<Weighted> hosts;
    double smallestEvent = 0;
    for (const MeasuredProfile &one : measured) {
        const EngineProfile &profile = one.profile;
        const double perEvent = profile.prefillTokensPerStep == 0
                ? unbounded
                : profile.prefillTokensPerStep * profile.decodeStepsPerEvent;
        reading.push_back({profile.prefillMsPerToken, one.prefills});
        attention.push_back({profile.tokensPerMillionPairs, one.prefills});
        events.push_back({profile.decodeStepMs * profile.decodeStepsPerEvent, one.streams});
        readPerEvent.push_back({perEvent, one.pauses});
        cold.push_back({msOf(profile.storeLoadTime), one.loads});
        warm.push_back({msOf(profile.hostCacheLoadTime), one.loads});
        hosts.push_back({static_cast<double>(profile.hostCachedAdapters),
                         profile.hostCachedAdapters == 0 ? 0 : one.loads});
        if (one.streams > 0) {
            smallestEvent = smallestEvent == 0
                    ? profile.decodeStepsPerEvent
                    : std::min(smallestEvent, profile.decodeStepsPerEvent);
        }
    }
    joined.prefillMsPerToken = weightedMedian(reading, fewestSamples, before.prefillMsPerToken);
    joined.tokensPerMillionPairs
            = weightedMedian(attention, fewestSamples, before.tokensPerMillionPairs);
    const double eventMs = weightedMedian(events, fewestSamples,
                                          before.decodeStepMs * before.decodeStepsPerEvent);
    if (weightOf(events) >= fewestEventSizes) {
        joined.decodeStepsPerEvent = smallestEvent;
    }
    joined.decodeStepMs = eventMs / joined.decodeStepsPerEvent;
    const double perEvent = weightedMedian(readPerEvent, fewestSamples, unbounded);
    joined.prefillTokensPerStep = perEvent >= unbounded
            ? 0
            : static_cast<std::uint32_t>(std::ceil(perEvent / joined.decodeStepsPerEvent));
    joined.storeLoadTime
            = Millis(std::llround(weightedMedian(cold, fewestSamples, msOf(before.storeLoadTime))));
    joined.hostCacheLoadTime = Millis(
            std::llround(weightedMedian(warm, fewestSamples, msOf(before.hostCacheLoadTime))));
    joined.hostCachedAdapters = static_cast<std::size_t>(
            weightedMedian(hosts, 1, static_cast<double>(before.hostCachedAdapters)));
    return joined;
}

EngineProfile estimateProfile(const EngineSamples &samples, const EngineProfile &before)
{
    return mergeProfiles({measureProfile(samples, before)}, before);
}

void recordSpeed(EngineSpeed &pace, const EngineProfile &profile, const PrefillSample &sample)
{
    if (prefillDuration(profile, sample.tokens) < leastReading) {
        return;
    }
    pace.samples.push_back(sample);
    if (pace.samples.size() > paceSamples) {
        pace.samples.pop_front();
    }
    std::vector<double> ratios;
    for (const PrefillSample &taken : pace.samples) {
        ratios.push_back(msOf(taken.time) / msOf(prefillDuration(profile, taken.tokens)));
    }
    pace.slowdown = std::clamp(quantile(std::move(ratios), lowerThird), minSlowdown, maxSlowdown);
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

std::size_t updatedHostCacheSize(std::size_t before, std::size_t depth, bool fast) noexcept
{
    if (fast) {
        return before == 0 ? 0 : std::max(before, depth + 1);
    }
    // One slow load may be an adapter that the host lost otherwise.
    return before == 0 ? std::max<std::size_t>(depth, 1)
                       : std::max<std::size_t>(std::min(before, (before + depth) / 2), 1);
}

} // namespace balsamport
