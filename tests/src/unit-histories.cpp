#include "claim_steps.h"
#include "response_world.h"
#include "suspect_world.h"

#include <catch2/catch.hpp>

#include <sstream>

using namespace balsamport;
using namespace balsamport::testing;

// Guards against violations of the guarantees to callers that only certain orders of faults cause.
// Random histories find them; seeded defects show that the oracle detects each violation.

namespace {

constexpr std::uint64_t fixedSeed = 20'261'204;

constexpr int historyCount = 2'000;

struct HistoryRun
{
    bool passed = false;
    std::string message; ///< The failure as RapidCheck prints it.
    std::uint64_t won = 0;
    std::uint64_t reportedNotRun = 0;
    std::uint64_t responses = 0; ///< Number of complete responses.
};

/// Runs histories with a fixed seed until one violates a guarantee.
/// @param history runs one history
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

HistoryRun runResponses(ResponseDefect defect)
{
    return runHistories([defect](HistoryRun &run) {
        ResponseWorld world(defect, *anyChoice());
        runSteps(world);
        run.responses += world.completed();
    });
}

HistoryRun runCrashers(CrashDefect defect)
{
    return runHistories([defect](HistoryRun &run) {
        SuspectWorld world(defect, *anyChoice());
        runSteps(world);
        run.responses += world.finished();
    });
}

/// Returns whether the oracle reported a violation of the guarantee.
bool reportsViolation(const HistoryRun &run, Guarantee guarantee)
{
    UNSCOPED_INFO(run.message);
    return !run.passed && run.message.find(guaranteeName(guarantee)) != std::string::npos;
}

/// Returns whether the oracle reported that a request ran twice, or ran after not-run was reported.
/// A key that is granted twice can cause either of them first.
bool reportsDoubleGrant(ClaimDefect defect)
{
    const HistoryRun run = runClaims(defect);
    return reportsViolation(run, Guarantee::AtMostOnce)
            || reportsViolation(run, Guarantee::CorrectNotRun);
}

bool reports(ClaimDefect defect, Guarantee guarantee)
{
    return reportsViolation(runClaims(defect), guarantee);
}

} // namespace

TEST_CASE("non-repeatable requests in random histories")
{
    SECTION("run at most once, and a reported not-run is always correct")
    {
        const HistoryRun run = runClaims(ClaimDefect::None);
        INFO(run.message);
        REQUIRE(run.passed);
        REQUIRE(run.won > historyCount);
        REQUIRE(run.reportedNotRun > 0);
    }
    SECTION("the oracle detects a witness that grants twice")
    {
        REQUIRE(reportsDoubleGrant(ClaimDefect::WitnessGrantsTwice));
    }
    SECTION("the oracle detects a restarted witness that trusts its empty table")
    {
        REQUIRE(reportsDoubleGrant(ClaimDefect::WitnessTrustsTableAtRestart));
    }
    SECTION("the oracle detects a full table without a watermark")
    {
        REQUIRE(reportsDoubleGrant(ClaimDefect::NoWatermarkWhenFull));
    }
    SECTION("the oracle detects witnesses that grant with unconfirmed views")
    {
        REQUIRE(reportsDoubleGrant(ClaimDefect::StaleViewGrants));
    }
    SECTION("the oracle detects a new witness that does not wait for the handover")
    {
        REQUIRE(reportsDoubleGrant(ClaimDefect::NoHandoverWait));
    }
    SECTION("the oracle detects a witness that ignores that its view expired")
    {
        REQUIRE(reportsDoubleGrant(ClaimDefect::ExpiryIgnored));
    }
    SECTION("the oracle detects a witness that accepts keys from the future")
    {
        REQUIRE(reportsDoubleGrant(ClaimDefect::FutureKeysAccepted));
    }
    SECTION("the oracle detects a retry after dispatch")
    {
        REQUIRE(reports(ClaimDefect::RetryAfterDispatch, Guarantee::AtMostOnce));
    }
    SECTION("the oracle detects a false not-run")
    {
        REQUIRE(reports(ClaimDefect::FalseNotRun, Guarantee::CorrectNotRun));
    }
    SECTION("the oracle detects a dispatch after not-run was reported")
    {
        REQUIRE(reports(ClaimDefect::DispatchAfterNotRun, Guarantee::CorrectNotRun));
    }
}

