#include <balsamport/policy/circuit_breaker.h>
#include <balsamport/policy/outcome.h>
#include <balsamport/policy/response_cache.h>
#include <balsamport/policy/response_match.h>
#include <balsamport/policy/retry.h>
#include <balsamport/policy/stream_reorder_buffer.h>

#include <catch2/catch.hpp>

#include <array>
#include <random>

using namespace balsamport;

// Guards against a caller that gets parts of two responses or a wrong outcome, and against retry
// storms: late, repeated or contradicting chunks, broken attempts and failing servers cause them.

namespace {

StreamChunk chunk(std::uint64_t number, bool last = false)
{
    return StreamChunk{number, "t" + std::to_string(number), number + 100, last};
}

std::vector<std::uint64_t> numbersOf(const Result<std::vector<StreamChunk>> &ready)
{
    std::vector<std::uint64_t> numbers;
    for (const StreamChunk &released : ready.value()) {
        numbers.push_back(released.number);
    }
    return numbers;
}

using Numbers = std::vector<std::uint64_t>;

} // namespace

TEST_CASE("the chunks of a response")
{
    StreamReorderBuffer buffer;
    REQUIRE(numbersOf(buffer.push(chunk(0))) == Numbers{0});

    SECTION("are released in order")
    {
        REQUIRE(numbersOf(buffer.push(chunk(2))).empty());
        REQUIRE(numbersOf(buffer.push(chunk(3, true))).empty());
        REQUIRE_FALSE(buffer.isComplete());
        REQUIRE(numbersOf(buffer.push(chunk(1))) == Numbers{1, 2, 3});
        REQUIRE(buffer.isComplete());
        REQUIRE(buffer.push(chunk(4)).error().code == ErrorCode::AnswerIncomplete);
    }

    SECTION("are released once, also if a second backend server repeats them")
    {
        REQUIRE(numbersOf(buffer.push(chunk(1))) == Numbers{1});
        REQUIRE(numbersOf(buffer.push(chunk(0))).empty());
        REQUIRE(numbersOf(buffer.push(chunk(1))).empty());
        REQUIRE(numbersOf(buffer.push(chunk(2, true))) == Numbers{2});
    }

    SECTION("that differ from a released chunk end the response")
    {
        StreamChunk other = chunk(0);
        other.textHash = 1;
        REQUIRE(buffer.push(other).error().code == ErrorCode::AnswerIncomplete);
        REQUIRE(buffer.push(chunk(0, true)).error().code == ErrorCode::AnswerIncomplete);
    }

    SECTION("beyond maxWaiting after a gap are refused")
    {
        bool refused = false;
        for (std::uint64_t i = 0; i <= StreamReorderBuffer::maxWaiting && !refused; ++i) {
            refused = !buffer.push(chunk(i + 2)).has_value();
        }
        REQUIRE(refused);
    }

    SECTION("after the last one are refused")
    {
        REQUIRE(numbersOf(buffer.push(chunk(3))).empty());
        REQUIRE(numbersOf(buffer.push(chunk(1))) == Numbers{1});
        REQUIRE(buffer.push(chunk(2, true)).error().code == ErrorCode::AnswerIncomplete);
    }
}

TEST_CASE("a response is matched to its request")
{
    const AdapterRef adapter{BaseModelId("b"), AdapterId("burn-plan"), AdapterVersion(3)};
    const ExpectedResponse expected{RequestId("r1"), AttemptId(2), adapter};
    ResponseLabel label{AttemptId(2), RequestId("r1"), adapter.str()};
    REQUIRE_FALSE(findResponseMismatch(expected, label).has_value());

    SECTION("a response of another version is discarded")
    {
        label.adapter = "b/burn-plan@4";
        REQUIRE(findResponseMismatch(expected, label) == ErrorCode::WrongVersion);
    }
    SECTION("a response to another request is discarded")
    {
        label.request = RequestId("r2");
        REQUIRE(findResponseMismatch(expected, label) == ErrorCode::BadResponse);
    }
    SECTION("a late response to an abandoned attempt is discarded")
    {
        label.attempt = AttemptId(1);
        REQUIRE(findResponseMismatch(expected, label) == ErrorCode::GrantExpired);
    }
}

