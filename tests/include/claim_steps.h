#ifndef BALSAMPORT_TESTS_CLAIM_STEPS_H
#define BALSAMPORT_TESTS_CLAIM_STEPS_H

#include "claim_world.h"

#include <rapidcheck.h>
#include <rapidcheck/state.h>

#include <iostream>

namespace balsamport::testing {

/// @brief Fails the test case with the first promise that was broken.
inline void failOn(const std::vector<Violation> &violations)
{
    for (const Violation &violation : violations) {
        RC_FAIL(std::string(promiseName(violation.promise)) + " of " + violation.subject);
    }
}

/// @brief What a history begins with.
struct ClaimModel
{
    std::uint64_t choice = 0;
};

/// @brief Chooses the fleet of a history by one number.
inline ClaimWorld::Shape claimShapeOf(std::uint64_t choice, Plant plant = Plant::None)
{
    constexpr std::array<std::uint32_t, 6> dataCentres{3, 3, 3, 1, 2, 4};
    ClaimWorld::Shape shape;
    shape.dataCentres = dataCentres[choice % dataCentres.size()];
    shape.vmsEach = shape.dataCentres == 1 ? 3 : 2 + static_cast<std::uint32_t>(choice / 6 % 2);
    shape.tableSize = choice / 12 % 3 == 0 ? 2 : 1'000;
    shape.plant = plant;
    return shape;
}

/// @brief One step of a history: what a caller does, a fault, or time that passes.
class ClaimStepCommand : public rc::state::Command<ClaimModel, ClaimWorld>
{
public:
    explicit ClaimStepCommand(std::uint64_t choice)
        : choice(choice)
    { }

    void run(const ClaimModel & /*model*/, ClaimWorld &world) const override
    {
        WorldRandom random(this->choice);
        const std::uint64_t kind = random.below(32);
        const std::uint64_t what = random.next();
        const Millis time(static_cast<std::int64_t>(random.below(2) == 0 ? random.below(300)
                                                                         : random.below(25'000)));
        if (kind < 12) {
            this->call(world, kind, what, random.next());
        } else if (kind < 18) {
            world.advance(Millis(static_cast<std::int64_t>(what % 400)));
        } else if (kind < 20) {
            world.advance(Millis(static_cast<std::int64_t>(what % 8'000)));
        } else {
            this->hurt(world, kind, what, time);
        }
        failOn(world.oracle().violations());
    }

    void show(std::ostream &out) const override { out << "step " << this->choice; }

private:
    static void call(ClaimWorld &world, std::uint64_t kind, std::uint64_t what,
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

    static void hurt(ClaimWorld &world, std::uint64_t kind, std::uint64_t what, Millis time)
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
        default:
            world.serviceDown(time);
            break;
        }
    }

    std::uint64_t choice;
};

/// @return any number, whatever the size of the test case
inline rc::Gen<std::uint64_t> anyChoice()
{
    constexpr std::uint64_t bound = std::uint64_t{1} << 48U;
    return rc::gen::resize(rc::kNominalSize, rc::gen::inRange<std::uint64_t>(0, bound));
}

/// @brief Runs one random history to its end.
/// @param collect takes the world before it goes
template<typename Collect>
void runClaimHistory(Plant plant, const Collect &collect)
{
    const std::uint64_t choice = *anyChoice();
    ClaimWorld world(claimShapeOf(choice, plant), choice);
    using CommandPtr = std::shared_ptr<const rc::state::Command<ClaimModel, ClaimWorld>>;
    rc::state::check(ClaimModel{choice}, world, [](const ClaimModel &) {
        return rc::gen::map(anyChoice(), [](std::uint64_t number) -> CommandPtr {
            return std::make_shared<const ClaimStepCommand>(number);
        });
    });
    const auto violations = world.finish();
    collect(world);
    failOn(violations);
}

} // namespace balsamport::testing

#endif
