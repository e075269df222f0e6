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

namespace {

StreamChunk chunk(std::uint64_t number, bool last = false)
{
    return StreamChunk{number, "t" + std::to_string(number), number + 100, last};
}

std::vector<std::uint64_t> numbersOf(const Result<std::vector<StreamChunk>> &ready)
{
    std::vector<std::uint64_t> numbers;
    for (const StreamChunk &piece : ready.value()) {
        numbers.push_back(piece.number);
    }
    return numbers;
}

using Numbers = std::vector<std::uint64_t>;

} // namespace

TEST_CASE("the chunks of an answer")
{
    StreamReorderBuffer order;
    REQUIRE(numbersOf(order.push(chunk(0))) == Numbers{0});

    SECTION("are passed on in order")
    {
        REQUIRE(numbersOf(order.push(chunk(2))).empty());
        REQUIRE(numbersOf(order.push(chunk(3, true))).empty());
        REQUIRE_FALSE(order.isComplete());
        REQUIRE(numbersOf(order.push(chunk(1))) == Numbers{1, 2, 3});
        REQUIRE(order.isComplete());
        REQUIRE(order.push(chunk(4)).error().code == ErrorCode::AnswerIncomplete);
    }

    SECTION("are passed on once, also from a second backend server")
    {
        REQUIRE(numbersOf(order.push(chunk(1))) == Numbers{1});
        REQUIRE(numbersOf(order.push(chunk(0))).empty());
        REQUIRE(numbersOf(order.push(chunk(1))).empty());
        REQUIRE(numbersOf(order.push(chunk(2, true))) == Numbers{2});
    }

    SECTION("that differ from what the caller has end the answer")
    {
        StreamChunk other = chunk(0);
        other.textHash = 1;
        REQUIRE(order.push(other).error().code == ErrorCode::AnswerIncomplete);
        REQUIRE(order.push(chunk(0, true)).error().code == ErrorCode::AnswerIncomplete);
    }

    SECTION("may not come in any number ahead of a gap")
    {
        bool refused = false;
        for (std::uint64_t i = 0; i <= StreamReorderBuffer::maxWaiting && !refused; ++i) {
            refused = !order.push(chunk(i + 2)).has_value();
        }
        REQUIRE(refused);
    }

    SECTION("past the last one are a fault")
    {
        REQUIRE(numbersOf(order.push(chunk(3))).empty());
        REQUIRE(numbersOf(order.push(chunk(1))) == Numbers{1});
        REQUIRE(order.push(chunk(2, true)).error().code == ErrorCode::AnswerIncomplete);
    }
}

TEST_CASE("an answer is matched to its request")
{
    const AdapterRef adapter{BaseModelId("b"), AdapterId("burn-plan"), AdapterVersion(3)};
    const ExpectedResponse expected{RequestId("r1"), AttemptId(2), adapter};
    ResponseLabel label{AttemptId(2), RequestId("r1"), adapter.str()};
    REQUIRE_FALSE(findResponseMismatch(expected, label).has_value());

    SECTION("another version is discarded")
    {
        label.adapter = "b/burn-plan@4";
        REQUIRE(findResponseMismatch(expected, label) == ErrorCode::WrongVersion);
    }
    SECTION("another request's answer is discarded")
    {
        label.request = RequestId("r2");
        REQUIRE(findResponseMismatch(expected, label) == ErrorCode::BadResponse);
    }
    SECTION("a late answer of an abandoned attempt is discarded")
    {
        label.attempt = AttemptId(1);
        REQUIRE(findResponseMismatch(expected, label) == ErrorCode::GrantExpired);
    }
}

