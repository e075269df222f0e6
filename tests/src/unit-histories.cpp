#include "claim_steps.h"
#include "response_world.h"
#include "suspect_world.h"

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
    std::uint64_t reportedNotRun = 0;
    std::uint64_t answers = 0; ///< Whole ones.
};

/// Runs histories with a fixed seed until one breaks a promise.
/// @param history runs one of them
template<typename History>
HistoryRun runHistories(const History &history)
{
    HistoryRun run;
    rc::detail::TestParams params;
    params.seed = fixedSeed;
    params.maxSuccess = historyCount;
    params.disableShrinking = true;
    const auto result
            = rc::detail::checkTestable([&] { history(run); }, rc::detail::TestMetadata(), params);
    std::ostringstream text;
    rc::detail::printResultMessage(result, text);
    run.passed = result.template is<rc::detail::SuccessResult>();
    run.message = text.str();
    return run;
}

HistoryRun runClaims(ClaimDefect defect)
{
    return runHistories([defect](HistoryRun &run) {
        runClaimHistory(defect, [&run](const ClaimWorld &world) {
            run.won += world.won();
            run.reportedNotRun += world.reportedNotRun();
        });
    });
}

HistoryRun runAnswers(ResponseDefect defect)
{
    return runHistories([defect](HistoryRun &run) {
        ResponseWorld world(defect, *anyChoice());
        runSteps(world);
        run.answers += world.completed();
    });
}

HistoryRun runCrashers(CrashPlant defect)
{
    return runHistories([defect](HistoryRun &run) {
        SuspectWorld world(defect, *anyChoice());
        runSteps(world);
        run.answers += world.finished();
    });
}

/// Whether the oracle reported a promise as broken.
bool names(const HistoryRun &run, Guarantee promise)
{
    UNSCOPED_INFO(run.message);
    return !run.passed && run.message.find(guaranteeName(promise)) != std::string::npos;
}

/// Whether the oracle reported that a request was run twice, or run after not-run was told. A key
/// that is given away twice can show in either way first.
bool reportsDoubleGrant(ClaimDefect defect)
{
    const HistoryRun run = runClaims(defect);
    return names(run, Guarantee::AtMostOnce) || names(run, Guarantee::CorrectNotRun);
}

bool reports(ClaimDefect defect, Guarantee promise)
{
    return names(runClaims(defect), promise);
}

} // namespace

TEST_CASE("non-repeatable requests in random histories")
{
    SECTION("run at most once, and not-run is never false")
    {
        const HistoryRun run = runClaims(ClaimDefect::None);
        INFO(run.message);
        REQUIRE(run.passed);
        REQUIRE(run.won > historyCount);
        REQUIRE(run.reportedNotRun > 0);
    }
    SECTION("the oracle finds a witness that grants twice")
    {
        REQUIRE(reportsDoubleGrant(ClaimDefect::WitnessGrantsTwice));
    }
    SECTION("the oracle finds a fresh witness that trusts its memory")
    {
        REQUIRE(reportsDoubleGrant(ClaimDefect::WitnessForgetsAtRestart));
    }
    SECTION("the oracle finds a full table without a watermark")
    {
        REQUIRE(reportsDoubleGrant(ClaimDefect::WitnessForgetsWhenFull));
    }
    SECTION("the oracle finds witnesses with stale views")
    {
        REQUIRE(reportsDoubleGrant(ClaimDefect::StaleViewGrants));
    }
    SECTION("the oracle finds a new witness that does not wait for the one before")
    {
        REQUIRE(reportsDoubleGrant(ClaimDefect::NoHandoverWait));
    }
    SECTION("the oracle finds a witness that forgets that its view lapsed")
    {
        REQUIRE(reportsDoubleGrant(ClaimDefect::LapseIgnored));
    }
    SECTION("the oracle finds a witness that takes keys from the future")
    {
        REQUIRE(reportsDoubleGrant(ClaimDefect::FutureKeysTaken));
    }
    SECTION("the oracle finds a retry after dispatch")
    {
        REQUIRE(reports(ClaimDefect::RetryAfterDispatch, Guarantee::AtMostOnce));
    }
    SECTION("the oracle finds a false not-run")
    {
        REQUIRE(reports(ClaimDefect::FalseNotRun, Guarantee::CorrectNotRun));
    }
    SECTION("the oracle finds a dispatch after not-run was told")
    {
        REQUIRE(reports(ClaimDefect::DispatchAfterNotRun, Guarantee::CorrectNotRun));
    }
}

