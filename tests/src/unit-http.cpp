#include <balsamport/http/http_client.h>
#include <balsamport/http/http_server.h>

#include <catch2/catch.hpp>

#include <atomic>
#include <future>
#include <mutex>
#include <thread>
#include <vector>

using namespace balsamport;

namespace {

const std::string listenAddress = "127.0.0.1:18481";
const std::string baseUrl = "http://" + listenAddress;

/// What the test's server keeps between requests.
struct ServerState
{
    std::atomic<int> requests{0};
    std::promise<void> callerGone;
    std::shared_ptr<ResponseWriter> kept;
};

void answer(ServerState &state, const std::shared_ptr<const IncomingRequest> &request,
            const std::shared_ptr<ResponseWriter> &writer)
{
    ++state.requests;
    if (request->path == "/echo") {
        writer->send(HttpAnswer{201, {{"X-Query", request->query}}, request->body});
    } else if (request->path == "/stream") {
        writer->startStream(200, {{"Content-Type", "text/event-stream"}});
        writer->write("one ", {});
        writer->write("two", {});
        writer->finish();
    } else if (request->path == "/cut") {
        writer->startStream(200, {});
        writer->write("half", {});
        writer->abort();
    } else if (request->path == "/hold") {
        state.kept = writer;
        writer->onGone([&state] { state.callerGone.set_value(); });
    }
}

OutgoingRequest get(const std::string &path)
{
    OutgoingRequest request;
    request.url = baseUrl + path;
    request.timeout = Millis(5000);
    return request;
}

} // namespace

TEST_CASE("HTTP between client and server")
{
    ServerState state;
    HttpServerSettings settings;
    settings.address = listenAddress;
    auto server = HttpServer::start(
            settings, [&state](auto request, auto writer) { answer(state, request, writer); });
    REQUIRE(server.has_value());
    HttpClient client;

    SECTION("a request is answered whole")
    {
        OutgoingRequest request = get("/echo?a=b");
        request.method = "POST";
        request.body = "hello";
        const auto reply = client.fetch(request);
        REQUIRE(reply.has_value());
        REQUIRE(reply.value().status == 201);
        REQUIRE(reply.value().body == "hello");
        REQUIRE(findHeader(reply.value().headers, "x-query") == "a=b");
    }

    SECTION("a stream arrives in order")
    {
        const auto reply = client.fetch(get("/stream"));
        REQUIRE(reply.has_value());
        REQUIRE(reply.value().body == "one two");
    }

    SECTION("a broken answer never looks whole")
    {
        const auto reply = client.fetch(get("/cut"));
        REQUIRE(reply.has_error());
        REQUIRE(reply.error().code == ErrorCode::ConnectionBroken);
    }

    SECTION("a request that may not be sent any more is not sent")
    {
        std::promise<ErrorCode> result;
        ExchangeHandlers handlers;
        handlers.mayStillSend = [] { return false; };
        handlers.onDone
                = [&result](const Result<void> &done) { result.set_value(done.error().code); };
        client.start(get("/echo"), handlers);
        REQUIRE(result.get_future().get() == ErrorCode::ClaimExpired);
        REQUIRE(state.requests == 0);
    }

    SECTION("a refused connection says that nothing was sent")
    {
        OutgoingRequest request = get("/");
        request.url = "http://127.0.0.1:18489/";
        const auto reply = client.fetch(request);
        REQUIRE(reply.has_error());
        REQUIRE(reply.error().code == ErrorCode::ConnectFailed);
    }

    SECTION("the server learns that a caller has gone")
    {
        ExchangeHandlers handlers;
        std::promise<ErrorCode> result;
        handlers.onDone
                = [&result](const Result<void> &done) { result.set_value(done.error().code); };
        const std::uint64_t number = client.start(get("/hold"), handlers);
        while (state.requests == 0) {
            std::this_thread::yield();
        }
        client.cancel(number);
        REQUIRE(result.get_future().get() == ErrorCode::CallerGone);
        REQUIRE(state.callerGone.get_future().wait_for(std::chrono::seconds(5))
                == std::future_status::ready);
        REQUIRE(state.kept->isGone());
    }

    SECTION("a paused piece is given again after resume")
    {
        std::string body;
        std::atomic<bool> refuse{true};
        std::promise<void> done;
        std::promise<void> paused;
        ExchangeHandlers handlers;
        handlers.onPiece = [&](std::string_view piece) {
            if (refuse.exchange(false)) {
                paused.set_value();
                return false;
            }
            body += piece;
            return true;
        };
        handlers.onDone = [&done](const Result<void> & /*result*/) { done.set_value(); };
        const std::uint64_t number = client.start(get("/stream"), handlers);
        paused.get_future().wait();
        client.resume(number);
        done.get_future().wait();
        REQUIRE(body == "one two");
    }

    SECTION("a second server on the address is a typed failure")
    {
        const auto second = HttpServer::start(settings, [](auto, auto) {});
        REQUIRE(second.has_error());
        REQUIRE(second.error().code == ErrorCode::ListenFailed);
    }
}

