// Guards against trusting reservations of an engine that keep nobody apart
// (docs/incidents/unarbitrated-engines.md).
#include <balsamport/edge/engine_arbitration.h>

#include <catch2/catch.hpp>

using namespace balsamport;

TEST_CASE("an engine's reservations are tried before they are trusted")
{
    EngineArbitration state;
    startArbitration(state, 7);
    REQUIRE(state.kind == EngineArbitration::Kind::Unverified);

    SECTION("one that refuses a second reservation arbitrates")
    {
        recordSecondReservation(state, false);
        REQUIRE(state.kind != EngineArbitration::Kind::Absent);
    }
    SECTION("one that grants a second reservation doesn't")
    {
        recordSecondReservation(state, true);
        REQUIRE(state.kind == EngineArbitration::Kind::Absent);
        SECTION("until it restarts")
        {
            startArbitration(state, 7);
            REQUIRE(state.kind == EngineArbitration::Kind::Absent);
            startArbitration(state, 8);
            REQUIRE(state.kind != EngineArbitration::Kind::Absent);
        }
    }
}
