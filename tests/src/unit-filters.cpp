#include "fake_gateway.h"

#include <balsamport/filters/model_name.h>
#include <balsamport/filters/service_path.h>

#include <catch2/catch.hpp>

using namespace balsamport;
using namespace balsamport::testing;

TEST_CASE("a chat completion passes the chain")
{
    FakeGateway fake(smallSnapshot());

    SECTION("whole, with the alias resolved and the rest of the body untouched")
    {
        const auto caller = fake.request(
                "POST", "/v1/chat/completions",
                R"({"a":1.10, "model" : "burn-plan","messages":[],"b":[{"model":"x"}]})");
        REQUIRE(fake.exchanges.size() == 1);
        FakeExchange &call = fake.exchange(0);
        REQUIRE(call.request.url == "http://10.0.0.1:80/v1/chat/completions");
        REQUIRE(call.request.body
                == R"({"a":1.10, "model" : "citrus-8b/burn-plan@3","messages":[],"b":[{"model":"x"}]})");
        REQUIRE(fake.asked[0].priority == 5);
        REQUIRE(findHeader(call.request.headers, "Balsamport-Fencing") == "7");

        REQUIRE(call.connect());
        call.head(200, jsonAnswer);
        REQUIRE(call.piece("{\"id\""));
        REQUIRE(call.piece(":1}"));
        REQUIRE(caller->answers == 0);
        call.succeed();
        REQUIRE(caller->answer.status == 200);
        REQUIRE(caller->answer.body == "{\"id\":1}");
        REQUIRE(caller->header("Balsamport-Outcome") == "ran");
        REQUIRE(!caller->header("Balsamport-Request-Id").empty());
        REQUIRE(fake.released == std::vector{PlacementEnd::Finished});
        REQUIRE(fake.gateway.requestsInProgress() == 0);
    }

    SECTION("as a stream")
    {
        const auto caller = fake.request("POST", "/v1/chat/completions", streamBody);
        FakeExchange &call = fake.exchange(0);
        REQUIRE(call.connect());
        call.head(200, eventStream);
        REQUIRE(call.piece("id: 0\ndata: 1\n\nid: 1\nda"));
        REQUIRE(caller->answer.body == "id: 0\ndata: 1\n\n");
        REQUIRE(call.piece("ta: 2\n\nid: 1\ndata: 2\n\ndata: [DONE]\n\n"));
        call.succeed();
        REQUIRE(caller->answer.body == "id: 0\ndata: 1\n\nid: 1\ndata: 2\n\ndata: [DONE]\n\n");
        REQUIRE(caller->finished);
        REQUIRE(caller->header("Balsamport-Outcome") == "ran");
    }

    SECTION("a broken stream resumes after its last chunk")
    {
        const auto caller = fake.request("POST", "/v1/chat/completions", streamBody);
        REQUIRE(fake.exchange(0).connect());
        fake.exchange(0).head(200, eventStream);
        REQUIRE(fake.exchange(0).piece("id: 0\ndata: 1\n\nid: 1\ndata: 2\n\nid: 2\nda"));
        fake.exchange(0).fail(ErrorCode::ConnectionBroken);

        REQUIRE(fake.exchanges.size() == 2);
        REQUIRE(fake.exchange(1).request.url == "http://10.0.0.1:80/v1/resume");
        REQUIRE(fake.exchange(1).request.body.find("\"after\":1") != std::string::npos);
        REQUIRE(fake.exchange(1).connect());
        fake.exchange(1).head(200, eventStream);
        REQUIRE(fake.exchange(1).piece("id: 2\ndata: 3\n\ndata: [DONE]\n\n"));
        fake.exchange(1).succeed();
        REQUIRE(caller->answer.body
                == "id: 0\ndata: 1\n\nid: 1\ndata: 2\n\nid: 2\ndata: 3\n\ndata: [DONE]\n\n");
        REQUIRE(caller->finished);
    }

    SECTION("a stream that never ends well ends in a typed error, not in a silent cut")
    {
        const auto caller = fake.request("POST", "/v1/chat/completions", streamBody);
        for (std::size_t i = 0; i < fake.exchanges.size(); ++i) {
            REQUIRE(fake.exchange(i).connect());
            fake.exchange(i).head(200, eventStream);
            REQUIRE(fake.exchange(i).piece("id: 0\ndata: 1\n\n"));
            fake.exchange(i).succeed();
            fake.runTimers();
        }
        REQUIRE(caller->answer.body.find("[DONE]") == std::string::npos);
        REQUIRE(caller->answer.body.find("\"type\":\"answer_incomplete\"") != std::string::npos);
        REQUIRE(caller->finished);
        REQUIRE(fake.gateway.requestsInProgress() == 0);
    }

    SECTION("a backend server that breaks before any answer is replaced")
    {
        const auto caller = fake.request("POST", "/v1/chat/completions", chatBody);
        REQUIRE(fake.exchange(0).connect());
        fake.exchange(0).fail(ErrorCode::ConnectionBroken);
        REQUIRE(fake.exchange(1).request.url == "http://10.0.0.1:80/v1/cancel");

        SECTION("as dead where it takes no connection")
        {
            fake.exchange(1).fail(ErrorCode::ConnectFailed);
            REQUIRE(fake.crashes == std::vector{BackendServerId("server-1")});
            REQUIRE(fake.released == std::vector{PlacementEnd::ServerCrashed});
        }
        SECTION("as dead where its last connection breaks too")
        {
            fake.exchange(1).fail(ErrorCode::ConnectionBroken);
            REQUIRE(fake.crashes == std::vector{BackendServerId("server-1")});
        }
        SECTION("as dead where it has started again and does not know the request")
        {
            fake.exchange(1).head(404, jsonAnswer);
            fake.exchange(1).succeed();
            REQUIRE(fake.crashes == std::vector{BackendServerId("server-1")});
            REQUIRE(fake.released == std::vector{PlacementEnd::ServerCrashed});
        }
        SECTION("as broken where it still knows the request")
        {
            fake.exchange(1).head(200, jsonAnswer);
            fake.exchange(1).succeed();
            REQUIRE(fake.crashes.empty());
            REQUIRE(fake.released == std::vector{PlacementEnd::Broken});
            REQUIRE(fake.asked.at(0).avoid.empty());
        }
        fake.runTimers();
        REQUIRE(fake.asked.size() == 2);
        REQUIRE(fake.exchange(2).connect());
        fake.exchange(2).head(200, jsonAnswer);
        REQUIRE(fake.exchange(2).piece("{}"));
        fake.exchange(2).succeed();
        REQUIRE(caller->answer.status == 200);
    }

    SECTION("attempts are bounded, and the last failure is typed")
    {
        const auto caller = fake.request("POST", "/v1/chat/completions", chatBody);
        for (std::size_t i = 0; i < fake.exchanges.size(); ++i) {
            if (fake.exchange(i).connect()) {
                fake.exchange(i).fail(ErrorCode::Timeout);
            }
            fake.runTimers();
        }
        REQUIRE(fake.exchanges.size() == maxAttempts);
        REQUIRE(caller->answer.status == 504);
        REQUIRE(caller->header("Balsamport-Outcome") == "unknown");
        REQUIRE(fake.asked.back().avoid.size() == maxAttempts - 1);
    }

    SECTION("a stream whose server died goes on elsewhere, with the text checked")
    {
        const std::string one
                = "id: 0\ndata: {\"id\":\"x\",\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\n";
        const std::string same
                = "id: 0\ndata: {\"id\":\"y\",\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\n";
        const std::string other
                = "id: 0\ndata: {\"id\":\"x\",\"choices\":[{\"delta\":{\"content\":\"b\"}}]}\n\n";
        const auto caller = fake.request("POST", "/v1/chat/completions", streamBody);
        REQUIRE(fake.exchange(0).connect());
        fake.exchange(0).head(200, eventStream);
        REQUIRE(fake.exchange(0).piece(one));
        fake.exchange(0).fail(ErrorCode::ConnectionBroken);
        fake.exchange(1).fail(ErrorCode::ConnectFailed);
        REQUIRE(fake.crashes.size() == 1);
        fake.runTimers();
        REQUIRE(fake.exchange(2).request.url == "http://10.0.0.2:80/v1/chat/completions");
        REQUIRE(fake.exchange(2).connect());
        fake.exchange(2).head(200, eventStream);

        SECTION("the caller sees no text twice")
        {
            REQUIRE(fake.exchange(2).piece(same + "id: 1\ndata: 2\n\ndata: [DONE]\n\n"));
            fake.exchange(2).succeed();
            REQUIRE(caller->answer.body == one + "id: 1\ndata: 2\n\ndata: [DONE]\n\n");
        }
        SECTION("and never parts of two different answers")
        {
            REQUIRE(fake.exchange(2).piece(other + "id: 1\ndata: 2\n\ndata: [DONE]\n\n"));
            REQUIRE(fake.exchange(2).ended);
            REQUIRE(caller->answer.body == one);
        }
    }

    SECTION("a stream that has started fails typed where no other place is found")
    {
        const auto caller = fake.request("POST", "/v1/chat/completions", streamBody);
        REQUIRE(fake.exchange(0).connect());
        fake.exchange(0).head(200, eventStream);
        REQUIRE(fake.exchange(0).piece("id: 0\ndata: 1\n\n"));
        fake.exchange(0).fail(ErrorCode::ConnectionBroken);
        fake.exchange(1).fail(ErrorCode::ConnectFailed);
        fake.refusePlaces = Error{ErrorCode::NoBackendServer, "none"};
        fake.runTimers();
        REQUIRE(caller->answer.body.find("\"type\":\"no_backend_server\"") != std::string::npos);
        REQUIRE(caller->finished);
        REQUIRE(fake.gateway.requestsInProgress() == 0);
    }

    SECTION("a request that crashed two backend servers is refused")
    {
        fake.verdict = SuspectVerdict::Quarantine;
        const auto caller = fake.request("POST", "/v1/chat/completions", chatBody);
        REQUIRE(caller->answer.status == 422);
        REQUIRE(fake.asked.empty());
    }

    SECTION("a suspect waits until the same request has ended elsewhere")
    {
        fake.verdict = SuspectVerdict::Wait;
        const auto caller = fake.request("POST", "/v1/chat/completions", chatBody);
        REQUIRE(fake.asked.empty());
        fake.verdict = SuspectVerdict::RunAlone;
        fake.runTimers();
        REQUIRE(fake.asked.size() == 1);
    }

    SECTION("an answer of another version is discarded")
    {
        const auto caller = fake.request("POST", "/v1/chat/completions", chatBody);
        REQUIRE(fake.exchange(0).connect());
        fake.exchange(0).head(200, {{"Balsamport-Model", "citrus-8b/burn-plan@4"}});
        REQUIRE(fake.exchange(0).ended);
        REQUIRE(caller->answers == 0);
        REQUIRE(fake.timers.size() == 1);
    }

    SECTION("no place gives a typed refusal that says not-run and when to come back")
    {
        fake.refusePlaces = Error{ErrorCode::Overloaded, "full"};
        const auto caller = fake.request("POST", "/v1/chat/completions", chatBody);
        REQUIRE(caller->answer.status == 503);
        REQUIRE(caller->header("Balsamport-Outcome") == "not-run");
        REQUIRE(caller->header("Retry-After") == "3");
        REQUIRE(caller->answer.body.find(R"("type":"overloaded","code":201)") != std::string::npos);
    }
}

