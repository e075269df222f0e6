// Guards against requests that run twice, streams with missing, repeated or mixed text, and callers
// that get no typed response, when a backend server, a caller or a claim fails at any step of the
// filter chain.

#include "fake_gateway.h"

#include <balsamport/filters/model_name.h>
#include <balsamport/filters/service_path.h>

#include <catch2/catch.hpp>

using namespace balsamport;
using namespace balsamport::testing;

TEST_CASE("a chat completion in the filter chain")
{
    FakeGateway fake(smallSnapshot());

    SECTION("is sent with the alias resolved and the rest of the body unchanged")
    {
        const auto caller = fake.request(
                "POST", "/v1/chat/completions",
                R"({"a":1.10, "model" : "burn-plan","messages":[],"b":[{"model":"x"}]})");
        REQUIRE(fake.exchanges.size() == 1);
        FakeExchange &call = fake.exchange(0);
        REQUIRE(call.request.url == "http://10.0.0.1:80/v1/chat/completions");
        REQUIRE(call.request.body
                == R"({"a":1.10, "model" : "citrus-8b/burn-plan@3","messages":[],"b":[{"model":"x"}]})");
        REQUIRE(fake.placementRequests[0].priority == 5);
        REQUIRE(findHeader(call.request.headers, "Balsamport-Fencing") == "7");

        REQUIRE(call.connect());
        call.sendHead(200, jsonHeaders);
        REQUIRE(call.sendChunk("{\"id\""));
        REQUIRE(call.sendChunk(":1}"));
        REQUIRE(caller->responseCount == 0);
        call.succeed();
        REQUIRE(caller->response.status == 200);
        REQUIRE(caller->response.body == "{\"id\":1}");
        REQUIRE(caller->header("Balsamport-Outcome") == "ran");
        REQUIRE(!caller->header("Balsamport-Request-Id").empty());
        REQUIRE(fake.placementEnds == std::vector{PlacementEnd::Finished});
        REQUIRE(fake.gateway.requestsInProgress() == 0);
    }

    SECTION("is streamed in order and without duplicates")
    {
        const auto caller = fake.request("POST", "/v1/chat/completions", streamBody);
        FakeExchange &call = fake.exchange(0);
        REQUIRE(call.connect());
        call.sendHead(200, eventStreamHeaders);
        REQUIRE(call.sendChunk("id: 0\ndata: 1\n\nid: 1\nda"));
        REQUIRE(caller->response.body == "id: 0\ndata: 1\n\n");
        REQUIRE(call.sendChunk("ta: 2\n\nid: 1\ndata: 2\n\ndata: [DONE]\n\n"));
        call.succeed();
        REQUIRE(caller->response.body == "id: 0\ndata: 1\n\nid: 1\ndata: 2\n\ndata: [DONE]\n\n");
        REQUIRE(caller->finished);
        REQUIRE(caller->header("Balsamport-Outcome") == "ran");
    }

    SECTION("a broken stream is resumed after its last chunk")
    {
        const auto caller = fake.request("POST", "/v1/chat/completions", streamBody);
        REQUIRE(fake.exchange(0).connect());
        fake.exchange(0).sendHead(200, eventStreamHeaders);
        REQUIRE(fake.exchange(0).sendChunk("id: 0\ndata: 1\n\nid: 1\ndata: 2\n\nid: 2\nda"));
        fake.exchange(0).fail(ErrorCode::ConnectionBroken);

        REQUIRE(fake.exchanges.size() == 2);
        REQUIRE(fake.exchange(1).request.url == "http://10.0.0.1:80/v1/resume");
        REQUIRE(fake.exchange(1).request.body.find("\"after\":1") != std::string::npos);
        REQUIRE(fake.exchange(1).connect());
        fake.exchange(1).sendHead(200, eventStreamHeaders);
        REQUIRE(fake.exchange(1).sendChunk("id: 2\ndata: 3\n\ndata: [DONE]\n\n"));
        fake.exchange(1).succeed();
        REQUIRE(caller->response.body
                == "id: 0\ndata: 1\n\nid: 1\ndata: 2\n\nid: 2\ndata: 3\n\ndata: [DONE]\n\n");
        REQUIRE(caller->finished);
    }

    SECTION("a stream that stays incomplete after all retries ends with a typed error")
    {
        const auto caller = fake.request("POST", "/v1/chat/completions", streamBody);
        for (std::size_t i = 0; i < fake.exchanges.size(); ++i) {
            REQUIRE(fake.exchange(i).connect());
            fake.exchange(i).sendHead(200, eventStreamHeaders);
            REQUIRE(fake.exchange(i).sendChunk("id: 0\ndata: 1\n\n"));
            fake.exchange(i).succeed();
            fake.runTimers();
        }
        REQUIRE(caller->response.body.find("[DONE]") == std::string::npos);
        REQUIRE(caller->response.body.find("\"type\":\"answer_incomplete\"") != std::string::npos);
        REQUIRE(caller->finished);
        REQUIRE(fake.gateway.requestsInProgress() == 0);
    }

    SECTION("a connection that breaks before the response leads to a retry, with the server")
    {
        const auto caller = fake.request("POST", "/v1/chat/completions", chatBody);
        REQUIRE(fake.exchange(0).connect());
        fake.exchange(0).fail(ErrorCode::ConnectionBroken);
        REQUIRE(fake.exchange(1).request.url == "http://10.0.0.1:80/v1/cancel");

        SECTION("reported as crashed where it refuses connections")
        {
            fake.exchange(1).fail(ErrorCode::ConnectFailed);
            REQUIRE(fake.reportedCrashes == std::vector{BackendServerId("server-1")});
            REQUIRE(fake.placementEnds == std::vector{PlacementEnd::ServerCrashed});
        }
        SECTION("reported as crashed where the probe's connection breaks too")
        {
            fake.exchange(1).fail(ErrorCode::ConnectionBroken);
            REQUIRE(fake.reportedCrashes == std::vector{BackendServerId("server-1")});
        }
        SECTION("reported as crashed where it restarted and does not know the request")
        {
            fake.exchange(1).sendHead(404, jsonHeaders);
            fake.exchange(1).succeed();
            REQUIRE(fake.reportedCrashes == std::vector{BackendServerId("server-1")});
            REQUIRE(fake.placementEnds == std::vector{PlacementEnd::ServerCrashed});
        }
        SECTION("not reported where it still knows the request")
        {
            fake.exchange(1).sendHead(200, jsonHeaders);
            fake.exchange(1).succeed();
            REQUIRE(fake.reportedCrashes.empty());
            REQUIRE(fake.placementEnds == std::vector{PlacementEnd::Broken});
            REQUIRE(fake.placementRequests.at(0).avoid.empty());
        }
        fake.runTimers();
        REQUIRE(fake.placementRequests.size() == 2);
        REQUIRE(fake.exchange(2).connect());
        fake.exchange(2).sendHead(200, jsonHeaders);
        REQUIRE(fake.exchange(2).sendChunk("{}"));
        fake.exchange(2).succeed();
        REQUIRE(caller->response.status == 200);
    }

    SECTION("attempts are limited, and the last failure gives a typed response")
    {
        const auto caller = fake.request("POST", "/v1/chat/completions", chatBody);
        for (std::size_t i = 0; i < fake.exchanges.size(); ++i) {
            if (fake.exchange(i).connect()) {
                fake.exchange(i).fail(ErrorCode::Timeout);
            }
            fake.runTimers();
        }
        REQUIRE(fake.exchanges.size() == maxAttempts);
        REQUIRE(caller->response.status == 504);
        REQUIRE(caller->header("Balsamport-Outcome") == "unknown");
        REQUIRE(fake.placementRequests.back().avoid.size() == maxAttempts - 1);
    }

    SECTION("a stream whose server crashed restarts on another server")
    {
        const std::string firstEvent
                = "id: 0\ndata: {\"id\":\"x\",\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\n";
        const std::string sameText
                = "id: 0\ndata: {\"id\":\"y\",\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\n";
        const std::string otherText
                = "id: 0\ndata: {\"id\":\"x\",\"choices\":[{\"delta\":{\"content\":\"b\"}}]}\n\n";
        const auto caller = fake.request("POST", "/v1/chat/completions", streamBody);
        REQUIRE(fake.exchange(0).connect());
        fake.exchange(0).sendHead(200, eventStreamHeaders);
        REQUIRE(fake.exchange(0).sendChunk(firstEvent));
        fake.exchange(0).fail(ErrorCode::ConnectionBroken);
        fake.exchange(1).fail(ErrorCode::ConnectFailed);
        REQUIRE(fake.reportedCrashes.size() == 1);
        fake.runTimers();
        REQUIRE(fake.exchange(2).request.url == "http://10.0.0.2:80/v1/chat/completions");
        REQUIRE(fake.exchange(2).connect());
        fake.exchange(2).sendHead(200, eventStreamHeaders);

        SECTION("and the caller gets no text twice")
        {
            REQUIRE(fake.exchange(2).sendChunk(sameText + "id: 1\ndata: 2\n\ndata: [DONE]\n\n"));
            fake.exchange(2).succeed();
            REQUIRE(caller->response.body == firstEvent + "id: 1\ndata: 2\n\ndata: [DONE]\n\n");
        }
        SECTION("and ends where the other server generates different text")
        {
            REQUIRE(fake.exchange(2).sendChunk(otherText + "id: 1\ndata: 2\n\ndata: [DONE]\n\n"));
            REQUIRE(fake.exchange(2).ended);
            REQUIRE(caller->response.body == firstEvent);
        }
    }

    SECTION("a started stream ends with a typed error where no other placement is granted")
    {
        const auto caller = fake.request("POST", "/v1/chat/completions", streamBody);
        REQUIRE(fake.exchange(0).connect());
        fake.exchange(0).sendHead(200, eventStreamHeaders);
        REQUIRE(fake.exchange(0).sendChunk("id: 0\ndata: 1\n\n"));
        fake.exchange(0).fail(ErrorCode::ConnectionBroken);
        fake.exchange(1).fail(ErrorCode::ConnectFailed);
        fake.placementRefusal = Error{ErrorCode::NoBackendServer, "none"};
        fake.runTimers();
        REQUIRE(caller->response.body.find("\"type\":\"no_backend_server\"") != std::string::npos);
        REQUIRE(caller->finished);
        REQUIRE(fake.gateway.requestsInProgress() == 0);
    }

    SECTION("a request that crashed two backend servers is refused")
    {
        fake.verdict = SuspectVerdict::Quarantine;
        const auto caller = fake.request("POST", "/v1/chat/completions", chatBody);
        REQUIRE(caller->response.status == 422);
        REQUIRE(fake.placementRequests.empty());
    }

    SECTION("a suspect waits until another run of the same request has ended")
    {
        fake.verdict = SuspectVerdict::Wait;
        const auto caller = fake.request("POST", "/v1/chat/completions", chatBody);
        REQUIRE(fake.placementRequests.empty());
        fake.verdict = SuspectVerdict::RunAlone;
        fake.runTimers();
        REQUIRE(fake.placementRequests.size() == 1);
    }

    SECTION("a response of another adapter version is discarded")
    {
        const auto caller = fake.request("POST", "/v1/chat/completions", chatBody);
        REQUIRE(fake.exchange(0).connect());
        fake.exchange(0).sendHead(200, {{"Balsamport-Model", "citrus-8b/burn-plan@4"}});
        REQUIRE(fake.exchange(0).ended);
        REQUIRE(caller->responseCount == 0);
        REQUIRE(fake.timers.size() == 1);
    }

    SECTION("a refused placement gives a typed response with not-run and Retry-After")
    {
        fake.placementRefusal = Error{ErrorCode::Overloaded, "full"};
        const auto caller = fake.request("POST", "/v1/chat/completions", chatBody);
        REQUIRE(caller->response.status == 503);
        REQUIRE(caller->header("Balsamport-Outcome") == "not-run");
        REQUIRE(caller->header("Retry-After") == "3");
        REQUIRE(caller->response.body.find(R"("type":"overloaded","code":201)")
                != std::string::npos);
    }
}