TEST_CASE("the outcome is certain or unknown")
{
    AttemptResult result;
    result.repeatable = false;
    result.hasKey = true;
    result.failure = ErrorCode::ConnectionBroken;

    SECTION("not-run requires a proof while other attempts may have the key")
    {
        for (const AttemptStage stage :
             {AttemptStage::Refused, AttemptStage::ClaimFailed, AttemptStage::Claimed}) {
            result.stage = stage;
            result.provenNotRun = false;
            REQUIRE(outcomeOf(result) == Outcome::Unknown);
            result.provenNotRun = true;
            REQUIRE(outcomeOf(result) == Outcome::NotRun);
        }
    }
    SECTION("after a byte was sent the outcome is unknown")
    {
        result.provenNotRun = true;
        result.stage = AttemptStage::Sent;
        REQUIRE(outcomeOf(result) == Outcome::Unknown);
        result.stage = AttemptStage::ResponseStarted;
        REQUIRE(outcomeOf(result) == Outcome::Unknown);
    }
    SECTION("a complete response means ran, except with a server error")
    {
        result.stage = AttemptStage::ResponseStarted;
        result.failure.reset();
        result.responseStatus = 201;
        REQUIRE(outcomeOf(result) == Outcome::Ran);
        result.responseStatus = 503;
        REQUIRE(outcomeOf(result) == Outcome::Unknown);
    }
    SECTION("without a key no other attempt exists, so the outcome is not-run")
    {
        result.hasKey = false;
        result.stage = AttemptStage::Refused;
        result.failure = ErrorCode::KeyMissing;
        REQUIRE(outcomeOf(result) == Outcome::NotRun);
        REQUIRE(httpStatusOf(ErrorCode::KeyMissing) == 400);
        REQUIRE(adviceFor(ErrorCode::KeyMissing, Outcome::NotRun, false)
                == CallerAdvice::CorrectRequest);
    }
}

