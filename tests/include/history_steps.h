#ifndef BALSAMPORT_TESTS_HISTORY_STEPS_H
#define BALSAMPORT_TESTS_HISTORY_STEPS_H

#include "history_oracle.h"

#include <rapidcheck.h>
#include <rapidcheck/state.h>

#include <cstdint>
#include <memory>
#include <ostream>
#include <string>

namespace balsamport::testing {

/// @brief Fails the test case with the first violated guarantee.
inline void failOnViolation(const std::vector<Violation> &violations)
{
    for (const Violation &violation : violations) {
        RC_FAIL(std::string(guaranteeName(violation.guarantee)) + " of " + violation.subject);
    }
}

/// @return any number, independent of the size of the test case
inline rc::Gen<std::uint64_t> anyChoice()
{
    constexpr std::uint64_t bound = std::uint64_t{1} << 48U;
    return rc::gen::resize(rc::kNominalSize, rc::gen::inRange<std::uint64_t>(0, bound));
}

/// @brief The model state for the choice of steps; every step is always allowed.
struct AnyStepModel
{ };

/// @brief One step of a history. A world has `applyStep(world, choice)`, which derives from a
/// number an action of a caller, a fault or a passage of time.
template<typename World>
class StepCommand : public rc::state::Command<AnyStepModel, World>
{
public:
    explicit StepCommand(std::uint64_t choice)
        : choice(choice)
    { }

    void run(const AnyStepModel & /*model*/, World &world) const override
    {
        applyStep(world, this->choice);
        failOnViolation(world.oracle().violations());
    }

    void show(std::ostream &out) const override { out << "step " << this->choice; }

private:
    std::uint64_t choice;
};

/// @brief Runs random steps in a world up to the end of the history.
template<typename World>
void runSteps(World &world)
{
    using CommandPtr = std::shared_ptr<const rc::state::Command<AnyStepModel, World>>;
    rc::state::check(AnyStepModel(), world, [](const AnyStepModel &) {
        return rc::gen::map(anyChoice(), [](std::uint64_t choice) -> CommandPtr {
            return std::make_shared<const StepCommand<World>>(choice);
        });
    });
    failOnViolation(world.finish());
}

} // namespace balsamport::testing

#endif
