// Guards against trusting reservations of an engine that keep nobody apart, and against an engine
// that refuses all and is never commanded (docs/incidents/unarbitrated-engines.md).
#include <balsamport/edge/engine_arbitration.h>

#include <catch2/catch.hpp>

using namespace balsamport;

TEST_CASE("an engine's reservations are tried before they are trusted")
{
    const CommandLeaseTimings timings;
    EngineArbitration state;
    startArbitration(state, 7);
    const Millis now{10'000};
    REQUIRE(state.kind == EngineArbitration::Kind::Unverified);

    SECTION("one that refuses a second reservation arbitrates")
    {
        recordReservationGranted(state);
        recordSecondReservation(state, false);
        REQUIRE_FALSE(isArbitrationAbsent(state, timings, now));
    }
    SECTION("one that grants a second reservation doesn't")
    {
        recordReservationGranted(state);
        recordSecondReservation(state, true);
        REQUIRE(isArbitrationAbsent(state, timings, now));
        SECTION("until it restarts")
        {
            startArbitration(state, 7);
            REQUIRE(isArbitrationAbsent(state, timings, now));
            startArbitration(state, 8);
            REQUIRE_FALSE(isArbitrationAbsent(state, timings, now));
        }
    }
    SECTION("one that refuses for longer than any reservation lasts doesn't")
    {
        const Millis longest{2'650};
        recordReservationRefused(state, now);
        recordReservationRefused(state, now + Millis(300));
        REQUIRE_FALSE(isArbitrationAbsent(state, timings, now + longest - Millis(1)));
        REQUIRE(isArbitrationAbsent(state, timings, now + longest));
        SECTION("unless it granted one meanwhile")
        {
            recordReservationGranted(state);
            REQUIRE_FALSE(isArbitrationAbsent(state, timings, now + longest));
        }
        SECTION("unless another daemon commanded it, which had the reservation")
        {
            recordOtherHolder(state);
            REQUIRE_FALSE(isArbitrationAbsent(state, timings, now + longest));
        }
    }
}