TEST_CASE("callers that are slow or leave")
{
    Snapshot config = smallSnapshot();
    config.limits.streamBufferBytes = 100;
    FakeGateway fake(config);
    const auto caller = std::make_shared<FakeWriter>();
    caller->slow = true;
    fake.requestWith(caller, "POST", "/v1/chat/completions", streamBody);
    FakeExchange &call = fake.exchange(0);
    REQUIRE(call.connect());
    call.head(200, eventStream);
    const std::string chunk = "data: \"" + std::string(58, 'x') + "\"\n\n";

    SECTION("a slow caller pauses the backend server once the buffer is full")
    {
        REQUIRE(call.piece(chunk));
        REQUIRE(call.piece(chunk));
        REQUIRE_FALSE(call.piece(chunk));
        REQUIRE_FALSE(call.piece(chunk));
        const std::size_t held = caller->answer.body.size();
        REQUIRE(held < 200);

        SECTION("and it goes on when the caller has read")
        {
            caller->readAll();
            REQUIRE(call.resumed == 1);
            REQUIRE(call.piece(chunk));
            REQUIRE(caller->answer.body.size() > held);
        }
    }

    SECTION("a stream ends once the slow caller has all of it")
    {
        REQUIRE(call.piece("data: [DONE]\n\n"));
        call.succeed();
        REQUIRE_FALSE(caller->finished);
        REQUIRE(fake.gateway.requestsInProgress() == 1);
        caller->readAll();
        REQUIRE(caller->finished);
        REQUIRE(fake.gateway.requestsInProgress() == 0);
    }

    SECTION("a caller that leaves cancels the engine's stream and gives the place back")
    {
        REQUIRE(call.piece(chunk));
        caller->leave();
        REQUIRE(call.ended);
        REQUIRE(fake.exchange(1).request.url == "http://10.0.0.1:80/v1/cancel");
        REQUIRE(fake.released == std::vector{PlacementEnd::Cancelled});
        caller->readAll();
        REQUIRE(fake.gateway.requestsInProgress() == 0);
    }
}

