#include <balsamport/tools/load_report.h>
#include <balsamport/tools/response_check.h>
#include <balsamport/tools/workload.h>

#include <catch2/catch.hpp>

#include <algorithm>

using namespace balsamport;

namespace {

const WorkloadModel model{"burn-plan", {"burn-plan@3"}};
const ExpectedCompletion expectedStream{model, "load-7", 4, true};
const ExpectedCompletion expectedComplete{model, "load-7", 4, false};

std::string event(const std::string &word, const std::string &reason = "null")
{
    return R"(data: {"model":"c/burn-plan@3","choices":[{"index":0,"delta":{"content":")" + word
            + R"( "},"finish_reason":)" + reason + "}]}\n\n";
}

ObservedResponse stream(const std::vector<std::string> &words, bool finished = true)
{
    ObservedResponse response{200, {}, "", true};
    for (const std::string &word : words) {
        response.body += event(word);
    }
    if (finished) {
        response.body += event("", "\"stop\"") + "data: [DONE]\n\n";
    }
    return response;
}

ObservedResponse complete(const std::string &text)
{
    return {200,
            {},
            R"({"model":"c/burn-plan@3","choices":[{"message":{"content":")" + text
                    + R"("},"finish_reason":"stop"}]})",
            true};
}

const std::vector<std::string> expectedWords{"c/burn-plan@3", "load-7.req-1", "t0", "t1"};
const std::string expectedText = "c/burn-plan@3 load-7.req-1 t0 t1";

WorkloadSettings exampleWorkload()
{
    WorkloadSettings settings;
    settings.requestsPerSecond = 200;
    settings.duration = Millis(60'000);
    for (int i = 0; i < 50; ++i) {
        settings.models.push_back(WorkloadModel{"m" + std::to_string(i), {"m"}});
    }
    return settings;
}

std::size_t countModel(const std::vector<PlannedRequest> &plan, std::size_t number, Millis from,
                       Millis to)
{
    return static_cast<std::size_t>(
            std::count_if(plan.begin(), plan.end(), [=](const PlannedRequest &request) {
                return request.kind != RequestKind::Booking && request.model == number
                        && request.at >= from && request.at < to;
            }));
}

} // namespace

// The load tool counts violations with these checks: one that accepts a wrong, truncated or
// duplicated response would hide a fault of the fleet.

TEST_CASE("a streamed response")
{
    SECTION("that is complete and correct is good")
    {
        REQUIRE(checkCompletion(expectedStream, stream(expectedWords)) == ResponseVerdict::Good);
    }

    SECTION("of another adapter's version is wrong")
    {
        auto words = expectedWords;
        words[0] = "c/burn-plan@4";
        REQUIRE(checkCompletion(expectedStream, stream(words)) == ResponseVerdict::Wrong);
        words[0] = "c/late-burn-plan@3";
        REQUIRE(checkCompletion(expectedStream, stream(words)) == ResponseVerdict::Wrong);
    }

    SECTION("to another caller's request is wrong")
    {
        auto words = expectedWords;
        words[1] = "load-8.req-1";
        REQUIRE(checkCompletion(expectedStream, stream(words)) == ResponseVerdict::Wrong);
    }

    SECTION("with a missing word in the middle is wrong, with a repeated word duplicated")
    {
        REQUIRE(checkCompletion(expectedStream,
                                stream({expectedWords[0], expectedWords[1], "t1", "t2"}))
                == ResponseVerdict::Wrong);
        REQUIRE(checkCompletion(expectedStream,
                                stream({expectedWords[0], expectedWords[1], "t0", "t0", "t1"}))
                == ResponseVerdict::Duplicated);
    }

    SECTION("that ends early is truncated, with or without an end marker")
    {
        REQUIRE(checkCompletion(expectedStream, stream({expectedWords[0], expectedWords[1], "t0"}))
                == ResponseVerdict::Truncated);
        REQUIRE(checkCompletion(expectedStream, stream(expectedWords, false))
                == ResponseVerdict::Truncated);
        ObservedResponse broken = stream(expectedWords);
        broken.body.resize(broken.body.size() - 30);
        broken.ended = false;
        REQUIRE(checkCompletion(expectedStream, broken) == ResponseVerdict::Truncated);
    }

    SECTION("that ends with a typed error is failed")
    {
        ObservedResponse response = stream({expectedWords[0]}, false);
        response.body += "data: {\"error\":{\"type\":\"connection_broken\"}}\n\n";
        REQUIRE(checkCompletion(expectedStream, response) == ResponseVerdict::Failed);
    }
}

TEST_CASE("a response in one body")
{
    SECTION("is good where every word is as expected")
    {
        REQUIRE(checkCompletion(expectedComplete, complete(expectedText)) == ResponseVerdict::Good);
    }

    SECTION("is truncated where its text is short or its connection broke")
    {
        REQUIRE(checkCompletion(expectedComplete, complete("c/burn-plan@3 load-7.req-1 t0"))
                == ResponseVerdict::Truncated);
        ObservedResponse broken = complete(expectedText);
        broken.body.resize(broken.body.size() / 2);
        broken.ended = false;
        REQUIRE(checkCompletion(expectedComplete, broken) == ResponseVerdict::Truncated);
    }

    SECTION("is refused with a typed error and malformed with an untyped one")
    {
        REQUIRE(checkCompletion(expectedComplete,
                                {503, {}, R"({"error":{"type":"overloaded","code":201}})", true})
                == ResponseVerdict::Refused);
        REQUIRE(checkCompletion(expectedComplete, {503, {}, "oops", true})
                == ResponseVerdict::Malformed);
        REQUIRE(checkCompletion(expectedComplete, {200, {}, "oops", true})
                == ResponseVerdict::Malformed);
        REQUIRE(checkCompletion(expectedComplete, {}) == ResponseVerdict::NoResponse);
    }
}