TEST_CASE("callers that are slow or disconnect")
{
    Snapshot config = smallSnapshot();
    config.limits.streamBufferBytes = 100;
    FakeGateway fake(config);
    const auto caller = std::make_shared<FakeWriter>();
    caller->slow = true;
    fake.requestWith(caller, "POST", "/v1/chat/completions", streamBody);
    FakeExchange &call = fake.exchange(0);
    REQUIRE(call.connect());
    call.sendHead(200, eventStreamHeaders);
    const std::string chunk = "data: \"" + std::string(58, 'x') + "\"\n\n";

    SECTION("a slow caller pauses the backend server once the buffer is full")
    {
        REQUIRE(call.sendChunk(chunk));
        REQUIRE(call.sendChunk(chunk));
        REQUIRE_FALSE(call.sendChunk(chunk));
        REQUIRE_FALSE(call.sendChunk(chunk));
        const std::size_t bufferedBytes = caller->response.body.size();
        REQUIRE(bufferedBytes < 200);

        SECTION("and the backend server resumes once the caller has read")
        {
            caller->readAll();
            REQUIRE(call.resumeCount == 1);
            REQUIRE(call.sendChunk(chunk));
            REQUIRE(caller->response.body.size() > bufferedBytes);
        }
    }

    SECTION("a stream counts as in progress until the slow caller has received all of it")
    {
        REQUIRE(call.sendChunk("data: [DONE]\n\n"));
        call.succeed();
        REQUIRE_FALSE(caller->finished);
        REQUIRE(fake.gateway.requestsInProgress() == 1);
        caller->readAll();
        REQUIRE(caller->finished);
        REQUIRE(fake.gateway.requestsInProgress() == 0);
    }

    SECTION("a disconnect cancels the engine's stream and releases the placement")
    {
        REQUIRE(call.sendChunk(chunk));
        caller->disconnect();
        REQUIRE(call.ended);
        REQUIRE(fake.exchange(1).request.url == "http://10.0.0.1:80/v1/cancel");
        REQUIRE(fake.placementEnds == std::vector{PlacementEnd::Cancelled});
        caller->readAll();
        REQUIRE(fake.gateway.requestsInProgress() == 0);
    }
}

