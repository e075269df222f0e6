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

bool names(const HistoryRun &run, Promise promise)
{
    return !run.passed && run.message.find(promiseName(promise)) != std::string::npos;
}

/// Whether the oracle reported that a request was run twice, or run after not-run was told. A key
/// that is given away twice can show in either way first.
bool reportsDoubleGrant(Plant plant)
{
    const HistoryRun run = runHistories(plant);
    UNSCOPED_INFO(run.message);
    return names(run, Promise::AtMostOnce) || names(run, Promise::HonestNotRun);
}

bool reports(Plant plant, Promise promise)
{
    const HistoryRun run = runHistories(plant);
    UNSCOPED_INFO(run.message);
    return names(run, promise);
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
        REQUIRE(reportsDoubleGrant(Plant::WitnessGrantsTwice));
    }
    SECTION("the oracle finds a fresh witness that trusts its memory")
    {
        REQUIRE(reportsDoubleGrant(Plant::WitnessForgetsAtRestart));
    }
    SECTION("the oracle finds a full table without a watermark")
    {
        REQUIRE(reportsDoubleGrant(Plant::WitnessForgetsWhenFull));
    }
    SECTION("the oracle finds witnesses with stale views")
    {
        REQUIRE(reportsDoubleGrant(Plant::StaleViewGrants));
    }
    SECTION("the oracle finds a new witness that does not wait for the one before")
    {
        REQUIRE(reportsDoubleGrant(Plant::NoHandoverWait));
    }
    SECTION("the oracle finds a witness that forgets that its view lapsed")
    {
        REQUIRE(reportsDoubleGrant(Plant::LapseIgnored));
    }
    SECTION("the oracle finds a witness that takes keys from the future")
    {
        REQUIRE(reportsDoubleGrant(Plant::FutureKeysTaken));
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
