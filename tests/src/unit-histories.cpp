#include "answer_world.h"
#include "claim_steps.h"
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
    std::uint64_t toldNotRun = 0;
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

HistoryRun runClaims(Plant plant)
{
    return runHistories([plant](HistoryRun &run) {
        runClaimHistory(plant, [&run](const ClaimWorld &world) {
            run.won += world.won();
            run.toldNotRun += world.toldNotRun();
        });
    });
}

HistoryRun runAnswers(AnswerPlant plant)
{
    return runHistories([plant](HistoryRun &run) {
        AnswerWorld world(plant, *anyChoice());
        runSteps(world);
        run.answers += world.whole();
    });
}

HistoryRun runCrashers(CrashDefect plant)
{
    return runHistories([plant](HistoryRun &run) {
        SuspectWorld world(plant, *anyChoice());
        runSteps(world);
        run.answers += world.finished();
    });
}

/// Whether the oracle reported a promise as broken.
bool names(const HistoryRun &run, Promise promise)
{
    UNSCOPED_INFO(run.message);
    return !run.passed && run.message.find(promiseName(promise)) != std::string::npos;
}

/// Whether the oracle reported that a request was run twice, or run after not-run was told. A key
/// that is given away twice can show in either way first.
bool reportsDoubleGrant(Plant plant)
{
    const HistoryRun run = runClaims(plant);
    return names(run, Promise::AtMostOnce) || names(run, Promise::HonestNotRun);
}

bool reports(Plant plant, Promise promise)
{
    return names(runClaims(plant), promise);
}

} // namespace

TEST_CASE("non-repeatable requests in random histories")
{
    SECTION("run at most once, and not-run is never false")
    {
        const HistoryRun run = runClaims(Plant::None);
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

TEST_CASE("answers in random histories")
{
    SECTION("are whole, in order and the caller's own")
    {
        const HistoryRun run = runAnswers(AnswerPlant::None);
        INFO(run.message);
        REQUIRE(run.passed);
        REQUIRE(run.answers > historyCount);
    }
    SECTION("the oracle finds chunks out of order")
    {
        REQUIRE(names(runAnswers(AnswerPlant::NoOrder), Promise::WholeAnswer));
    }
    SECTION("the oracle finds another request's or version's answer")
    {
        const HistoryRun run = runAnswers(AnswerPlant::NoMatch);
        REQUIRE((names(run, Promise::WholeAnswer) || names(run, Promise::RightAdapter)));
    }
    SECTION("the oracle finds a silent cut")
    {
        REQUIRE(names(runAnswers(AnswerPlant::SilentCut), Promise::WholeAnswer));
    }
}

TEST_CASE("crashers in random histories")
{
    SECTION("cost at most two backend servers, and innocents get their answers")
    {
        const HistoryRun run = runCrashers(CrashDefect::None);
        INFO(run.message);
        REQUIRE(run.passed);
        REQUIRE(run.answers > historyCount);
    }
    SECTION("the oracle finds crashes that other VMs are not told of")
    {
        REQUIRE(names(runCrashers(CrashDefect::ReportsStayLocal), Promise::CrasherCost));
    }
    SECTION("the oracle finds callers that are answered before the news is out")
    {
        REQUIRE(names(runCrashers(CrashDefect::NoWaitForReports), Promise::CrasherCost));
    }
    SECTION("the oracle finds innocents that share a server with a suspect")
    {
        REQUIRE(names(runCrashers(CrashDefect::SuspectsTogether), Promise::WholeAnswer));
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
                                           : promiseName(oracle.violations().front().promise);
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
        add(EventKind::Leaving, Millis(0), "s1");
        add(EventKind::Dispatched, Millis(5'000), "s1");
        REQUIRE(broken() == "none");
        add(EventKind::Dispatched, Millis(5'001), "s1");
        REQUIRE(broken() == "no-work-for-leaving");
    }
    SECTION("a planned stop cuts nothing")
    {
        add(EventKind::Cut, Millis(0), "s1");
        REQUIRE(broken() == "none");
        add(EventKind::PlannedStop, Millis(1), "s1");
        add(EventKind::Cut, Millis(2), "s1");
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
        REQUIRE(oracle.finish().front().promise == Promise::WholeAnswer);
    }
}