TEST_CASE("responses in random histories")
{
    SECTION("are complete, in order and those of the own request")
    {
        const HistoryRun run = runResponses(ResponseDefect::None);
        INFO(run.message);
        REQUIRE(run.passed);
        REQUIRE(run.responses > historyCount);
    }
    SECTION("the oracle detects chunks out of order")
    {
        REQUIRE(reportsViolation(runResponses(ResponseDefect::NoOrder),
                                 Guarantee::CompleteResponse));
    }
    SECTION("the oracle detects the response of another request or version")
    {
        const HistoryRun run = runResponses(ResponseDefect::NoMatch);
        REQUIRE((reportsViolation(run, Guarantee::CompleteResponse)
                 || reportsViolation(run, Guarantee::RightAdapter)));
    }
    SECTION("the oracle detects a truncated response without an error")
    {
        REQUIRE(reportsViolation(runResponses(ResponseDefect::SilentCut),
                                 Guarantee::CompleteResponse));
    }
}

TEST_CASE("crashing requests in random histories")
{
    SECTION("crash at most two backend servers, and other requests complete")
    {
        const HistoryRun run = runCrashers(CrashDefect::None);
        INFO(run.message);
        REQUIRE(run.passed);
        REQUIRE(run.responses > historyCount);
    }
    SECTION("the oracle detects crashes that are not reported to other VMs")
    {
        REQUIRE(reportsViolation(runCrashers(CrashDefect::ReportsStayLocal),
                                 Guarantee::CrasherCost));
    }
    SECTION("the oracle detects callers that get a response before the crash is reported")
    {
        REQUIRE(reportsViolation(runCrashers(CrashDefect::NoWaitForReports),
                                 Guarantee::CrasherCost));
    }
    SECTION("the oracle detects requests that share a server with a suspect")
    {
        REQUIRE(reportsViolation(runCrashers(CrashDefect::SuspectsTogether),
                                 Guarantee::CompleteResponse));
    }
}

TEST_CASE("the oracle checks every guarantee")
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
    const auto violated = [&oracle] {
        return oracle.violations().empty() ? std::string_view("none")
                                           : guaranteeName(oracle.violations().front().guarantee);
    };

    SECTION("an adapter that serves a request is not evicted")
    {
        add(EventKind::Offered, Millis(0), "", "a@1");
        add(EventKind::Started, Millis(0), "s1", "a@1");
        add(EventKind::Evicted, Millis(1), "s2", "a@1");
        REQUIRE(violated() == "none");
        add(EventKind::Evicted, Millis(1), "s1", "a@1");
        REQUIRE(violated() == "no-eviction-while-serving");
    }
    SECTION("a request runs on its own adapter and version")
    {
        add(EventKind::Offered, Millis(0), "", "a@1");
        add(EventKind::Started, Millis(0), "s1", "a@2");
        REQUIRE(violated() == "right-adapter");
    }
    SECTION("a draining backend server gets no new work after the grace time")
    {
        add(EventKind::Draining, Millis(0), "s1");
        add(EventKind::Dispatched, Millis(5'000), "s1");
        REQUIRE(violated() == "none");
        add(EventKind::Dispatched, Millis(5'001), "s1");
        REQUIRE(violated() == "no-work-for-leaving");
    }
    SECTION("a planned stop interrupts no request")
    {
        add(EventKind::Interrupted, Millis(0), "s1");
        REQUIRE(violated() == "none");
        add(EventKind::PlannedStop, Millis(1), "s1");
        add(EventKind::Interrupted, Millis(2), "s1");
        REQUIRE(violated() == "graceful-stop");
    }
    SECTION("a configuration is never replaced by an earlier one")
    {
        add(EventKind::ConfigInForce, Millis(0), "vm1", "", 4);
        add(EventKind::ConfigInForce, Millis(1), "vm2", "", 3);
        REQUIRE(violated() == "none");
        add(EventKind::ConfigInForce, Millis(2), "vm1", "", 3);
        REQUIRE(violated() == "config-never-reverts");
    }
    SECTION("a configuration is in force within the grace time")
    {
        add(EventKind::ConfigAccepted, Millis(0), "", "", 4);
        add(EventKind::ConfigInForce, Millis(7'001), "vm1", "", 3);
        REQUIRE(violated() == "config-never-reverts");
    }
    SECTION("a response that began must end")
    {
        add(EventKind::Offered, Millis(0), "", "a@1", 2);
        Event chunk = eventAt(EventKind::Chunk, Millis(1));
        chunk.request = "r";
        chunk.source = "r";
        chunk.adapter = "a@1";
        oracle.add(chunk);
        REQUIRE(violated() == "none");
        REQUIRE(oracle.finish().front().guarantee == Guarantee::CompleteResponse);
    }
}
