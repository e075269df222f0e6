#include <catch2/catch.hpp>

#include <command_world.h>

using namespace balsamport;
using namespace balsamport::testing;

// Guards against two holders of an engine that restarts without its base model, whose load all
// daemons begin with and which an engine accepts without comparing the count.
TEST_CASE("an engine that restarts empty has one holder in any history")
{
    for (std::uint64_t seed = 1; seed <= 30; ++seed) {
        std::mt19937_64 random(seed);
        const CommandHistory history
                = playCommands(seed, drawCommandSteps(random, 400), CommandConditions{});
        INFO("seed " << seed);
        CHECK(history.violation.empty());
        REQUIRE(history.counted > 0);
    }
}

// Guards against two holders of an engine whose reservations keep nobody apart, in cuts between
// daemons (docs/incidents/unarbitrated-engines.md).
TEST_CASE("an engine that doesn't arbitrate has one holder in any history of cuts")
{
    for (const EngineKind kind : {EngineKind::GrantAll, EngineKind::RefuseAll}) {
        CommandConditions conditions;
        conditions.engine = kind;
        for (std::uint64_t seed = 1; seed <= 30; ++seed) {
            std::mt19937_64 random(seed);
            const CommandHistory history
                    = playCommands(seed, drawCommandSteps(random, 400, true), conditions);
            INFO("kind " << static_cast<int>(kind) << " seed " << seed);
            CHECK(history.violation.empty());
            REQUIRE(history.counted > 0);
        }
    }
}
