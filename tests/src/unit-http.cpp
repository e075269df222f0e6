// Guards against requests that are lost or sent twice, against broken responses that look complete,
// and against the use of freed connections, when connections are kept, break or outlive a server.

#include <balsamport/http/http_client.h>
#include <balsamport/http/http_server.h>

#include <asio.hpp>
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

/// State of the test's server that outlives a request.
struct ServerState
{
    std::atomic<int> requests{0};
    std::promise<void> disconnected;
    std::shared_ptr<ResponseWriter> heldWriter;
};

void handleRequest(ServerState &state, const std::shared_ptr<const IncomingRequest> &request,
                   const std::shared_ptr<ResponseWriter> &writer)
{
    ++state.requests;
    if (request->path == "/echo") {
        HttpResponse response{201, {{"X-Query", request->query}}, request->body};
        for (const HttpHeader &header : request->headers) {
            response.headers.push_back({"Got-" + header.name, header.value + "."});
        }
        writer->send(response);
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
        state.heldWriter = writer;
        writer->onDisconnect([&state] { state.disconnected.set_value(); });
    }
}

/// A server that sends `head` on each connection, and then `repeated` until the caller closes the
/// connection.
class EndlessServer
{
public:
    EndlessServer(std::string head, std::string repeated)
        : head(std::move(head))
        , repeated(std::move(repeated))
        , acceptor(this->context, asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), 0))
        , thread([this] { this->run(); })
    { }
    ~EndlessServer()
    {
        this->stopping = true;
        asio::ip::tcp::socket last(this->context);
        asio::error_code ignored;
        last.connect(this->acceptor.local_endpoint(), ignored); // Ends a blocked accept.
        this->thread.join();
    }
    EndlessServer(const EndlessServer &) = delete;
    EndlessServer &operator=(const EndlessServer &) = delete;

    [[nodiscard]] std::string url() const
    {
        return "http://127.0.0.1:" + std::to_string(this->acceptor.local_endpoint().port()) + "/";
    }

    std::atomic<std::size_t> sent{0};

private:
    void run()
    {
        while (!this->stopping) {
            asio::ip::tcp::socket socket(this->context);
            asio::error_code failure;
            this->acceptor.accept(socket, failure);
            std::string next = this->head;
            while (!failure && !this->stopping) {
                this->sent += asio::write(socket, asio::buffer(next), failure);
                next = this->repeated;
            }
        }
    }

    std::string head;
    std::string repeated;
    std::atomic<bool> stopping{false};
    asio::io_context context;
    asio::ip::tcp::acceptor acceptor;
    std::thread thread;
};

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
    auto server = HttpServer::start(settings, [&state](auto request, auto writer) {
        handleRequest(state, request, writer);
    });
    REQUIRE(server.has_value());
    HttpClient client;

    SECTION("a request gets its complete response")
    {
        OutgoingRequest request = get("/echo?a=b");
        request.method = "POST";
        request.body = "hello";
        const auto response = client.fetch(request);
        REQUIRE(response.has_value());
        REQUIRE(response.value().status == 201);
        REQUIRE(response.value().body == "hello");
        REQUIRE(findHeader(response.value().headers, "x-query") == "a=b");
    }

    // Guards against fields that are lost on the way: libcurl takes "NAME:" for "don't send it".
    SECTION("a field without a value reaches the server")
    {
        OutgoingRequest request = get("/echo");
        request.headers = {{"X-Empty", ""}, {"X-Blank", " "}, {"X-Full", "a"}};
        const auto response = client.fetch(request);
        REQUIRE(response.has_value());
        REQUIRE(findHeader(response.value().headers, "Got-X-Empty") == ".");
        REQUIRE(findHeader(response.value().headers, "Got-X-Blank") == ".");
        REQUIRE(findHeader(response.value().headers, "Got-X-Full") == "a.");
    }

    SECTION("a stream is received in order")
    {
        const auto response = client.fetch(get("/stream"));
        REQUIRE(response.has_value());
        REQUIRE(response.value().body == "one two");
    }

    SECTION("an aborted response ends with ConnectionBroken, not as a complete one")
    {
        const auto response = client.fetch(get("/cut"));
        REQUIRE(response.has_error());
        REQUIRE(response.error().code == ErrorCode::ConnectionBroken);
    }

    SECTION("a request that mayStillSend refuses ends with ClaimExpired and is not sent")
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

    SECTION("a refused connection ends with ConnectFailed")
    {
        OutgoingRequest request = get("/");
        request.url = "http://127.0.0.1:18489/";
        const auto response = client.fetch(request);
        REQUIRE(response.has_error());
        REQUIRE(response.error().code == ErrorCode::ConnectFailed);
    }

    SECTION("the server's writer reports a disconnect after the caller cancels")
    {
        ExchangeHandlers handlers;
        std::promise<ErrorCode> result;
        handlers.onDone
                = [&result](const Result<void> &done) { result.set_value(done.error().code); };
        const std::uint64_t exchangeId = client.start(get("/hold"), handlers);
        while (state.requests == 0) {
            std::this_thread::yield();
        }
        client.cancel(exchangeId);
        REQUIRE(result.get_future().get() == ErrorCode::CallerGone);
        REQUIRE(state.disconnected.get_future().wait_for(std::chrono::seconds(5))
                == std::future_status::ready);
        REQUIRE(state.heldWriter->isDisconnected());
    }

    SECTION("a chunk that paused the exchange is passed again after resume()")
    {
        std::string body;
        std::atomic<bool> refuse{true};
        std::promise<void> done;
        std::promise<void> paused;
        ExchangeHandlers handlers;
        handlers.onBodyChunk = [&](std::string_view chunk) {
            if (refuse.exchange(false)) {
                paused.set_value();
                return false;
            }
            body += chunk;
            return true;
        };
        handlers.onDone = [&done](const Result<void> & /*result*/) { done.set_value(); };
        const std::uint64_t exchangeId = client.start(get("/stream"), handlers);
        paused.get_future().wait();
        client.resume(exchangeId);
        done.get_future().wait();
        REQUIRE(body == "one two");
    }

    SECTION("a second server on the same address fails with ListenFailed")
    {
        const auto second = HttpServer::start(settings, [](auto, auto) {});
        REQUIRE(second.has_error());
        REQUIRE(second.error().code == ErrorCode::ListenFailed);
    }
}

