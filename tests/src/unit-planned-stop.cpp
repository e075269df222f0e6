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
