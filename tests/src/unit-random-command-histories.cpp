#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <command_world.h>
#include <fixed_seed.h>

using namespace balsamport;
using namespace balsamport::testing;

namespace rc {

template<>
struct Arbitrary<CommandStep>
{
    static Gen<CommandStep> arbitrary()
    {
        return gen::build<CommandStep>(
                gen::set(&CommandStep::kind,
                         gen::map(gen::inRange(0, static_cast<int>(CommandStep::Kind::Count)),
                                  [](int kind) { return static_cast<CommandStep::Kind>(kind); })),
                gen::set(&CommandStep::daemon, gen::inRange<std::uint8_t>(0, 3)),
                gen::set(&CommandStep::value, gen::inRange<std::uint16_t>(0, 400)));
    }
};

} // namespace rc

// Guards against two holders of an engine in histories that RapidCheck draws and shrinks; in these,
// engines restart as often as anything else happens.
TEST_CASE("an engine has one holder in any random history")
{
    const bool holds = rc::check("no command breaks the rule", [] {
        const auto seed = *rc::gen::arbitrary<std::uint64_t>();
        const auto steps = *rc::gen::resize(
                100,
                rc::gen::container<std::vector<CommandStep>>(rc::gen::arbitrary<CommandStep>()));
        const CommandHistory history = playCommands(seed, steps, CommandConditions{});
        RC_ASSERT(history.violation.empty());
    });
    REQUIRE(holds);
}
