#include "claim_steps.h"

#include <catch2/catch.hpp>

#include <rapidcheck/detail/Configuration.h>

using namespace balsamport;
using namespace balsamport::testing;

namespace {

constexpr std::uint64_t fixedSeed = 20'261'204;

/// Runs histories with a fixed seed.
rc::detail::TestResult runHistories(Plant plant, int count, std::uint64_t &won)
{
    rc::detail::TestParams params;
    params.seed = fixedSeed;
    params.maxSuccess = count;
    params.disableShrinking = true;
    return rc::detail::checkTestable(
            [plant, &won] {
                runClaimHistory(plant, [&won](const ClaimWorld &world) { won += world.won(); });
            },
            rc::detail::TestMetadata(), params);
}

bool succeeds(Plant plant, int count)
{
    std::uint64_t won = 0;
    const auto result = runHistories(plant, count, won);
    std::ostringstream text;
    rc::detail::printResultMessage(result, text);
    UNSCOPED_INFO(text.str());
    return result.is<rc::detail::SuccessResult>() && won > 0;
}

} // namespace

TEST_CASE("non-repeatable requests in random histories")
{
    SECTION("run at most once, and not-run is never false")
    {
        REQUIRE(succeeds(Plant::None, 2'000));
    }
    SECTION("the oracle finds a witness that grants twice")
    {
        REQUIRE_FALSE(succeeds(Plant::WitnessGrantsTwice, 2'000));
    }
    SECTION("the oracle finds a fresh witness that trusts its memory")
    {
        REQUIRE_FALSE(succeeds(Plant::WitnessForgetsAtRestart, 2'000));
    }
    SECTION("the oracle finds a full table without a watermark")
    {
        REQUIRE_FALSE(succeeds(Plant::WitnessForgetsWhenFull, 2'000));
    }
    SECTION("the oracle finds witnesses with stale views")
    {
        REQUIRE_FALSE(succeeds(Plant::StaleViewGrants, 2'000));
    }
    SECTION("the oracle finds a retry after dispatch")
    {
        REQUIRE_FALSE(succeeds(Plant::RetryAfterDispatch, 2'000));
    }
    SECTION("the oracle finds a false not-run")
    {
        REQUIRE_FALSE(succeeds(Plant::FalseNotRun, 2'000));
    }
    SECTION("the oracle finds a dispatch after not-run was told")
    {
        REQUIRE_FALSE(succeeds(Plant::DispatchAfterNotRun, 2'000));
    }
}