// A kept connection is taken over in the same step of libcurl in which its last request ends.
TEST_CASE("many callers share the connections of one client")
{
    HttpServerSettings settings;
    settings.address = "127.0.0.1:18484";
    auto server = HttpServer::start(settings, [](const auto &request, const auto &writer) {
                      writer->send(HttpAnswer{200, {}, request->query});
                  }).value();
    HttpClient client;
    std::atomic<int> wrong{0};
    std::vector<std::thread> callers;
    constexpr int callerCount = 12;
    constexpr int requestsOfEach = 1'500;
    for (int caller = 0; caller < callerCount; ++caller) {
        callers.emplace_back([&, caller] {
            for (int i = 0; i < requestsOfEach; ++i) {
                const std::string mark = std::to_string(caller) + "-" + std::to_string(i);
                OutgoingRequest request;
                request.url = "http://" + settings.address + "/?" + mark;
                request.timeout = Millis(5'000);
                const auto reply = client.fetch(request);
                wrong += reply.has_value() && reply.value().body == mark ? 0 : 1;
            }
        });
    }
    for (std::thread &caller : callers) {
        caller.join();
    }
    REQUIRE(wrong == 0);
}

// Run by CTest with MALLOC_PERTURB_, which fills freed memory: a lock there would never be free.
TEST_CASE("A server that stops")
{
    HttpServerSettings settings;
    settings.address = "127.0.0.1:18482";
    std::mutex mutex;
    std::vector<std::shared_ptr<ResponseWriter>> kept;
    std::atomic<int> requests{0};
    auto server = HttpServer::start(settings, [&](const auto &request, const auto &writer) {
                      const std::lock_guard lock(mutex);
                      if (request->path == "/stream") {
                          writer->startStream(200, {});
                          writer->write("first", {});
                      }
                      kept.push_back(writer);
                      ++requests;
                  }).value();
    auto client = std::make_unique<HttpClient>();
    OutgoingRequest request;

    SECTION("leaves answers that nobody has given yet without effect")
    {
        for (const char *path : {"/hold", "/stream"}) {
            request.url = "http://" + settings.address + path;
            client->start(request, {});
        }
        while (requests < 2) {
            std::this_thread::yield();
        }

        SECTION("while their callers still wait")
        {
            server.reset();
        }

        SECTION("after their callers have gone")
        {
            client.reset();
            while (server->connections() > 0) {
                std::this_thread::yield();
            }
            server.reset();
        }

        for (const auto &writer : kept) {
            REQUIRE(writer->isGone());
            bool written = false;
            writer->write("second", [&written] { written = true; });
            REQUIRE(written);
            writer->send(HttpAnswer{200, {}, "late"});
            writer->finish();
            bool told = false;
            writer->onGone([&told] { told = true; });
            REQUIRE(told);
        }
        kept.clear();
    }
}
