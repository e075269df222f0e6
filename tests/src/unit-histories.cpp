#include "claim_steps.h"

#include <catch2/catch.hpp>

#include <sstream>

using namespace balsamport;
using namespace balsamport::testing;

namespace {

constexpr std::uint64_t fixedSeed = 20'261'204;

constexpr int historyCount = 2'000;

struct HistoryRun
{
    bool passed = false;
    std::string message; ///< What RapidCheck says of a failure.
    std::uint64_t won = 0;
    std::uint64_t toldNotRun = 0;
};

/// Runs histories with a fixed seed until one breaks a promise.
HistoryRun runHistories(Plant plant)
{
    HistoryRun run;
    rc::detail::TestParams params;
    params.seed = fixedSeed;
    params.maxSuccess = historyCount;
    params.disableShrinking = true;
    const auto result = rc::detail::checkTestable(
            [plant, &run] {
                runClaimHistory(plant, [&run](const ClaimWorld &world) {
                    run.won += world.won();
                    run.toldNotRun += world.toldNotRun();
                });
            },
            rc::detail::TestMetadata(), params);
    std::ostringstream text;
    rc::detail::printResultMessage(result, text);
    run.passed = result.is<rc::detail::SuccessResult>();
    run.message = text.str();
    return run;
}

/// Whether the oracle reported a promise as broken.
bool reports(Plant plant, Promise promise)
{
    const HistoryRun run = runHistories(plant);
    UNSCOPED_INFO(run.message);
    return !run.passed && run.message.find(promiseName(promise)) != std::string::npos;
}

} // namespace

TEST_CASE("non-repeatable requests in random histories")
{
    SECTION("run at most once, and not-run is never false")
    {
        const HistoryRun run = runHistories(Plant::None);
        INFO(run.message);
        REQUIRE(run.passed);
        REQUIRE(run.won > historyCount);
        REQUIRE(run.toldNotRun > 0);
    }
    SECTION("the oracle finds a witness that grants twice")
    {
        REQUIRE(reports(Plant::WitnessGrantsTwice, Promise::AtMostOnce));
    }
    SECTION("the oracle finds a fresh witness that trusts its memory")
    {
        REQUIRE(reports(Plant::WitnessForgetsAtRestart, Promise::AtMostOnce));
    }
    SECTION("the oracle finds a full table without a watermark")
    {
        REQUIRE(reports(Plant::WitnessForgetsWhenFull, Promise::AtMostOnce));
    }
    SECTION("the oracle finds witnesses with stale views")
    {
        REQUIRE(reports(Plant::StaleViewGrants, Promise::AtMostOnce));
    }
    SECTION("the oracle finds a retry after dispatch")
    {
        REQUIRE(reports(Plant::RetryAfterDispatch, Promise::AtMostOnce));
    }
    SECTION("the oracle finds a false not-run")
    {
        REQUIRE(reports(Plant::FalseNotRun, Promise::HonestNotRun));
    }
    SECTION("the oracle finds a dispatch after not-run was told")
    {
        REQUIRE(reports(Plant::DispatchAfterNotRun, Promise::HonestNotRun));
    }
}
