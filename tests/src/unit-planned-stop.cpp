#include <balsamport/edge/planned_stop.h>

#include <catch2/catch.hpp>

using namespace balsamport;

namespace {

constexpr Millis now(100'000);
constexpr Millis drainTime(2'500);

} // namespace

// Guards against a stop whose times fit only one grace: final responses that come after the kill or
// far too early.
TEST_CASE("the times of a stop follow its grace")
{
    SECTION("8 s: final responses after 7 s, the end after 7.5 s at the latest")
    {
        const StopPlan plan = planStop(Millis(8'000), drainTime, now);
        REQUIRE(plan.startedAt == now);
        REQUIRE(plan.admitUntil == now + drainTime);
        REQUIRE(plan.answerAt == now + Millis(7'000));
        REQUIRE(plan.exitAt == now + Millis(7'500));
        REQUIRE(plan.idleTime == Millis(400));
    }

    SECTION("for each grace, the moments are in order and within it")
    {
        for (int seconds = 1; seconds <= 60; ++seconds) {
            const Millis grace(seconds * 1'000);
            const StopPlan plan = planStop(grace, drainTime, now);
            CAPTURE(seconds);
            REQUIRE(plan.admitUntil <= plan.answerAt);
            REQUIRE(plan.answerAt < plan.exitAt);
            REQUIRE(plan.exitAt < now + grace);
            REQUIRE(plan.exitAt - plan.answerAt >= now + grace - plan.exitAt);

            // Servers may work on a request until the last sixth of the grace.
            REQUIRE(plan.answerAt - now >= grace - grace / 6);
            REQUIRE(plan.answerAt - now >= grace - Millis(1'000));
            REQUIRE(plan.idleTime > Millis(0));
            REQUIRE(plan.idleTime <= Millis(400));
        }
    }
}

// Guards against requests that are passed on although they can't end in the grace, and against the
// refusal of quick requests because their time-out is long.
TEST_CASE("a request is passed on during a stop if it is expected to end in time")
{
    const StopPlan plan = planStop(Millis(8'000), drainTime, now);
    const Millis longDeadline = now + Millis(20'000);
    RecentDurations durations;

    SECTION("while nothing is known of its kind, its deadline decides")
    {
        REQUIRE_FALSE(expectedDuration(durations));
        REQUIRE_FALSE(canEndInTime(plan, std::nullopt, longDeadline, now));
        REQUIRE(canEndInTime(plan, std::nullopt, plan.answerAt, now));
        for (int i = 0; i < 7; ++i) {
            recordDuration(durations, Millis(20));
        }
        REQUIRE_FALSE(expectedDuration(durations));
    }

    SECTION("requests of its kind are quick: it is passed on until shortly before the end")
    {
        for (int i = 0; i < 8; ++i) {
            recordDuration(durations, Millis(20));
        }
        REQUIRE(expectedDuration(durations) == Millis(20));
        const auto expected = expectedDuration(durations);
        REQUIRE(canEndInTime(plan, expected, longDeadline, now));
        REQUIRE(canEndInTime(plan, expected, longDeadline, plan.answerAt - Millis(20)));
        REQUIRE_FALSE(canEndInTime(plan, expected, longDeadline, plan.answerAt - Millis(19)));
    }

    SECTION("requests of its kind are slow: a near deadline still ends it in time")
    {
        REQUIRE_FALSE(canEndInTime(plan, Millis(9'000), longDeadline, now));
        REQUIRE(canEndInTime(plan, Millis(9'000), now + Millis(1'000), now));
    }

    SECTION("one slow request in a hundred is left out, one in ten is not")
    {
        for (int i = 0; i < 63; ++i) {
            recordDuration(durations, Millis(20));
        }
        recordDuration(durations, Millis(9'000));
        REQUIRE(expectedDuration(durations) == Millis(20));
        for (int i = 0; i < 5; ++i) {
            recordDuration(durations, Millis(9'000));
        }
        REQUIRE(expectedDuration(durations) == Millis(9'000));
    }

    SECTION("only the newest requests count")
    {
        for (int i = 0; i < 64; ++i) {
            recordDuration(durations, Millis(9'000));
        }
        for (int i = 0; i < 64; ++i) {
            recordDuration(durations, Millis(20));
        }
        REQUIRE(expectedDuration(durations) == Millis(20));
    }
}