TEST_CASE("a booking runs at most once")
{
    FakeGateway fake(smallSnapshot());
    const std::string path = "/v1/services/lots/bookings";
    const HttpHeaders key{{"Idempotency-Key", "k1"}};

    SECTION("a booking without a key is refused and not run")
    {
        const auto caller = fake.request("POST", path, "{}");
        REQUIRE(caller->response.status == 400);
        REQUIRE(caller->response.body.find("key_missing") != std::string::npos);
        REQUIRE(caller->header("Balsamport-Outcome") == "not-run");
        REQUIRE(fake.exchanges.empty());
    }

    SECTION("no other spelling of the path bypasses the non-repeatable rule")
    {
        for (const std::string form :
             {"/v1/services/lots//bookings", "/v1/services/lots/%62ookings",
              "/v1/services/lots/./bookings"}) {
            REQUIRE(fake.request("POST", form, "{}")->response.status == 400);
        }
        REQUIRE(fake.request("POST", "/v1/services/lots/BOOKINGS", "{}")->response.status == 400);
        REQUIRE(fake.exchanges.empty());
    }

    SECTION("a booking with a key is claimed and sent once, and a repeat gets the first response")
    {
        const auto first = fake.request("POST", path + "?day=1", "{}", key);
        const auto during = fake.request("POST", path + "?day=1", "{}", key);
        REQUIRE(during->response.status == 409);
        REQUIRE(during->header("Balsamport-Outcome") == "unknown");
        REQUIRE(fake.exchanges.size() == 1);
        REQUIRE(fake.exchange(0).request.url == "http://10.0.0.1:80/bookings?day=1");
        REQUIRE(findHeader(fake.exchange(0).request.headers, "Idempotency-Key") == "k1");
        REQUIRE(fake.exchange(0).connect());
        fake.exchange(0).sendHead(201, {});
        REQUIRE(fake.exchange(0).sendChunk("booked"));
        fake.exchange(0).succeed();
        REQUIRE(first->response.status == 201);

        const auto repeat = fake.request("POST", path + "?day=1", "{}", key);
        REQUIRE(repeat->response.status == 201);
        REQUIRE(repeat->response.body == "booked");
        REQUIRE(repeat->header("Balsamport-Outcome") == "ran");
        REQUIRE(fake.exchanges.size() == 1);

        const auto other = fake.request("POST", path + "?day=1", "{\"lots\":2}", key);
        REQUIRE(other->response.status == 422);
        REQUIRE(fake.exchanges.size() == 1);
    }

    SECTION("a booking that was sent is never resent")
    {
        const auto caller = fake.request("POST", path, "{}", key);
        REQUIRE(fake.exchange(0).connect());
        SECTION("after a broken connection")
        {
            fake.exchange(0).fail(ErrorCode::ConnectionBroken);
        }
        SECTION("after a timeout")
        {
            fake.exchange(0).fail(ErrorCode::Timeout);
        }
        SECTION("after a server error of the service")
        {
            fake.exchange(0).sendHead(503, {});
            fake.exchange(0).succeed();
        }
        fake.runTimers();
        REQUIRE(fake.exchanges.size() == 1);
        REQUIRE(caller->responseCount == 1);
        REQUIRE(caller->header("Balsamport-Outcome") == "unknown");
    }

    SECTION("a booking whose connection failed is sent to another backend server")
    {
        const auto caller = fake.request("POST", path, "{}", key);
        fake.exchange(0).fail(ErrorCode::ConnectFailed);
        fake.runTimers();
        REQUIRE(fake.exchanges.size() == 2);
        REQUIRE(fake.claimRequests.size() == 1);
    }

    SECTION("a gateway that resumes after the claim has expired sends nothing and reports not-run")
    {
        fake.claimLifetime = Millis(-1);
        const auto caller = fake.request("POST", path, "{}", key);
        REQUIRE_FALSE(fake.exchange(0).connect());
        REQUIRE(fake.exchanges.size() == 1);
        REQUIRE(caller->header("Balsamport-Outcome") == "not-run");
    }

    SECTION("a lost claim is reported as unknown unless the witnesses prove that nothing ran")
    {
        fake.claimRefusal = KeyClaimRefusal{{ErrorCode::KeyUsed, "used"}, false, ""};
        const auto caller = fake.request("POST", path, "{}", key);
        REQUIRE(caller->response.status == 409);
        REQUIRE(caller->header("Balsamport-Outcome") == "unknown");
        fake.claimRefusal = KeyClaimRefusal{{ErrorCode::WitnessUnavailable, "closed"}, true, ""};
        REQUIRE(fake.request("POST", path, "{}", key)->header("Balsamport-Outcome") == "not-run");
    }

    SECTION("a repeat through another gateway queries the gateway that ran the booking")
    {
        fake.claimRefusal = KeyClaimRefusal{{ErrorCode::KeyUsed, "used"}, false, "10.0.9.1:80"};
        const auto caller = fake.request("POST", path, "{}", key);
        REQUIRE(fake.exchange(0).request.url == "http://10.0.9.1:80" + path);
        REQUIRE(findHeader(fake.exchange(0).request.headers, "Balsamport-Answer-Query"));

        SECTION("and gets the first response where it is cached there")
        {
            fake.exchange(0).sendHead(201, {{"Balsamport-Outcome", "ran"}});
            REQUIRE(fake.exchange(0).sendChunk("booked"));
            fake.exchange(0).succeed();
            REQUIRE(caller->response.status == 201);
            REQUIRE(caller->response.body == "booked");
            REQUIRE(caller->header("Balsamport-Outcome") == "ran");
        }
        SECTION("and gets the outcome unknown where it is not")
        {
            fake.exchange(0).sendHead(409, {{"Balsamport-Outcome", "unknown"}});
            fake.exchange(0).succeed();
            REQUIRE(caller->response.status == 409);
            REQUIRE(caller->header("Balsamport-Outcome") == "unknown");
        }
    }

    SECTION("a query of another gateway claims and runs nothing")
    {
        const HttpHeaders query{{"Idempotency-Key", "k1"}, {"Balsamport-Answer-Query", "1"}};
        const auto queried = fake.request("POST", path, "{}", query);
        REQUIRE(queried->response.status == 409);
        REQUIRE(fake.claimRequests.empty());
        REQUIRE(fake.exchanges.empty());
        fake.request("POST", path, "{}", key);
        REQUIRE(fake.claimRequests.size() == 1);
    }

    SECTION("a disconnect does not cancel a booking, and its repeat gets the response")
    {
        const auto caller = fake.request("POST", path, "{}", key);
        REQUIRE(fake.exchange(0).connect());
        caller->disconnect();
        REQUIRE_FALSE(fake.exchange(0).ended);
        fake.exchange(0).sendHead(201, {});
        fake.exchange(0).succeed();
        REQUIRE(fake.request("POST", path, "{}", key)->response.status == 201);
    }
}

