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
                = playCommands(seed, drawCommandSteps(random, 400), CommandDefect::None);
        INFO("seed " << seed);
        CHECK(history.violation.empty());
        REQUIRE(history.counted > 0);
    }
}