TEST_CASE("answers in random histories")
{
    SECTION("are whole, in order and the caller's own")
    {
        const HistoryRun run = runAnswers(ResponseDefect::None);
        INFO(run.message);
        REQUIRE(run.passed);
        REQUIRE(run.answers > historyCount);
    }
    SECTION("the oracle finds chunks out of order")
    {
        REQUIRE(names(runAnswers(ResponseDefect::NoOrder), Guarantee::CompleteResponse));
    }
    SECTION("the oracle finds another request's or version's answer")
    {
        const HistoryRun run = runAnswers(ResponseDefect::NoMatch);
        REQUIRE((names(run, Guarantee::CompleteResponse) || names(run, Guarantee::RightAdapter)));
    }
    SECTION("the oracle finds a silent cut")
    {
        REQUIRE(names(runAnswers(ResponseDefect::SilentCut), Guarantee::CompleteResponse));
    }
}

TEST_CASE("crashers in random histories")
{
    SECTION("cost at most two backend servers, and innocents get their answers")
    {
        const HistoryRun run = runCrashers(CrashPlant::None);
        INFO(run.message);
        REQUIRE(run.passed);
        REQUIRE(run.answers > historyCount);
    }
    SECTION("the oracle finds crashes that other VMs are not told of")
    {
        REQUIRE(names(runCrashers(CrashPlant::NewsStaysLocal), Guarantee::CrasherCost));
    }
    SECTION("the oracle finds callers that are answered before the news is out")
    {
        REQUIRE(names(runCrashers(CrashPlant::NoWaitForNews), Guarantee::CrasherCost));
    }
    SECTION("the oracle finds innocents that share a server with a suspect")
    {
        REQUIRE(names(runCrashers(CrashPlant::SuspectsTogether), Guarantee::CompleteResponse));
    }
}

TEST_CASE("the oracle knows every promise")
{
    HistoryOracle oracle;
    const auto add = [&oracle](EventKind kind, Millis at, const std::string &server,
                               const std::string &adapter = "", std::uint64_t number = 0) {
        Event event = eventAt(kind, at);
        event.request = "r";
        event.server = server;
        event.adapter = adapter;
        event.number = number;
        oracle.add(event);
    };
    const auto broken = [&oracle] {
        return oracle.violations().empty() ? std::string_view("none")
                                           : guaranteeName(oracle.violations().front().promise);
    };

    SECTION("an adapter that serves is not evicted")
    {
        add(EventKind::Offered, Millis(0), "", "a@1");
        add(EventKind::Started, Millis(0), "s1", "a@1");
        add(EventKind::Evicted, Millis(1), "s2", "a@1");
        REQUIRE(broken() == "none");
        add(EventKind::Evicted, Millis(1), "s1", "a@1");
        REQUIRE(broken() == "no-eviction-while-serving");
    }
    SECTION("a request runs on its adapter")
    {
        add(EventKind::Offered, Millis(0), "", "a@1");
        add(EventKind::Started, Millis(0), "s1", "a@2");
        REQUIRE(broken() == "right-adapter");
    }
    SECTION("a leaving backend server gets no new work")
    {
        add(EventKind::Draining, Millis(0), "s1");
        add(EventKind::Dispatched, Millis(5'000), "s1");
        REQUIRE(broken() == "none");
        add(EventKind::Dispatched, Millis(5'001), "s1");
        REQUIRE(broken() == "no-work-for-leaving");
    }
    SECTION("a planned stop cuts nothing")
    {
        add(EventKind::Interrupted, Millis(0), "s1");
        REQUIRE(broken() == "none");
        add(EventKind::PlannedStop, Millis(1), "s1");
        add(EventKind::Interrupted, Millis(2), "s1");
        REQUIRE(broken() == "graceful-stop");
    }
    SECTION("a configuration never reverts")
    {
        add(EventKind::ConfigInForce, Millis(0), "vm1", "", 4);
        add(EventKind::ConfigInForce, Millis(1), "vm2", "", 3);
        REQUIRE(broken() == "none");
        add(EventKind::ConfigInForce, Millis(2), "vm1", "", 3);
        REQUIRE(broken() == "config-never-reverts");
    }
    SECTION("a configuration is in force in time")
    {
        add(EventKind::ConfigAccepted, Millis(0), "", "", 4);
        add(EventKind::ConfigInForce, Millis(7'001), "vm1", "", 3);
        REQUIRE(broken() == "config-never-reverts");
    }
    SECTION("an answer that began must end")
    {
        add(EventKind::Offered, Millis(0), "", "a@1", 2);
        Event chunk = eventAt(EventKind::Chunk, Millis(1));
        chunk.request = "r";
        chunk.source = "r";
        chunk.adapter = "a@1";
        oracle.add(chunk);
        REQUIRE(broken() == "none");
        REQUIRE(oracle.finish().front().promise == Guarantee::CompleteResponse);
    }
}
