#include <balsamport/edge/engine_profile.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <cmath>
#include <random>
#include <vector>

using namespace balsamport;

namespace {

/// How an engine really works, as the test plays it.
struct TrueEngine
{
    double prefillMsPerToken = 0;
    double tokensPerMillionPairs = 0;
    double decodeStepMs = 0;
    double decodeStepsPerEvent = 0;
    std::uint32_t prefillTokensPerStep = 0;
    double promptTokens = 0; ///< Median of its callers' prompts.
    std::uint32_t allowedTokens = 0; ///< That its callers let a stream have.
};

double readingMs(const TrueEngine &engine, std::uint32_t tokens)
{
    const double pairs = static_cast<double>(tokens) * tokens / 2 / 1'000'000;
    return engine.prefillMsPerToken * (tokens + pairs * engine.tokensPerMillionPairs);
}

/// Plays some seconds of load: prompts, some read alone and some between others, and streams.
void play(const TrueEngine &engine, EngineSamples &samples, EngineProfile &profile, int requests,
          std::mt19937 &random)
{
    std::lognormal_distribution<double> length(std::log(engine.promptTokens), 0.6);
    std::uniform_real_distribution<double> share(0, 1);
    for (int i = 0; i < requests; ++i) {
        const auto tokens = static_cast<std::uint32_t>(std::clamp(length(random), 50.0, 30'000.0));
        const double jitter = 4 * share(random);
        double time = readingMs(engine, tokens) + jitter;
        const bool alone = share(random) < 0.4;
        time += alone ? 0 : 200 * share(random); // Other prompts were read before its first piece.
        if (share(random) < 0.1) {
            time *= 0.3; // A part was cached that the owner does not know of.
        }
        if (share(random) < 0.05) {
            time += 3'000; // The engine stalled.
        }
        addPrefill(samples, profile,
                   PrefillSample{tokens, Millis(static_cast<std::int64_t>(time)), alone});
        const double used = share(random) < 0.1 ? 1.0 : 0.2 + 0.8 * share(random);
        const double perStep = engine.prefillTokensPerStep == 0 ? 1e9
                                                                : engine.prefillMsPerToken
                        * engine.prefillTokensPerStep * engine.decodeStepsPerEvent;
        const double beside = readingMs(engine, tokens);
        StreamTiming stream;
        stream.events = static_cast<std::uint32_t>(
                std::ceil(engine.allowedTokens * used / engine.decodeStepsPerEvent));
        stream.outputTokens = engine.allowedTokens;
        const double event = engine.decodeStepMs * engine.decodeStepsPerEvent;
        stream.lowerQuartileGap = Millis(static_cast<std::int64_t>(event + jitter / 2));
        stream.longestGap = Millis(static_cast<std::int64_t>(
                event + std::min(beside, perStep) * (0.6 + 0.4 * share(random))));
        addStream(samples, profile, stream, Millis(static_cast<std::int64_t>(beside)));
        if (samples.taken % 4 == 0) {
            profile = estimateProfile(samples, profile);
        }
    }
    profile = estimateProfile(samples, profile);
}

} // namespace

TEST_CASE("load pattern: engines that nobody knows, slow and fast ones")
{
    const std::vector<TrueEngine> engines{
            {1 / 25.8, 28.4, 8.2, 3, 4'096, 2'000, 120},
            {1 / 38.4, 24.8, 5.23, 4, 2'048, 7'000, 208},
            {1 / 38.4, 24.8, 5.23, 6, 2'048, 7'000, 240},
            {1 / 8.0, 18, 22, 2, 1'024, 900, 64},
            {1 / 120.0, 35, 3, 8, 16'384, 12'000, 800},
    };
    for (std::size_t which = 0; which < engines.size(); ++which) {
        const TrueEngine &engine = engines[which];
        DYNAMIC_SECTION("engine " << which)
        {
            std::mt19937 random(static_cast<unsigned>(20261204 + which));
            EngineSamples samples;
            EngineProfile profile;

            SECTION("after some two seconds its reading is known within a quarter")
            {
                play(engine, samples, profile, 14, random);
                REQUIRE(profile.prefillMsPerToken
                        == Approx(engine.prefillMsPerToken).epsilon(0.25));
                REQUIRE(eventInterval(profile).count()
                        == Approx(engine.decodeStepMs * engine.decodeStepsPerEvent).epsilon(0.25));
            }

            SECTION("after some ten seconds all is known, and no cautious start is left")
            {
                play(engine, samples, profile, 120, random);
                REQUIRE(profile.prefillMsPerToken
                        == Approx(engine.prefillMsPerToken).epsilon(0.15));
                REQUIRE(profile.decodeStepsPerEvent
                        == Approx(engine.decodeStepsPerEvent).margin(0.6));
                REQUIRE(eventInterval(profile).count()
                        == Approx(engine.decodeStepMs * engine.decodeStepsPerEvent).epsilon(0.15));

                SECTION("a build that reads at half the speed is noticed within seconds")
                {
                    TrueEngine slower = engine;
                    slower.prefillMsPerToken *= 2;
                    play(slower, samples, profile, 120, random);
                    REQUIRE(profile.prefillMsPerToken
                            == Approx(slower.prefillMsPerToken).epsilon(0.15));
                }
            }
        }
    }
}

TEST_CASE("load pattern: prompts longer than what one event's steps read")
{
    EngineProfile profile;
    profile.prefillMsPerToken = 0.025;
    profile.decodeStepMs = 5;
    profile.decodeStepsPerEvent = 4;
    EngineSamples samples;
    const auto stream = [&](Millis pause, Millis reading) {
        addStream(samples, profile, StreamTiming{20, 0, Millis(20), Millis(20) + pause}, reading);
    };

    SECTION("streams that pause for a part of the prompt show the bound of a step")
    {
        for (int i = 0; i < 20; ++i) {
            stream(Millis(190 + i % 10), Millis(200 + 20 * i));
        }
        // 199 ms in the four steps of an event are some 2,000 tokens a step.
        const EngineProfile learnt = estimateProfile(samples, profile);
        REQUIRE(learnt.prefillTokensPerStep == Approx(2'000).epsilon(0.15));
    }

    SECTION("streams that pause for the whole prompt show none")
    {
        for (int i = 0; i < 20; ++i) {
            stream(Millis(195 + 20 * i), Millis(200 + 20 * i));
        }
        REQUIRE(estimateProfile(samples, profile).prefillTokensPerStep == 0);
    }

    SECTION("nor do streams beside short prompts only")
    {
        for (int i = 0; i < 20; ++i) {
            stream(Millis(90), Millis(95));
        }
        REQUIRE(estimateProfile(samples, profile).prefillTokensPerStep == 0);
    }
}

TEST_CASE("load pattern: adapters from the store and from the host's memory")
{
    EngineProfile profile;

    SECTION("loads that are over at the first look are looked for earlier")
    {
        for (int i = 0; i < 20; ++i) {
            REQUIRE_FALSE(recordLoadTime(profile, std::max(profile.storeLoadTime, Millis(250)),
                                         profile.storeLoadTime >= Millis(250)));
        }
        REQUIRE(profile.storeLoadTime >= Millis(150));
        REQUIRE(profile.storeLoadTime <= Millis(270));
        REQUIRE(profile.hostCacheLoadTime == EngineProfile().hostCacheLoadTime);
    }

    SECTION("a store that many load from is slower, and is believed to be")
    {
        for (int i = 0; i < 20; ++i) {
            recordLoadTime(profile, Millis(900), false);
        }
        REQUIRE(profile.storeLoadTime.count() == Approx(900).epsilon(0.05));
    }

    SECTION("a load that was fast is a warm one, whatever was expected")
    {
        REQUIRE(recordLoadTime(profile, Millis(30), false));
        REQUIRE(profile.storeLoadTime == EngineProfile().storeLoadTime);
    }

    SECTION("how many adapters the host keeps is learnt from the depth of slow loads")
    {
        std::size_t bound = 0;
        bound = updatedHostCacheSize(bound, 30, true);
        REQUIRE(bound == 0);
        bound = updatedHostCacheSize(bound, 54, false);
        REQUIRE(bound == 54);
        bound = updatedHostCacheSize(bound, 60, true);
        REQUIRE(bound == 61);

        SECTION("and one slow load near the newest moves it by half only")
        {
            REQUIRE(updatedHostCacheSize(bound, 1, false) == 31);
        }
    }
}

TEST_CASE("profiles that differ by more than a fifth are told apart")
{
    EngineProfile a;
    EngineProfile b;
    REQUIRE_FALSE(differsSignificantly(a, b));
    b.prefillMsPerToken *= 1.1;
    REQUIRE_FALSE(differsSignificantly(a, b));
    b.prefillMsPerToken *= 1.3;
    REQUIRE(differsSignificantly(a, b));
}

TEST_CASE("load pattern: many daemons that own one engine each, and have few samples")
{
    const TrueEngine engine{1 / 25.8, 28.4, 8.2, 3, 4'096, 2'000, 120};
    std::mt19937 random(20261204);
    std::vector<MeasuredProfile> measured;
    for (int daemon = 0; daemon < 30; ++daemon) {
        EngineSamples samples;
        EngineProfile own;
        play(engine, samples, own, 6, random);
        measured.push_back(measureProfile(samples, own));
    }
    const EngineProfile joined = mergeProfiles(measured, EngineProfile());
    REQUIRE(joined.prefillMsPerToken == Approx(engine.prefillMsPerToken).epsilon(0.15));
    REQUIRE(joined.decodeStepsPerEvent == Approx(engine.decodeStepsPerEvent).margin(0.6));

    SECTION("one that measured nonsense does not move the others")
    {
        MeasuredProfile wrong;
        wrong.profile.prefillMsPerToken = 9;
        wrong.profile.storeLoadTime = Millis(60'000);
        wrong.prefills = 64;
        wrong.loads = 16;
        measured.push_back(wrong);
        for (MeasuredProfile &one : measured) {
            one.loads = std::max(one.loads, 2U);
        }
        const EngineProfile again = mergeProfiles(measured, EngineProfile());
        REQUIRE(again.prefillMsPerToken == Approx(joined.prefillMsPerToken).epsilon(0.3));
        REQUIRE(again.storeLoadTime < Millis(1'000));
    }

    SECTION("too few samples in all leave the cautious start")
    {
        MeasuredProfile few;
        few.profile.prefillMsPerToken = 9;
        few.prefills = 2;
        REQUIRE(mergeProfiles({few}, EngineProfile()) == EngineProfile());
    }
}

TEST_CASE("a profile that no engine can have is not taken from another daemon")
{
    MeasuredProfile told;
    told.prefills = 20;
    REQUIRE(isPlausible(told));

    SECTION("no number")
    {
        told.profile.prefillMsPerToken = std::nan("");
        REQUIRE_FALSE(isPlausible(told));
    }
    SECTION("without end")
    {
        told.profile.decodeStepMs = HUGE_VAL;
        REQUIRE_FALSE(isPlausible(told));
    }
    SECTION("no time at all")
    {
        told.profile.storeLoadTime = Millis(0);
        REQUIRE_FALSE(isPlausible(told));
    }
    SECTION("less than a step for an event")
    {
        told.profile.decodeStepsPerEvent = 0;
        REQUIRE_FALSE(isPlausible(told));
    }
    SECTION("a weight that would outvote all others")
    {
        told.loads = 4'000'000'000U;
        REQUIRE_FALSE(isPlausible(told));
    }
}
