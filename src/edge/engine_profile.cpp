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
constexpr double leastSlowness = 0.2;
constexpr double mostSlowness = 6.0;
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
double effectiveTokens(std::uint32_t tokens, double pairsPerToken)
{
    return tokens + pairsOf(tokens) * pairsPerToken;
}

double msOf(Millis time)
{
    return static_cast<double>(time.count());
}

/// ms a token, at a share of the samples sorted by it.
double msPerToken(const std::vector<ReadingSample> &samples, double pairsPerToken, double share)
{
    std::vector<double> ratios;
    ratios.reserve(samples.size());
    for (const ReadingSample &sample : samples) {
        ratios.push_back(msOf(sample.time) / effectiveTokens(sample.tokens, pairsPerToken));
    }
    return quantile(std::move(ratios), share);
}

double meanTokens(const std::vector<ReadingSample> &samples)
{
    double sum = 0;
    for (const ReadingSample &sample : samples) {
        sum += sample.tokens;
    }
    return sum / static_cast<double>(samples.size());
}

/// The cost of attention, from how much longer a token of the longer prompts takes.
double fitPairs(const std::deque<ReadingSample> &readings, double before)
{
    constexpr double clearlyDifferent = 2.0;
    std::vector<ReadingSample> sorted(readings.begin(), readings.end());
    std::sort(sorted.begin(), sorted.end(),
              [](const ReadingSample &a, const ReadingSample &b) { return a.tokens < b.tokens; });
    const auto third = static_cast<std::ptrdiff_t>(sorted.size() / 3);
    const std::vector<ReadingSample> shorter(sorted.begin(), sorted.begin() + third);
    const std::vector<ReadingSample> longer(sorted.end() - third, sorted.end());
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
std::uint32_t fitTokensPerStep(const std::deque<PauseSample> &pauses, const EngineProfile &profile)
{
    constexpr std::size_t fewestLongPrompts = 4;
    if (pauses.size() < fewestSamples) {
        return 0;
    }
    // Single longer pauses have other causes: a preempted stream, a busy VM, the link.
    constexpr double nearlyAll = 0.9;
    std::vector<double> sorted;
    for (const PauseSample &sample : pauses) {
        sorted.push_back(msOf(sample.pause));
    }
    const Millis longest(std::llround(quantile(std::move(sorted), nearlyAll)));
    const auto isLonger = [longest](const PauseSample &sample) {
        return msOf(sample.reading) > msOf(longest) * clearlyLonger;
    };
    const auto longPrompts = std::count_if(pauses.begin(), pauses.end(), isLonger);
    if (longest <= Millis(0) || static_cast<std::size_t>(longPrompts) < fewestLongPrompts) {
        return 0;
    }
    const double tokens = msOf(longest) * pauseMargin / profile.readMsPerToken;
    return static_cast<std::uint32_t>(std::ceil(tokens / profile.stepsPerEvent));
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

bool differsMuch(double a, double b)
{
    constexpr double fifth = 0.2;
    return std::abs(a - b) > fifth * std::max(std::abs(a), std::abs(b));
}

} // namespace

Millis readingTime(const EngineProfile &profile, std::uint32_t tokens)
{
    return Millis(std::llround(
            std::ceil(profile.readMsPerToken * effectiveTokens(tokens, profile.pairsPerToken))));
}

Millis eventTime(const EngineProfile &profile)
{
    return Millis(std::llround(std::ceil(profile.stepMs * profile.stepsPerEvent)));
}

std::size_t wholeStepsPerEvent(const EngineProfile &profile)
{
    return static_cast<std::size_t>(std::max(1.0, std::round(profile.stepsPerEvent)));
}

void addReading(EngineSamples &samples, const EngineProfile &profile, const ReadingSample &sample)
{
    if (readingTime(profile, sample.tokens) < leastReading) {
        return;
    }
    addBounded(sample.alone ? samples.readings : samples.busyReadings, sample);
    ++samples.taken;
}

void addStream(EngineSamples &samples, const EngineProfile &profile, const StreamPace &stream,
               Millis longestReading)
{
    if (stream.events < fewestEvents) {
        return;
    }
    ++samples.taken;
    if (stream.quietGap > Millis(0)) {
        addBounded(samples.eventTimes, msOf(stream.quietGap));
    }
    if (stream.outputTokens > 0) {
        addBounded(samples.eventSizes,
                   static_cast<double>(stream.outputTokens) / static_cast<double>(stream.events),
                   mostEventSizes);
    }
    if (longestReading > Millis(0)) {
        addBounded(samples.pauses,
                   PauseSample{std::max(stream.longestGap - eventTime(profile), Millis(0)),
                               longestReading});
    }
}

bool noteLoadTime(EngineProfile &profile, Millis time, bool firstLook)
{
    constexpr double weight = 0.2;
    // Seen ready at once, the load may have ended long before.
    constexpr double unseenShare = 0.7;
    constexpr Millis leastLoad{5};
    const bool warm = time * 2 < profile.coldLoad + profile.warmLoad;
    Millis &known = warm ? profile.warmLoad : profile.coldLoad;
    const double sample = msOf(time) * (firstLook ? unseenShare : 1.0);
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
    const auto weights = {measured.readings, measured.streams, measured.pauses, measured.loads};
    // Comparisons with what is no number are false.
    return isTime(profile.readMsPerToken) && isTime(profile.stepMs) && profile.stepsPerEvent >= 1
            && profile.stepsPerEvent <= mostMs && profile.pairsPerToken >= 0
            && profile.pairsPerToken <= mostMs && isTime(msOf(profile.coldLoad))
            && isTime(msOf(profile.warmLoad))
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
    const std::size_t alone = samples.readings.size();
    const std::size_t busy = samples.busyReadings.size();
    measured.readings = static_cast<std::uint32_t>(alone + busy / busyShare);
    if (alone >= fewestAlone || (alone > 0 && busy < fewestSamples)) {
        profile.pairsPerToken = fitPairs(samples.readings, known.pairsPerToken);
        profile.readMsPerToken = msPerToken({samples.readings.begin(), samples.readings.end()},
                                            profile.pairsPerToken, median);
    } else if (busy >= fewestSamples) {
        profile.readMsPerToken
                = msPerToken({samples.busyReadings.begin(), samples.busyReadings.end()},
                             profile.pairsPerToken, lowerThird);
    } else {
        measured.readings = 0;
    }
    if (!samples.eventSizes.empty() && !samples.eventTimes.empty()) {
        measured.streams = static_cast<std::uint32_t>(samples.eventSizes.size());
        // Streams that end before the allowed length make events seem larger, never smaller.
        profile.stepsPerEvent
                = std::clamp(std::round(quantile(samples.eventSizes, 0)), 1.0, mostSteps);
        profile.stepMs
                = std::max(quantile(samples.eventTimes, lowerThird), 1.0) / profile.stepsPerEvent;
    }
    if (samples.pauses.size() >= fewestSamples) {
        measured.pauses = static_cast<std::uint32_t>(samples.pauses.size());
        profile.tokensPerStep = fitTokensPerStep(samples.pauses, profile);
    }
    return measured;
}

EngineProfile joinProfiles(const std::vector<MeasuredProfile> &measured,
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
        const double perEvent = profile.tokensPerStep == 0
                ? unbounded
                : profile.tokensPerStep * profile.stepsPerEvent;
        reading.push_back({profile.readMsPerToken, one.readings});
        attention.push_back({profile.pairsPerToken, one.readings});
        events.push_back({profile.stepMs * profile.stepsPerEvent, one.streams});
        readPerEvent.push_back({perEvent, one.pauses});
        cold.push_back({msOf(profile.coldLoad), one.loads});
        warm.push_back({msOf(profile.warmLoad), one.loads});
        hosts.push_back({static_cast<double>(profile.warmAdapters),
                         profile.warmAdapters == 0 ? 0 : one.loads});
        if (one.streams > 0) {
            smallestEvent = smallestEvent == 0 ? profile.stepsPerEvent
                                               : std::min(smallestEvent, profile.stepsPerEvent);
        }
    }
    joined.readMsPerToken = weightedMedian(reading, fewestSamples, before.readMsPerToken);
    joined.pairsPerToken = weightedMedian(attention, fewestSamples, before.pairsPerToken);
    const double eventMs
            = weightedMedian(events, fewestSamples, before.stepMs * before.stepsPerEvent);
    if (weightOf(events) >= fewestEventSizes) {
        joined.stepsPerEvent = smallestEvent;
    }
    joined.stepMs = eventMs / joined.stepsPerEvent;
    const double perEvent = weightedMedian(readPerEvent, fewestSamples, unbounded);
    joined.tokensPerStep = perEvent >= unbounded
            ? 0
            : static_cast<std::uint32_t>(std::ceil(perEvent / joined.stepsPerEvent));
    joined.coldLoad
            = Millis(std::llround(weightedMedian(cold, fewestSamples, msOf(before.coldLoad))));
    joined.warmLoad
            = Millis(std::llround(weightedMedian(warm, fewestSamples, msOf(before.warmLoad))));
    joined.warmAdapters = static_cast<std::size_t>(
            weightedMedian(hosts, 1, static_cast<double>(before.warmAdapters)));
    return joined;
}

