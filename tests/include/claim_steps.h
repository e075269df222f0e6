#ifndef BALSAMPORT_TESTS_CLAIM_STEPS_H
#define BALSAMPORT_TESTS_CLAIM_STEPS_H

#include "claim_world.h"
#include "history_steps.h"

namespace balsamport::testing {

/// @brief Derives the fleet of a history from one number.
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

inline void sendRequests(ClaimWorld &world, std::uint64_t kind, std::uint64_t target,
                         std::uint64_t gateway)
{
    if (kind < 2) {
        world.newKey(target);
    }
    world.send(target, gateway);
    if (kind > 8) {
        world.send(target, gateway + 1); // The same key at two gateways at the same time.
    }
}

inline void injectFault(ClaimWorld &world, std::uint64_t kind, std::uint64_t target, Millis time)
{
    switch (kind) {
    case 20:
    case 21:
        world.pauseController(target, time);
        break;
    case 22:
    case 23:
        world.restartController(target, time / 10);
        break;
    case 24:
        world.pauseGateway(target, time);
        break;
    case 25:
        world.killGateway(target);
        break;
    case 26:
        world.cutOff(target, time);
        break;
    case 27:
        world.platformDown(time);
        break;
    case 28:
    case 29:
        world.changeList(target);
        break;
    case 30:
        world.setChaos(target, target / 64);
        break;
    case 31:
        world.raceHandover(target);
        break;
    case 32:
        world.raceExpiry(target);
        break;
    default:
        world.serviceDown(time);
        break;
    }
}

} // namespace detail

/// @brief One step: an action of a caller, a fault, or a passage of time.
inline void applyStep(ClaimWorld &world, std::uint64_t choice)
{
    WorldRandom random(choice);
    const std::uint64_t kind = random.below(34);
    const std::uint64_t target = random.next();
    const std::uint64_t maxMillis = random.below(2) == 0 ? 300 : 25'000;
    const Millis time(static_cast<std::int64_t>(random.below(maxMillis)));
    if (kind < 12) {
        detail::sendRequests(world, kind, target, random.next());
    } else if (kind < 18) {
        world.advance(Millis(static_cast<std::int64_t>(target % 400)));
    } else if (kind < 20) {
        world.advance(Millis(static_cast<std::int64_t>(target % 8'000)));
    } else {
        detail::injectFault(world, kind, target, time);
    }
}

/// @brief Runs one random history to its end.
/// @param collect receives the world at the end of the history
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