TEST_CASE("retries")
{
    FailedAttempt failed;
    failed.failure = ErrorCode::ConnectionBroken;
    failed.repeatable = true;
    failed.deadline = Millis(10'000);
    const RetryBudget budget;

    SECTION("a request that is not repeatable is never sent twice")
    {
        failed.repeatable = false;
        REQUIRE(decideRetry(failed, budget, 0.5).action == RetryAction::Fail);

        SECTION("except if no byte of it was sent")
        {
            failed.sent = false;
            failed.failure = ErrorCode::ConnectFailed;
            REQUIRE(decideRetry(failed, budget, 0.5).action == RetryAction::TryAnother);
        }
    }
    SECTION("a broken stream is resumed if the server supports it")
    {
        failed.responseStarted = true;
        failed.resumable = true;
        REQUIRE(decideRetry(failed, budget, 0.5).action == RetryAction::Resume);
        failed.resumable = false;
        REQUIRE(decideRetry(failed, budget, 0.5).action == RetryAction::TryAnother);
    }
    SECTION("a retry past the deadline fails")
    {
        failed.now = failed.deadline - Millis(1);
        REQUIRE(decideRetry(failed, budget, 0.5).failure == ErrorCode::DeadlineExceeded);
    }
    SECTION("a retry without budget fails")
    {
        const RetryBudget spent{0};
        REQUIRE(decideRetry(failed, spent, 0.5).failure == ErrorCode::RetryBudgetSpent);
    }
    SECTION("a failure caused by the request itself is not retried")
    {
        failed.failure = ErrorCode::Quarantined;
        REQUIRE(decideRetry(failed, budget, 0.5).failure == ErrorCode::Quarantined);
    }
    SECTION("delays increase and have jitter")
    {
        REQUIRE(retryBackoff(1, 0.0) == Millis(13));
        REQUIRE(retryBackoff(1, 1.0) == Millis(25));
        REQUIRE(retryBackoff(3, 0.0) == Millis(50));
        REQUIRE(retryBackoff(30, 1.0) == Millis(1'000));
    }
}

namespace {

struct LoadResult
{
    int offered = 0;
    int attempts = 0;
    int succeeded = 0;
};

/// Sends requests at a constant rate to servers of which half fail, in simulated time.
LoadResult runWithHalfFailing(bool withBreakers, std::uint32_t retryPercent)
{
    constexpr int servers = 12;
    constexpr int offered = 20'000;
    std::mt19937 random(20'261'204);
    std::uniform_real_distribution<double> uniform(0.0, 1.0);
    std::uniform_int_distribution<int> anyServer(0, servers - 1);
    std::array<CircuitBreaker, servers> breakers{};
    RetryBudget budget;
    LoadResult result;
    for (int i = 0; i < offered; ++i) {
        ++result.offered;
        Millis now(i * 5);
        const Millis deadline = now + Millis(5'000);
        for (std::uint32_t attempt = 1;; ++attempt) {
            int server = anyServer(random);
            for (int other = 0;
                 withBreakers && other < servers && !isRequestAllowed(breakers[server], now);
                 ++other) {
                server = (server + 1) % servers;
            }
            breakers[server] = afterRequest(breakers[server], now);
            ++result.attempts;
            if (server >= servers / 2) {
                breakers[server] = afterResponse(breakers[server]);
                budget = afterSuccess(budget, retryPercent);
                ++result.succeeded;
                break;
            }
            breakers[server] = afterFailure(breakers[server], now);
            const FailedAttempt failed{
                    ErrorCode::ConnectionBroken, true, true, false, false, attempt, now, deadline};
            const RetryDecision decision = decideRetry(failed, budget, uniform(random));
            if (decision.action != RetryAction::TryAnother) {
                break;
            }
            budget = afterRetry(budget);
            now += decision.delay;
        }
    }
    return result;
}

} // namespace

TEST_CASE("half of the backend servers fail")
{
    SECTION("retries add at most a tenth, even without circuit breakers")
    {
        const LoadResult result = runWithHalfFailing(false, 10);
        INFO("attempts " << result.attempts << " succeeded " << result.succeeded);
        REQUIRE(result.attempts <= result.offered * 11 / 10);
    }
    SECTION("with circuit breakers nearly every request succeeds as well")
    {
        const LoadResult result = runWithHalfFailing(true, 10);
        INFO("attempts " << result.attempts << " succeeded " << result.succeeded);
        REQUIRE(result.attempts <= result.offered * 11 / 10);
        REQUIRE(result.succeeded >= result.offered * 99 / 100);
    }
    SECTION("an unlimited budget exceeds the limit, which shows that the check can fail")
    {
        const LoadResult result = runWithHalfFailing(false, 100);
        REQUIRE(result.attempts > result.offered * 11 / 10);
    }
}

TEST_CASE("a circuit breaker")
{
    CircuitBreaker breaker;
    for (std::uint32_t i = 0; i < CircuitBreaker::failuresToOpen; ++i) {
        REQUIRE(isRequestAllowed(breaker, Millis(0)));
        breaker = afterFailure(breaker, Millis(0));
    }
    REQUIRE_FALSE(isRequestAllowed(breaker, Millis(0)));

    SECTION("allows one probe after its open time")
    {
        const Millis later = CircuitBreaker::initialOpenTime;
        REQUIRE(isRequestAllowed(breaker, later));
        breaker = afterRequest(breaker, later);
        REQUIRE_FALSE(isRequestAllowed(breaker, later));

        SECTION("and closes after a response")
        {
            REQUIRE(isRequestAllowed(afterResponse(breaker), later));
        }
        SECTION("and stays open twice as long after a failure")
        {
            breaker = afterFailure(breaker, later);
            REQUIRE_FALSE(isRequestAllowed(breaker, later + CircuitBreaker::initialOpenTime));
            REQUIRE(isRequestAllowed(breaker, later + CircuitBreaker::initialOpenTime * 2));
        }
    }
}

TEST_CASE("complete responses are cached for repeated requests")
{
    constexpr std::size_t maxBytes = 3'000;
    ResponseCache cache(maxBytes);
    const RequestKey key("k");
    REQUIRE(cache.begin(key, Fingerprint(1)));
    REQUIRE_FALSE(cache.begin(key, Fingerprint(1)));
    REQUIRE(cache.find(key, Fingerprint(1)).lookup == ResponseLookup::InProgress);
    REQUIRE(cache.find(key, Fingerprint(2)).lookup == ResponseLookup::BodyMismatch);

    SECTION("the first response is returned again")
    {
        cache.finish(key, HttpResponse{201, {}, "first"});
        cache.finish(key, HttpResponse{500, {}, "second"});
        REQUIRE(cache.find(key, Fingerprint(1)).response->body == "first");

        SECTION("until it is the oldest and the cache is full")
        {
            for (int i = 0; i < 20; ++i) {
                const RequestKey other("other" + std::to_string(i));
                cache.begin(other, Fingerprint(1));
                cache.finish(other, HttpResponse{201, {}, "x"});
                REQUIRE(cache.bytes() <= maxBytes);
            }
            REQUIRE(cache.find(key, Fingerprint(1)).lookup == ResponseLookup::Unknown);
        }
    }
    SECTION("a request that ended without a response is removed")
    {
        cache.abandon(key);
        REQUIRE(cache.size() == 0);
    }
    SECTION("a response larger than the cache is not stored")
    {
        cache.finish(key, HttpResponse{200, {}, std::string(maxBytes, 'x')});
        REQUIRE(cache.find(key, Fingerprint(1)).lookup == ResponseLookup::Unknown);
    }
}