EngineProfile estimateProfile(const EngineSamples &samples, const EngineProfile &before)
{
    return joinProfiles({measureProfile(samples, before)}, before);
}

void notePace(EnginePace &pace, const EngineProfile &profile, const ReadingSample &sample)
{
    if (readingTime(profile, sample.tokens) < leastReading) {
        return;
    }
    pace.samples.push_back(sample);
    if (pace.samples.size() > paceSamples) {
        pace.samples.pop_front();
    }
    std::vector<double> ratios;
    for (const ReadingSample &taken : pace.samples) {
        ratios.push_back(msOf(taken.time) / msOf(readingTime(profile, taken.tokens)));
    }
    pace.slowness
            = std::clamp(quantile(std::move(ratios), lowerThird), leastSlowness, mostSlowness);
}

bool differsMuch(const EngineProfile &a, const EngineProfile &b)
{
    return differsMuch(a.readMsPerToken, b.readMsPerToken) || differsMuch(a.stepMs, b.stepMs)
            || differsMuch(a.stepsPerEvent, b.stepsPerEvent)
            || differsMuch(a.tokensPerStep, b.tokensPerStep)
            || differsMuch(msOf(a.coldLoad), msOf(b.coldLoad))
            || differsMuch(msOf(a.warmLoad), msOf(b.warmLoad));
}

std::size_t warmBoundAfter(std::size_t before, std::size_t depth, bool fast) noexcept
{
    if (fast) {
        return before == 0 ? 0 : std::max(before, depth + 1);
    }
    // One slow load may be an adapter that the host lost otherwise.
    return before == 0 ? std::max<std::size_t>(depth, 1)
                       : std::max<std::size_t>(std::min(before, (before + depth) / 2), 1);
}

} // namespace balsamport
