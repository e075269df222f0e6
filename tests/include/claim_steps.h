#ifndef BALSAMPORT_TESTS_CLAIM_STEPS_H
#define BALSAMPORT_TESTS_CLAIM_STEPS_H

#include "claim_world.h"
#include "history_steps.h"

namespace balsamport::testing {

/// @brief Chooses the fleet of a history by one number.
inline ClaimWorld::Shape claimShapeOf(std::uint64_t choice, ClaimDefect defect = ClaimDefect::None)
{
    constexpr std::array<std::uint32_t, 6> dataCentres{3, 3, 3, 1, 2, 4};
    ClaimWorld::Shape shape;
    shape.dataCentres = dataCentres[choice % dataCentres.size()];
    shape.vmsEach = shape.dataCentres == 1 ? 3 : 2 + static_cast<std::uint32_t>(choice / 6 % 2);
    shape.tableSize = choice / 12 % 3 == 0 ? 2 : 1'000;
    shape.clockSkew = Millis(choice / 36 % 2 == 0 ? 300 : 2'000);
    shape.defect = defect;
    return shape;
}

namespace detail {

inline void callClaims(ClaimWorld &world, std::uint64_t kind, std::uint64_t what,
                       std::uint64_t gateway)
{
    if (kind < 2) {
        world.newKey(what);
    }
    world.send(what, gateway);
    if (kind > 8) {
        world.send(what, gateway + 1); // The same key at two gateways at once.
    }
}

inline void hurtClaims(ClaimWorld &world, std::uint64_t kind, std::uint64_t what, Millis time)
{
    switch (kind) {
    case 20:
    case 21:
        world.pauseController(what, time);
        break;
    case 22:
    case 23:
        world.restartController(what, time / 10);
        break;
    case 24:
        world.pauseGateway(what, time);
        break;
    case 25:
        world.killGateway(what);
        break;
    case 26:
        world.cutOff(what, time);
        break;
    case 27:
        world.platformDown(time);
        break;
    case 28:
    case 29:
        world.changeList(what);
        break;
    case 30:
        world.setChaos(what, what / 64);
        break;
    case 31:
        world.raceHandover(what);
        break;
    case 32:
        world.raceLapse(what);
        break;
    default:
        world.serviceDown(time);
        break;
    }
}

} // namespace detail

/// @brief One step: what a caller does, a fault, or time that passes.
inline void applyStep(ClaimWorld &world, std::uint64_t choice)
{
    WorldRandom random(choice);
    const std::uint64_t kind = random.below(34);
    const std::uint64_t what = random.next();
    const std::uint64_t longest = random.below(2) == 0 ? 300 : 25'000;
    const Millis time(static_cast<std::int64_t>(random.below(longest)));
    if (kind < 12) {
        detail::callClaims(world, kind, what, random.next());
    } else if (kind < 18) {
        world.advance(Millis(static_cast<std::int64_t>(what % 400)));
    } else if (kind < 20) {
        world.advance(Millis(static_cast<std::int64_t>(what % 8'000)));
    } else {
        detail::hurtClaims(world, kind, what, time);
    }
}

/// @brief Runs one random history to its end.
/// @param collect takes the world before it goes
template<typename Collect>
void runClaimHistory(ClaimDefect defect, const Collect &collect)
{
    const std::uint64_t choice = *anyChoice();
    ClaimWorld world(claimShapeOf(choice, defect), choice);
    runSteps(world);
    collect(world);
}

} // namespace balsamport::testing

#endif