TEST_CASE("a booking runs at most once")
{
    FakeGateway fake(smallSnapshot());
    const std::string path = "/v1/services/lots/bookings";
    const HttpHeaders key{{"Idempotency-Key", "k1"}};

    SECTION("without a key it is refused and not run")
    {
        const auto caller = fake.request("POST", path, "{}");
        REQUIRE(caller->answer.status == 400);
        REQUIRE(caller->answer.body.find("key_missing") != std::string::npos);
        REQUIRE(caller->header("Balsamport-Outcome") == "not-run");
        REQUIRE(fake.exchanges.empty());
    }

    SECTION("no other written form of the path gets round the rule")
    {
        for (const std::string form :
             {"/v1/services/lots//bookings", "/v1/services/lots/%62ookings",
              "/v1/services/lots/./bookings"}) {
            REQUIRE(fake.request("POST", form, "{}")->answer.status == 400);
        }
        REQUIRE(fake.request("POST", "/v1/services/lots/BOOKINGS", "{}")->answer.status == 400);
        REQUIRE(fake.exchanges.empty());
    }

    SECTION("with a key it is claimed, sent once, and a repeat gets the first answer")
    {
        const auto first = fake.request("POST", path + "?day=1", "{}", key);
        const auto during = fake.request("POST", path + "?day=1", "{}", key);
        REQUIRE(during->answer.status == 409);
        REQUIRE(during->header("Balsamport-Outcome") == "unknown");
        REQUIRE(fake.exchanges.size() == 1);
        REQUIRE(fake.exchange(0).request.url == "http://10.0.0.1:80/bookings?day=1");
        REQUIRE(findHeader(fake.exchange(0).request.headers, "Idempotency-Key") == "k1");
        REQUIRE(fake.exchange(0).connect());
        fake.exchange(0).head(201, {});
        REQUIRE(fake.exchange(0).piece("booked"));
        fake.exchange(0).succeed();
        REQUIRE(first->answer.status == 201);

        const auto repeat = fake.request("POST", path + "?day=1", "{}", key);
        REQUIRE(repeat->answer.status == 201);
        REQUIRE(repeat->answer.body == "booked");
        REQUIRE(repeat->header("Balsamport-Outcome") == "ran");
        REQUIRE(fake.exchanges.size() == 1);

        const auto other = fake.request("POST", path + "?day=1", "{\"lots\":2}", key);
        REQUIRE(other->answer.status == 422);
        REQUIRE(fake.exchanges.size() == 1);
    }

    SECTION("once sent it is never sent again")
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
        SECTION("after an error of the service")
        {
            fake.exchange(0).head(503, {});
            fake.exchange(0).succeed();
        }
        fake.runTimers();
        REQUIRE(fake.exchanges.size() == 1);
        REQUIRE(caller->answers == 1);
        REQUIRE(caller->header("Balsamport-Outcome") == "unknown");
    }

    SECTION("a connection that was never made lets another backend server run it")
    {
        const auto caller = fake.request("POST", path, "{}", key);
        fake.exchange(0).fail(ErrorCode::ConnectFailed);
        fake.runTimers();
        REQUIRE(fake.exchanges.size() == 2);
        REQUIRE(fake.claimed.size() == 1);
    }

    SECTION("a gateway that wakes late sends nothing and may say not-run")
    {
        fake.claimLife = Millis(-1);
        const auto caller = fake.request("POST", path, "{}", key);
        REQUIRE_FALSE(fake.exchange(0).connect());
        REQUIRE(fake.exchanges.size() == 1);
        REQUIRE(caller->header("Balsamport-Outcome") == "not-run");
    }

    SECTION("a lost claim is unknown unless the witnesses exclude that it ran")
    {
        fake.refuseClaims = KeyClaimRefusal{{ErrorCode::KeyUsed, "used"}, false, ""};
        const auto caller = fake.request("POST", path, "{}", key);
        REQUIRE(caller->answer.status == 409);
        REQUIRE(caller->header("Balsamport-Outcome") == "unknown");
        fake.refuseClaims = KeyClaimRefusal{{ErrorCode::WitnessUnavailable, "closed"}, true, ""};
        REQUIRE(fake.request("POST", path, "{}", key)->header("Balsamport-Outcome") == "not-run");
    }

    SECTION("a repeat through another gateway gets the first answer from the one that ran it")
    {
        fake.refuseClaims = KeyClaimRefusal{{ErrorCode::KeyUsed, "used"}, false, "10.0.9.1:80"};
        const auto caller = fake.request("POST", path, "{}", key);
        REQUIRE(fake.exchange(0).request.url == "http://10.0.9.1:80" + path);
        REQUIRE(findHeader(fake.exchange(0).request.headers, "Balsamport-Answer-Query"));

        SECTION("where it is held")
        {
            fake.exchange(0).head(201, {{"Balsamport-Outcome", "ran"}});
            REQUIRE(fake.exchange(0).piece("booked"));
            fake.exchange(0).succeed();
            REQUIRE(caller->answer.status == 201);
            REQUIRE(caller->answer.body == "booked");
            REQUIRE(caller->header("Balsamport-Outcome") == "ran");
        }
        SECTION("and is told unknown where it is not")
        {
            fake.exchange(0).head(409, {{"Balsamport-Outcome", "unknown"}});
            fake.exchange(0).succeed();
            REQUIRE(caller->answer.status == 409);
            REQUIRE(caller->header("Balsamport-Outcome") == "unknown");
        }
    }

    SECTION("a query of another gateway claims and runs nothing")
    {
        const HttpHeaders query{{"Idempotency-Key", "k1"}, {"Balsamport-Answer-Query", "1"}};
        const auto asked = fake.request("POST", path, "{}", query);
        REQUIRE(asked->answer.status == 409);
        REQUIRE(fake.claimed.empty());
        REQUIRE(fake.exchanges.empty());
        fake.request("POST", path, "{}", key);
        REQUIRE(fake.claimed.size() == 1);
    }

    SECTION("a caller that leaves does not stop it, and its repeat gets the answer")
    {
        const auto caller = fake.request("POST", path, "{}", key);
        REQUIRE(fake.exchange(0).connect());
        caller->leave();
        REQUIRE_FALSE(fake.exchange(0).ended);
        fake.exchange(0).head(201, {});
        fake.exchange(0).succeed();
        REQUIRE(fake.request("POST", path, "{}", key)->answer.status == 201);
    }
}

