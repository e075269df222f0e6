#ifndef BALSAMPORT_EDGE_ENGINE_PROFILE_H
#define BALSAMPORT_EDGE_ENGINE_PROFILE_H

#include <balsamport/core/clock.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <vector>

namespace balsamport {

/// @brief Times and limits of the engines of a service.
///
/// The defaults describe no real engine: they are slow enough that the first requests to an unknown
/// one don't stall its streams. Measured values replace them one by one.
struct EngineProfile
{
    double prefillMsPerToken = 0.05; ///< Prefill time of one token, without attention.
    double tokensPerMillionPairs = 25; ///< Cost of attention, in tokens per million token pairs.
    double decodeStepMs = 12; ///< One decode step without prefill.
    double decodeStepsPerEvent = 5; ///< Tokens in one event of a stream.
    std::uint32_t prefillTokensPerStep = 0; ///< Most in one step; 0 while no limit is known.
    Millis storeLoadTime{400}; ///< Of an adapter from the store.
    Millis hostCacheLoadTime{60}; ///< Of an adapter from the engine's host memory.
    std::size_t hostCachedAdapters = 0; ///< Most in host memory; 0 while no limit is known.

    bool operator==(const EngineProfile &) const = default;
};

/// @brief Measured prefill time of a prompt.
struct PrefillSample
{
    std::uint32_t tokens = 0;
    Millis time;
    bool isolated = false; ///< No other prefill was granted from its grant to its first chunk.

    bool operator==(const PrefillSample &) const = default;
};

/// @brief Timing of a stream that a daemon relayed from an engine of its own region.
struct StreamTiming
{
    std::uint32_t events = 0;
    std::uint32_t outputTokens = 0; ///< Most that the caller allowed.
    Millis lowerQuartileGap; ///< Between events.
    Millis longestGap; ///< Between events.

    bool operator==(const StreamTiming &) const = default;
};

/// @brief Longest token gap of a stream, with the longest prefill of another request meanwhile.
struct TokenGapSample
{
    Millis excess; ///< Of the gap over the usual interval between events.
    Millis prefill; ///< Estimated time of that prefill alone.

    bool operator==(const TokenGapSample &) const = default;
};

/// @brief Newest samples of a service from all of its engines that a daemon owns. Newest last.
struct EngineSamples
{
    std::deque<PrefillSample> prefills; ///< Isolated ones.
    std::deque<PrefillSample> queuedPrefills; ///< Not isolated; mostly measured too long.
    std::deque<double> eventIntervals; ///< In ms, between events without a prefill.
    std::deque<double> eventSizes; ///< Upper bounds of the tokens in an event.
    std::deque<TokenGapSample> tokenGaps;
    std::uint64_t totalCount = 0; ///< Samples ever added.

    bool operator==(const EngineSamples &) const = default;
};

/// @brief Speed of one engine relative to its service's profile.
///
/// Engines of one service differ in speed, and some slow down for a while.
struct EngineSpeed
{
    double slowdown = 1; ///< Factor on the times of the profile.
    std::deque<PrefillSample> samples; ///< Newest last.

    bool operator==(const EngineSpeed &) const = default;
};

/// @return the estimated prefill time of a prompt; attention grows with the square of its length
[[nodiscard]] Millis prefillDuration(const EngineProfile &profile, std::uint32_t tokens);

/// @return the interval between two events of a stream without prefill
[[nodiscard]] Millis eventInterval(const EngineProfile &profile);

/// @return decode steps between two events, rounded, at least 1
[[nodiscard]] std::size_t wholeDecodeStepsPerEvent(const EngineProfile &profile);

/// @brief Adds a measured prefill. Short prompts are left out, as jitter dominates their times.
void addPrefill(EngineSamples &samples, const EngineProfile &profile, const PrefillSample &sample);

/// @brief Adds the timing of a complete stream.
/// @param longestPrefill of other requests between its first and last event; 0 for none
void addStream(EngineSamples &samples, const EngineProfile &profile, const StreamTiming &stream,
               Millis longestPrefill);

/// @brief Moves a profile's load time towards a measured one.
/// @param time from the command to the poll that found the adapter loaded
/// @param firstPoll no earlier poll found it still loading, so the load itself was shorter
/// @return true where the load was from the host cache, judged by its time
bool recordLoadTime(EngineProfile &profile, Millis time, bool firstPoll);

/// @brief A profile as one daemon measured it, with numbers of samples.
struct MeasuredProfile
{
    EngineProfile profile;
    std::uint32_t prefills = 0; ///< For the prefill times.
    std::uint32_t streams = 0; ///< For the intervals and sizes of events.
    std::uint32_t tokenGaps = 0; ///< For the prefill tokens of a step.
    std::uint32_t loads = 0; ///< For the load times.

    bool operator==(const MeasuredProfile &) const = default;
};

/// @return true where a profile from another daemon can describe an engine: its values are numbers
/// above 0, and no weight exceeds the samples that a daemon keeps
[[nodiscard]] bool isPlausible(const MeasuredProfile &measured) noexcept;

/// @brief Measures a profile from a daemon's own samples.
///
/// Of isolated prefills the median is used. Others are measured too long where a prompt had to
/// queue; without enough isolated ones, their lower tercile is used.
/// @param previous the profile so far; values without samples are taken from it
/// @complexity O(n log n) for n samples, of which a bounded number is kept
[[nodiscard]] MeasuredProfile measureProfile(const EngineSamples &samples,
                                             const EngineProfile &previous);

/// @brief Merges the profiles that daemons measured: the median of each value, weighted by its
/// samples. A value with too few samples in total stays unchanged.
/// @param previous the profile so far
[[nodiscard]] EngineProfile mergeProfiles(const std::vector<MeasuredProfile> &measured,
                                          const EngineProfile &previous);

/// @brief Estimates a profile from the samples of one daemon.
/// Example: `profile = estimateProfile(samples, profile);`
[[nodiscard]] EngineProfile estimateProfile(const EngineSamples &samples,
                                            const EngineProfile &previous);

/// @brief Adds a measured prefill to an engine's speed.
void recordSpeed(EngineSpeed &speed, const EngineProfile &profile, const PrefillSample &sample);

/// @return true where any value differs by more than a fifth
[[nodiscard]] bool differsSignificantly(const EngineProfile &a, const EngineProfile &b);

/// @brief Updates the estimated number of adapters in an engine's host memory after a load.
/// @param previous the estimate so far; 0 for none
/// @param cacheDepth position of the adapter among those assumed in host memory, 0 for the newest
/// @param fast the load took the time of a load from the host cache
/// @return the new estimate; 0 for none
[[nodiscard]] std::size_t updatedHostCacheSize(std::size_t previous, std::size_t cacheDepth,
                                               bool fast) noexcept;

} // namespace balsamport

#endif
