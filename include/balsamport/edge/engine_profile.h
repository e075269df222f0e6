#ifndef BALSAMPORT_EDGE_ENGINE_PROFILE_H
#define BALSAMPORT_EDGE_ENGINE_PROFILE_H

#include <balsamport/core/clock.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <vector>

namespace balsamport {

/// @brief What an engine does in which time.
///
/// The values here are those of no engine: slow enough that the first requests of an unknown one do
/// not stall its streams. Learnt values replace them one by one.
struct EngineProfile
{
    double prefillMsPerToken = 0.05; ///< To read one token of a prompt.
    double tokensPerMillionPairs = 25; ///< Cost of a million pairs of tokens, in tokens read.
    double decodeStepMs = 12; ///< One step of the streams that run, without prompts.
    double decodeStepsPerEvent = 5; ///< Tokens of a stream that arrive together.
    std::uint32_t prefillTokensPerStep
            = 0; ///< Of prompts, read in one step; 0 while no bound is known.
    Millis storeLoadTime{400}; ///< An adapter from the store.
    Millis hostCacheLoadTime{60}; ///< An adapter from the engine's host memory.
    std::size_t hostCachedAdapters = 0; ///< Kept in the host's memory; 0 while no bound is known.

    bool operator==(const EngineProfile &) const = default;
};

/// @brief A prompt, and the time that reading it took.
struct PrefillSample
{
    std::uint32_t tokens = 0;
    Millis time;
    bool alone = false; ///< No other prompt was handed over from its own to its first piece.

    bool operator==(const PrefillSample &) const = default;
};

/// @brief What a daemon saw of a stream that it passed on from a near engine.
struct StreamTiming
{
    std::uint32_t events = 0;
    std::uint32_t outputTokens = 0; ///< That the caller allowed.
    Millis lowerQuartileGap; ///< Lower quartile of the times between events.
    Millis longestGap; ///< Longest time between events.

    bool operator==(const StreamTiming &) const = default;
};

/// @brief The longest pause of a stream, and the longest prompt that was read while it ran.
struct TokenGapSample
{
    Millis pause; ///< Beyond the usual time between events.
    Millis reading; ///< Of the prompt alone.

    bool operator==(const TokenGapSample &) const = default;
};

/// @brief The newest samples of all engines of a service that a daemon owns. Newest last.
struct EngineSamples
{
    std::deque<PrefillSample>
            prefills; ///< Of prompts that were read with no other before or after.
    std::deque<PrefillSample> queuedPrefills; ///< Of prompts between others; mostly too long.
    std::deque<double> eventTimes; ///< ms between events of quiet streams.
    std::deque<double> eventSizes; ///< Tokens an event, at most.
    std::deque<TokenGapSample> pauses;
    std::uint64_t taken = 0; ///< All that were ever added.

    bool operator==(const EngineSamples &) const = default;
};

/// @brief How much slower or faster an engine reads than its service's profile says.
///
/// Engines of one service differ in speed, and some turn slow for a while.
struct EngineSpeed
{
    double slowdown = 1; ///< Reading takes this many times the profile's time.
    std::deque<PrefillSample> samples; ///< Newest last.

    bool operator==(const EngineSpeed &) const = default;
};

/// @brief Reckons the time in which a prompt is read. Attention grows with the square of its
/// length.
[[nodiscard]] Millis prefillDuration(const EngineProfile &profile, std::uint32_t tokens);

/// @return the time between two events of a stream while no prompt is read
[[nodiscard]] Millis eventInterval(const EngineProfile &profile);

/// @return whole steps between two events, at least 1
[[nodiscard]] std::size_t wholeDecodeStepsPerEvent(const EngineProfile &profile);

/// @brief Adds the time in which a prompt was read. Short prompts say little and are left out.
void addPrefill(EngineSamples &samples, const EngineProfile &profile, const PrefillSample &sample);

/// @brief Adds a stream that was served whole.
/// @param longestPrefill of the prompts that were read from its first event to its last; 0 for none
void addStream(EngineSamples &samples, const EngineProfile &profile, const StreamTiming &stream,
               Millis longestPrefill);

/// @brief Moves a profile's time of a load towards one that was seen.
/// @param time from the order to the look that found the adapter loaded
/// @param firstPoll no look before found it still loading, so the load itself was shorter
/// @return true where the load was a warm one, going by its time
bool recordLoadTime(EngineProfile &profile, Millis time, bool firstPoll);

/// @brief A profile as one daemon measured it, and from how many samples.
struct MeasuredProfile
{
    EngineProfile profile;
    std::uint32_t prefills = 0; ///< Behind the reading times.
    std::uint32_t streams = 0; ///< Behind the times and sizes of events.
    std::uint32_t pauses = 0; ///< Behind the tokens of a step.
    std::uint32_t loads = 0; ///< Behind the times of loads.

    bool operator==(const MeasuredProfile &) const = default;
};

/// @brief Says whether a profile that another daemon told can be one of an engine: its values are
/// numbers above 0, and no weight is beyond what a daemon keeps.
[[nodiscard]] bool isPlausible(const MeasuredProfile &measured) noexcept;

/// @brief Measures a profile from a daemon's own samples.
///
/// Of prompts that were read alone the median is taken. Other readings are too long where a prompt
/// had to queue; where there are no better ones, their lower third is taken.
/// @param known the profile so far; what has no samples is taken from it
/// @complexity O(n log n) for n samples, of which a bounded number is kept
[[nodiscard]] MeasuredProfile measureProfile(const EngineSamples &samples,
                                             const EngineProfile &known);

/// @brief Joins what daemons measured: the median for each value, weighted by its samples. What has
/// too few samples in all stays as it was.
/// @param before the profile so far
[[nodiscard]] EngineProfile mergeProfiles(const std::vector<MeasuredProfile> &measured,
                                          const EngineProfile &before);

/// @brief Estimates a profile from the samples of one daemon.
/// Example: `profile = estimateProfile(samples, profile);`
[[nodiscard]] EngineProfile estimateProfile(const EngineSamples &samples,
                                            const EngineProfile &before);

/// @brief Takes one prompt's reading into an engine's own pace.
void recordSpeed(EngineSpeed &pace, const EngineProfile &profile, const PrefillSample &sample);

/// @return true where any value differs by more than a fifth
[[nodiscard]] bool differsSignificantly(const EngineProfile &a, const EngineProfile &b);

/// @brief Says how many adapters an engine keeps in its host's memory, from loads that were fast or
/// slow.
/// @param before the bound so far; 0 for none
/// @param depth place of the adapter among those held lately, 0 for the newest
/// @param fast the load took a warm load's time
/// @return the new bound
[[nodiscard]] std::size_t updatedHostCacheSize(std::size_t before, std::size_t depth,
                                               bool fast) noexcept;

} // namespace balsamport

#endif