TEST_CASE("bookings")
{
    SECTION("are good with the caller's own key and wrong with another")
    {
        REQUIRE(checkBooking("k1", {201, {}, R"({"booking":"b-1","key":"k1"})", true})
                == ResponseVerdict::Good);
        REQUIRE(checkBooking("k1", {201, {}, R"({"booking":"b-1","key":"k2"})", true})
                == ResponseVerdict::Wrong);
    }

    SECTION("are compared with the summed ledgers of all replicas")
    {
        Ledger ledger;
        REQUIRE(addLedger(R"({"runs":{"once":1,"both":1,"not":1}})", ledger).has_value());
        REQUIRE(addLedger(R"({"runs":{"both":1}})", ledger).has_value());
        REQUIRE(addLedger("[]", ledger).has_error());
        const std::map<std::string, BookingRecord> records{
                {"once", {true, false}}, {"both", {true, false}},    {"not", {false, true}},
                {"lost", {true, false}}, {"refused", {false, true}},
        };
        REQUIRE(checkLedger(records, ledger) == LedgerFaults{1, 1, 1});
    }
}

TEST_CASE("a workload")
{
    WorkloadSettings settings = exampleWorkload();

    SECTION("is the same for the same seed")
    {
        const auto plan = planWorkload(settings);
        REQUIRE(plan == planWorkload(settings));
        settings.seed = 2;
        REQUIRE(plan != planWorkload(settings));
    }

    SECTION("has the set rate and is ordered by time")
    {
        settings.repeatShare = 0;
        const auto plan = planWorkload(settings);
        REQUIRE(static_cast<double>(plan.size()) == Approx(12'000).epsilon(0.05));
        REQUIRE(std::is_sorted(plan.begin(), plan.end(),
                               [](const auto &a, const auto &b) { return a.at < b.at; }));
    }

    SECTION("rises to its peak in the middle")
    {
        settings.peakFactor = 10;
        REQUIRE(rateAt(settings, Millis(0)) == Approx(200));
        REQUIRE(rateAt(settings, Millis(30'000)) == Approx(2'000));
        REQUIRE(rateAt(settings, Millis(60'000)) == Approx(200));
    }

    SECTION("follows Zipf's law, and its popularity shifts by ranks")
    {
        settings.shiftPeriod = Millis(30'000);
        settings.shiftStep = 10;
        const auto plan = planWorkload(settings);
        const std::size_t first = countModel(plan, 0, Millis(0), Millis(30'000));
        const std::size_t second = countModel(plan, 1, Millis(0), Millis(30'000));
        REQUIRE(static_cast<double>(first) / static_cast<double>(second)
                == Approx(2).epsilon(0.15));
        REQUIRE(countModel(plan, 10, Millis(30'000), Millis(60'000))
                > 5 * countModel(plan, 10, Millis(0), Millis(30'000)));
    }

    SECTION("repeats a share of its bookings later with the same key")
    {
        settings.bookingShare = 1;
        settings.repeatShare = 0.5;
        const auto plan = planWorkload(settings);
        const auto bookings = static_cast<double>(
                std::max_element(plan.begin(), plan.end(), [](const auto &a, const auto &b) {
                    return a.booking < b.booking;
                })->booking);
        REQUIRE(static_cast<double>(plan.size()) == Approx(bookings * 1.5).epsilon(0.05));
    }
}

TEST_CASE("a load report")
{
    SECTION("has exact quantiles")
    {
        std::vector<double> values;
        for (int i = 1; i <= 1'000; ++i) {
            values.push_back(i);
        }
        const Distribution distribution = distributionOf(values);
        REQUIRE(distribution.count == 1'000);
        REQUIRE(distribution.median == Approx(500).margin(1));
        REQUIRE(distribution.p99 == Approx(990).margin(1));
        REQUIRE(distribution.maximum == Approx(1'000));
        REQUIRE(distributionOf({}) == Distribution{});
    }

    SECTION("counts violations of responses and of the ledger")
    {
        LoadReport report;
        report.samples.push_back(LoadSample{{}, ResponseVerdict::Good, "", {}, {}});
        report.samples.push_back(LoadSample{{}, ResponseVerdict::Refused, "overloaded", {}, {}});
        REQUIRE(report.violations() == 0);
        report.samples.push_back(LoadSample{{}, ResponseVerdict::Truncated, "", {}, {}});
        report.ledger.ranTwice = 1;
        REQUIRE(report.violations() == 2);
        REQUIRE(reportAsTable(report).find("refused:overloaded") != std::string::npos);
        REQUIRE(reportAsJson(report).find("\"violations\": 2") != std::string::npos);
    }
}