TEST_CASE("callers are identified by their API keys")
{
    Snapshot config = smallSnapshot();
    // SHA-256 of "secret".
    config.callers[CallerId("fyn")] = CallerConfig{
            CallerId("fyn"), "2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b",
            CallerClassId("growers")};
    config.callerClasses[CallerClassId("growers")]
            = CallerClassConfig{CallerClassId("growers"), 1, 2, 10};
    FakeGateway fake(config);

    REQUIRE(fake.request("POST", "/v1/chat/completions", chatBody)->response.status == 401);
    REQUIRE(fake.request("POST", "/v1/chat/completions", chatBody,
                         {{"Authorization", "Bearer wrong"}})
                    ->response.status
            == 401);
    REQUIRE(fake.exchanges.empty());
    const auto caller = fake.request("POST", "/v1/chat/completions", chatBody,
                                     {{"authorization", "Bearer secret"}});
    REQUIRE(fake.exchanges.size() == 1);
    REQUIRE(fake.placementRequests[0].priority == 7);
    REQUIRE_FALSE(findHeader(fake.exchange(0).request.headers, "Authorization"));
}

TEST_CASE("health checks, small endpoints and draining")
{
    FakeGateway fake(smallSnapshot());
    REQUIRE(fake.request("GET", "/health", "")->response.status == 200);
    REQUIRE(fake.request("GET", "/ready", "")->response.status == 200);
    REQUIRE(fake.request("GET", "/metrics", "")->response.body == "up 1\n");
    REQUIRE(fake.request("GET", "/v1/models", "")->response.body.find("\"burn-plan\"")
            != std::string::npos);
    REQUIRE(fake.request("POST", "/v1/tickets", "")->response.body == R"({"key":"ticket-1"})");
    REQUIRE(fake.request("GET", "/nothing", "")->response.status == 404);
    REQUIRE(fake.request("GET", "/v1/chat/completions", "")->response.status == 405);

    SECTION("requests before the first configuration get 503")
    {
        fake.snapshot = nullptr;
        REQUIRE(fake.request("GET", "/ready", "")->response.status == 503);
        REQUIRE(fake.request("POST", "/v1/chat/completions", chatBody)->response.status == 503);
    }

    SECTION("a draining gateway serves requests until the load balancer has noticed")
    {
        fake.gateway.startDraining(monotonicNow() + Millis(600'000));
        REQUIRE(fake.request("GET", "/health", "")->response.status == 503);
        const auto served = fake.request("POST", "/v1/chat/completions", chatBody);
        REQUIRE(fake.exchange(0).connect());
        fake.exchange(0).sendHead(200, jsonHeaders);
        fake.exchange(0).succeed();
        REQUIRE(served->response.status == 200);
        fake.gateway.startDraining();
        REQUIRE(fake.request("POST", "/v1/chat/completions", chatBody)->response.status == 503);
    }

    SECTION("a draining gateway refuses new requests and completes those in progress")
    {
        const auto running = fake.request("POST", "/v1/chat/completions", chatBody);
        fake.gateway.startDraining();
        REQUIRE(fake.request("GET", "/health", "")->response.status == 503);
        const auto refused = fake.request("POST", "/v1/chat/completions", chatBody);
        REQUIRE(refused->response.status == 503);
        REQUIRE(refused->header("Balsamport-Outcome") == "not-run");
        REQUIRE(fake.gateway.requestsInProgress() == 1);
        REQUIRE(fake.exchange(0).connect());
        fake.exchange(0).sendHead(200, jsonHeaders);
        fake.exchange(0).succeed();
        REQUIRE(running->response.status == 200);
        REQUIRE(fake.gateway.requestsInProgress() == 0);
    }
}

TEST_CASE("requests in progress are limited with a fair share for each class")
{
    ConcurrencyLimiter limiter(8);
    const CallerClassConfig big{CallerClassId("big"), 1, 0, 10};
    const CallerClassConfig small{CallerClassId("small"), 1, 0, 10};
    for (int i = 0; i < 6; ++i) {
        REQUIRE(limiter.tryAcquire(big, 2));
    }
    REQUIRE_FALSE(limiter.tryAcquire(big, 2));
    REQUIRE(limiter.tryAcquire(small, 2));
    REQUIRE(limiter.tryAcquire(small, 2));
    REQUIRE_FALSE(limiter.tryAcquire(small, 2));
    limiter.release(big.id);
    REQUIRE(limiter.tryAcquire(small, 2));
}

TEST_CASE("a route with shares splits requests by share and keeps the target of each over retries")
{
    Snapshot config = smallSnapshot();
    const AdapterRef version3{BaseModelId("citrus-8b"), AdapterId("burn-plan"), AdapterVersion(3)};
    const AdapterRef version4{BaseModelId("citrus-8b"), AdapterId("burn-plan"), AdapterVersion(4)};
    config.routes["burn-plan"].targets = {{version3, 90}, {version4, 10}};
    FakeGateway fake(config, 10'000);
    constexpr int count = 2'000;
    int version4Count = 0;
    for (int i = 0; i < count; ++i) {
        fake.request("POST", "/v1/chat/completions", chatBody);
        version4Count += fake.placementRequests.back().adapter == version4 ? 1 : 0;
    }
    REQUIRE(version4Count > count * 5 / 100);
    REQUIRE(version4Count < count * 15 / 100);

    fake.exchange(0).fail(ErrorCode::ConnectFailed);
    fake.runTimers();
    REQUIRE(fake.placementRequests.back().adapter == fake.placementRequests.front().adapter);
}

TEST_CASE("model names")
{
    SECTION("are parsed with or without a base, and refused in any other form")
    {
        REQUIRE(parseModelName("a@3")->version == AdapterVersion(3));
        REQUIRE(parseModelName("base/a@3")->base == BaseModelId("base"));
        for (const char *bad :
             {"", "a", "@3", "a@", "a@-1", "a@03", "a@3x", "/a@3", "a@99999999999999999999"}) {
            REQUIRE_FALSE(parseModelName(bad));
        }
    }
}