TEST_CASE("callers are known by their keys")
{
    Snapshot config = smallSnapshot();
    // SHA-256 of "secret".
    config.callers[CallerId("fyn")] = CallerConfig{
            CallerId("fyn"), "2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b",
            CallerClassId("growers")};
    config.callerClasses[CallerClassId("growers")]
            = CallerClassConfig{CallerClassId("growers"), 1, 2, 10};
    FakeGateway fake(config);

    REQUIRE(fake.request("POST", "/v1/chat/completions", chatBody)->answer.status == 401);
    REQUIRE(fake.request("POST", "/v1/chat/completions", chatBody,
                         {{"Authorization", "Bearer wrong"}})
                    ->answer.status
            == 401);
    REQUIRE(fake.exchanges.empty());
    const auto caller = fake.request("POST", "/v1/chat/completions", chatBody,
                                     {{"authorization", "Bearer secret"}});
    REQUIRE(fake.exchanges.size() == 1);
    REQUIRE(fake.asked[0].priority == 7);
    REQUIRE_FALSE(findHeader(fake.exchange(0).request.headers, "Authorization"));
}

TEST_CASE("small answers and planned stops")
{
    FakeGateway fake(smallSnapshot());
    REQUIRE(fake.request("GET", "/health", "")->answer.status == 200);
    REQUIRE(fake.request("GET", "/ready", "")->answer.status == 200);
    REQUIRE(fake.request("GET", "/metrics", "")->answer.body == "up 1\n");
    REQUIRE(fake.request("GET", "/v1/models", "")->answer.body.find("\"burn-plan\"")
            != std::string::npos);
    REQUIRE(fake.request("POST", "/v1/tickets", "")->answer.body == R"({"key":"ticket-1"})");
    REQUIRE(fake.request("GET", "/nothing", "")->answer.status == 404);
    REQUIRE(fake.request("GET", "/v1/chat/completions", "")->answer.status == 405);

    SECTION("before the first configuration")
    {
        fake.snapshot = nullptr;
        REQUIRE(fake.request("GET", "/ready", "")->answer.status == 503);
        REQUIRE(fake.request("POST", "/v1/chat/completions", chatBody)->answer.status == 503);
    }

    SECTION("leaving, while the balancer has not seen it yet: requests are still served")
    {
        fake.gateway.startDraining(monotonicNow() + Millis(600'000));
        REQUIRE(fake.request("GET", "/health", "")->answer.status == 503);
        const auto served = fake.request("POST", "/v1/chat/completions", chatBody);
        REQUIRE(fake.exchange(0).connect());
        fake.exchange(0).head(200, jsonAnswer);
        fake.exchange(0).succeed();
        REQUIRE(served->answer.status == 200);
        fake.gateway.startDraining();
        REQUIRE(fake.request("POST", "/v1/chat/completions", chatBody)->answer.status == 503);
    }

    SECTION("leaving: no new work, but requests in progress end")
    {
        const auto running = fake.request("POST", "/v1/chat/completions", chatBody);
        fake.gateway.startDraining();
        REQUIRE(fake.request("GET", "/health", "")->answer.status == 503);
        const auto refused = fake.request("POST", "/v1/chat/completions", chatBody);
        REQUIRE(refused->answer.status == 503);
        REQUIRE(refused->header("Balsamport-Outcome") == "not-run");
        REQUIRE(fake.gateway.requestsInProgress() == 1);
        REQUIRE(fake.exchange(0).connect());
        fake.exchange(0).head(200, jsonAnswer);
        fake.exchange(0).succeed();
        REQUIRE(running->answer.status == 200);
        REQUIRE(fake.gateway.requestsInProgress() == 0);
    }
}

TEST_CASE("requests in progress are bounded with a fair share for each class")
{
    InProgress progress(8);
    const CallerClassConfig big{CallerClassId("big"), 1, 0, 10};
    const CallerClassConfig small{CallerClassId("small"), 1, 0, 10};
    for (int i = 0; i < 6; ++i) {
        REQUIRE(progress.tryEnter(big, 2));
    }
    REQUIRE_FALSE(progress.tryEnter(big, 2));
    REQUIRE(progress.tryEnter(small, 2));
    REQUIRE(progress.tryEnter(small, 2));
    REQUIRE_FALSE(progress.tryEnter(small, 2));
    progress.leave(big.id);
    REQUIRE(progress.tryEnter(small, 2));
}

TEST_CASE("a route with shares keeps its choice for a request")
{
    Snapshot config = smallSnapshot();
    const AdapterRef three{BaseModelId("citrus-8b"), AdapterId("burn-plan"), AdapterVersion(3)};
    const AdapterRef four{BaseModelId("citrus-8b"), AdapterId("burn-plan"), AdapterVersion(4)};
    config.routes["burn-plan"].targets = {{three, 90}, {four, 10}};
    FakeGateway fake(config, 10'000);
    constexpr int count = 2'000;
    int onFour = 0;
    for (int i = 0; i < count; ++i) {
        fake.request("POST", "/v1/chat/completions", chatBody);
        onFour += fake.asked.back().adapter == four ? 1 : 0;
    }
    REQUIRE(onFour > count * 5 / 100);
    REQUIRE(onFour < count * 15 / 100);

    fake.exchange(0).fail(ErrorCode::ConnectFailed);
    fake.runTimers();
    REQUIRE(fake.asked.back().adapter == fake.asked.front().adapter);
}

TEST_CASE("small parsers")
{
    SECTION("model names")
    {
        REQUIRE(parseModelName("a@3")->version == AdapterVersion(3));
        REQUIRE(parseModelName("base/a@3")->base == BaseModelId("base"));
        for (const char *bad :
             {"", "a", "@3", "a@", "a@-1", "a@03", "a@3x", "/a@3", "a@99999999999999999999"}) {
            REQUIRE_FALSE(parseModelName(bad));
        }
    }
}