// Guards against lost responses and responses to another request: libcurl hands a kept connection
// to the next request in the same call in which the connection's last request ends.
TEST_CASE("requests of many callers on one client's connections get their own responses")
{
    HttpServerSettings settings;
    settings.address = "127.0.0.1:18484";
    auto server = HttpServer::start(settings, [](const auto &request, const auto &writer) {
                      writer->send(HttpResponse{200, {}, request->query});
                  }).value();
    HttpClient client;
    std::atomic<int> wrong{0};
    std::vector<std::thread> callers;
    constexpr int callerCount = 12;
    constexpr int requestsPerCaller = 1'500;
    for (int caller = 0; caller < callerCount; ++caller) {
        callers.emplace_back([&, caller] {
            for (int i = 0; i < requestsPerCaller; ++i) {
                const std::string mark = std::to_string(caller) + "-" + std::to_string(i);
                OutgoingRequest request;
                request.url = "http://" + settings.address + "/?" + mark;
                request.timeout = Millis(5'000);
                const auto response = client.fetch(request);
                wrong += response.has_value() && response.value().body == mark ? 0 : 1;
            }
        });
    }
    for (std::thread &caller : callers) {
        caller.join();
    }
    REQUIRE(wrong == 0);
}

// Guards against writers that use connections of a destroyed server. CTest sets MALLOC_PERTURB_,
// which fills freed memory, so that a lock in freed memory never becomes free.
TEST_CASE("a server that is destroyed")
{
    HttpServerSettings settings;
    settings.address = "127.0.0.1:18482";
    std::mutex mutex;
    std::vector<std::shared_ptr<ResponseWriter>> heldWriters;
    std::atomic<int> requests{0};
    auto server = HttpServer::start(settings, [&](const auto &request, const auto &writer) {
                      const std::lock_guard lock(mutex);
                      if (request->path == "/stream") {
                          writer->startStream(200, {});
                          writer->write("first", {});
                      }
                      heldWriters.push_back(writer);
                      ++requests;
                  }).value();
    auto client = std::make_unique<HttpClient>();
    OutgoingRequest request;

    SECTION("leaves the writers of unfinished responses without effect")
    {
        for (const char *path : {"/hold", "/stream"}) {
            request.url = "http://" + settings.address + path;
            client->start(request, {});
        }
        while (requests < 2) {
            std::this_thread::yield();
        }

        SECTION("while the callers are still connected")
        {
            server.reset();
        }

        SECTION("after the callers have disconnected")
        {
            client.reset();
            while (server->connections() > 0) {
                std::this_thread::yield();
            }
            server.reset();
        }

        for (const auto &writer : heldWriters) {
            REQUIRE(writer->isDisconnected());
            bool written = false;
            writer->write("second", [&written] { written = true; });
            REQUIRE(written);
            writer->send(HttpResponse{200, {}, "late"});
            writer->finish();
            bool called = false;
            writer->onDisconnect([&called] { called = true; });
            REQUIRE(called);
        }
        heldWriters.clear();
    }
}

// Guards against unbounded memory and time spent on a server that never ends its response.
TEST_CASE("a response without end is refused")
{
    constexpr std::size_t maxBytes = 1024 * 1024;
    HttpClient client;
    OutgoingRequest request;
    request.timeout = Millis(20'000);
    request.maxResponseBytes = maxBytes;
    const auto begin = std::chrono::steady_clock::now();
    const auto requireRefused = [&](EndlessServer &server) {
        request.url = server.url();
        const Result<HttpResponse> response = client.fetch(request);
        REQUIRE(response.has_error());
        REQUIRE(response.error().code != ErrorCode::Timeout);
        REQUIRE(response.error().code != ErrorCode::ConnectFailed);
        REQUIRE(std::chrono::steady_clock::now() - begin < std::chrono::seconds(10));
    };

    SECTION("endless header fields")
    {
        EndlessServer server("HTTP/1.1 200 OK\r\n", "X-More: " + std::string(200, 'x') + "\r\n");
        requireRefused(server);
    }
    SECTION("one endless header line")
    {
        EndlessServer server("HTTP/1.1 200 OK\r\nX-More: ", std::string(4096, 'x'));
        requireRefused(server);
    }
    SECTION("endless interim responses")
    {
        EndlessServer server("", "HTTP/1.1 100 Continue\r\n\r\n");
        requireRefused(server);
    }
    SECTION("endless bytes that are not HTTP")
    {
        EndlessServer server("", std::string(4096, '\x7f'));
        requireRefused(server);
    }
    SECTION("an endless body without a length")
    {
        EndlessServer server("HTTP/1.1 200 OK\r\n\r\n", std::string(4096, 'x'));
        requireRefused(server);
        REQUIRE(server.sent < 64 * maxBytes);
    }
    SECTION("an endless chunked body")
    {
        EndlessServer server("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
                             "5\r\nhello\r\n");
        requireRefused(server);
    }
}