TEST_CASE("outcomes are honest")
{
    AttemptResult end;
    end.repeatable = false;
    end.hasKey = true;
    end.failure = ErrorCode::ConnectionBroken;

    SECTION("not-run needs a proof while other attempts may carry the key")
    {
        for (const AttemptStage stage :
             {AttemptStage::Refused, AttemptStage::ClaimFailed, AttemptStage::Claimed}) {
            end.stage = stage;
            end.provenNotRun = false;
            REQUIRE(outcomeOf(end) == Outcome::Unknown);
            end.provenNotRun = true;
            REQUIRE(outcomeOf(end) == Outcome::NotRun);
        }
    }
    SECTION("once a byte was sent nothing proves it")
    {
        end.provenNotRun = true;
        end.stage = AttemptStage::Sent;
        REQUIRE(outcomeOf(end) == Outcome::Unknown);
        end.stage = AttemptStage::ResponseStarted;
        REQUIRE(outcomeOf(end) == Outcome::Unknown);
    }
    SECTION("an answer means ran, but for a fault of the server's own")
    {
        end.stage = AttemptStage::ResponseStarted;
        end.failure.reset();
        end.responseStatus = 201;
        REQUIRE(outcomeOf(end) == Outcome::Ran);
        end.responseStatus = 503;
        REQUIRE(outcomeOf(end) == Outcome::Unknown);
    }
    SECTION("without a key there is no other attempt")
    {
        end.hasKey = false;
        end.stage = AttemptStage::Refused;
        end.failure = ErrorCode::KeyMissing;
        REQUIRE(outcomeOf(end) == Outcome::NotRun);
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
        REQUIRE(decideRetry(failed, budget, 0.5).action == RetryAction::GiveUp);

        SECTION("unless no byte of it was sent")
        {
            failed.sent = false;
            failed.failure = ErrorCode::ConnectFailed;
            REQUIRE(decideRetry(failed, budget, 0.5).action == RetryAction::TryAnother);
        }
    }
    SECTION("a broken stream is resumed where it can be")
    {
        failed.answerStarted = true;
        failed.resumable = true;
        REQUIRE(decideRetry(failed, budget, 0.5).action == RetryAction::Resume);
        failed.resumable = false;
        REQUIRE(decideRetry(failed, budget, 0.5).action == RetryAction::TryAnother);
    }
    SECTION("the deadline holds")
    {
        failed.now = failed.deadline - Millis(1);
        REQUIRE(decideRetry(failed, budget, 0.5).failure == ErrorCode::DeadlineExceeded);
    }
    SECTION("the budget holds")
    {
        const RetryBudget spent{0};
        REQUIRE(decideRetry(failed, spent, 0.5).failure == ErrorCode::RetryBudgetSpent);
    }
    SECTION("a fault of the request itself is not retried")
    {
        failed.failure = ErrorCode::Quarantined;
        REQUIRE(decideRetry(failed, budget, 0.5).failure == ErrorCode::Quarantined);
    }
    SECTION("waits grow and are spread")
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

/// Requests at an even rate over servers of which half fail, in virtual time.
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
            for (int other = 0; withBreakers && other < servers && !mayPass(breakers[server], now);
                 ++other) {
                server = (server + 1) % servers;
            }
            breakers[server] = afterPass(breakers[server], now);
            ++result.attempts;
            if (server >= servers / 2) {
                breakers[server] = afterAnswer(breakers[server]);
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
    SECTION("a budget without bound breaks the limit, so the check can fail")
    {
        const LoadResult result = runWithHalfFailing(false, 100);
        REQUIRE(result.attempts > result.offered * 11 / 10);
    }
}

TEST_CASE("a circuit breaker")
{
    CircuitBreaker breaker;
    for (std::uint32_t i = 0; i < CircuitBreaker::failuresToOpen; ++i) {
        REQUIRE(mayPass(breaker, Millis(0)));
        breaker = afterFailure(breaker, Millis(0));
    }
    REQUIRE_FALSE(mayPass(breaker, Millis(0)));

    SECTION("lets one probe through after its pause")
    {
        const Millis later = CircuitBreaker::firstPause;
        REQUIRE(mayPass(breaker, later));
        breaker = afterPass(breaker, later);
        REQUIRE_FALSE(mayPass(breaker, later));

        SECTION("and closes when it is answered")
        {
            REQUIRE(mayPass(afterAnswer(breaker), later));
        }
        SECTION("and waits for longer when it fails")
        {
            breaker = afterFailure(breaker, later);
            REQUIRE_FALSE(mayPass(breaker, later + CircuitBreaker::firstPause));
            REQUIRE(mayPass(breaker, later + CircuitBreaker::firstPause * 2));
        }
    }
}

TEST_CASE("finished answers are remembered for repeats")
{
    constexpr std::size_t room = 3'000;
    ResponseCache memory(room);
    const RequestKey key("k");
    REQUIRE(memory.begin(key, Fingerprint(1)));
    REQUIRE_FALSE(memory.begin(key, Fingerprint(1)));
    REQUIRE(memory.find(key, Fingerprint(1)).lookup == ResponseLookup::InProgress);
    REQUIRE(memory.find(key, Fingerprint(2)).lookup == ResponseLookup::BodyMismatch);

    SECTION("the first answer is given again")
    {
        memory.finish(key, HttpAnswer{201, {}, "first"});
        memory.finish(key, HttpAnswer{500, {}, "second"});
        REQUIRE(memory.find(key, Fingerprint(1)).response->body == "first");

        SECTION("until it is the oldest and room is short")
        {
            for (int i = 0; i < 20; ++i) {
                const RequestKey other("other" + std::to_string(i));
                memory.begin(other, Fingerprint(1));
                memory.finish(other, HttpAnswer{201, {}, "x"});
                REQUIRE(memory.bytes() <= room);
            }
            REQUIRE(memory.find(key, Fingerprint(1)).lookup == ResponseLookup::Unknown);
        }
    }
    SECTION("one that ended without an answer is forgotten")
    {
        memory.abandon(key);
        REQUIRE(memory.size() == 0);
    }
    SECTION("one larger than the memory is not kept")
    {
        memory.finish(key, HttpAnswer{200, {}, std::string(room, 'x')});
        REQUIRE(memory.find(key, Fingerprint(1)).lookup == ResponseLookup::Unknown);
    }
}
