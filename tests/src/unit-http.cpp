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
        writer->send(HttpResponse{201, {{"X-Query", request->query}}, request->body});
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
        writer->onDisconnect([&state] { state.callerGone.set_value(); });
    }
}

/// A server that answers each connection with a beginning, and then with the same text again and
/// again until the caller closes.
class EndlessServer
{
public:
    EndlessServer(std::string begin, std::string repeated)
        : beginning(std::move(begin))
        , text(std::move(repeated))
        , acceptor(this->context, asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), 0))
        , thread([this] { this->run(); })
    { }
    ~EndlessServer()
    {
        this->stopping = true;
        asio::ip::tcp::socket last(this->context);
        asio::error_code ignored;
        last.connect(this->acceptor.local_endpoint(), ignored); // Ends a waiting accept.
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
            std::string next = this->beginning;
            while (!failure && !this->stopping) {
                this->sent += asio::write(socket, asio::buffer(next), failure);
                next = this->text;
            }
        }
    }

    std::string beginning;
    std::string text;
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
        REQUIRE(state.kept->isDisconnected());
    }

    SECTION("a paused piece is given again after resume")
    {
        std::string body;
        std::atomic<bool> refuse{true};
        std::promise<void> done;
        std::promise<void> paused;
        ExchangeHandlers handlers;
        handlers.onBodyChunk = [&](std::string_view piece) {
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
                      writer->send(HttpResponse{200, {}, request->query});
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
            REQUIRE(writer->isDisconnected());
            bool written = false;
            writer->write("second", [&written] { written = true; });
            REQUIRE(written);
            writer->send(HttpResponse{200, {}, "late"});
            writer->finish();
            bool told = false;
            writer->onDisconnect([&told] { told = true; });
            REQUIRE(told);
        }
        kept.clear();
    }
}

TEST_CASE("a server that sends bytes without end")
{
    constexpr std::size_t mostBytes = 1024 * 1024;
    HttpClient client;
    OutgoingRequest request;
    request.timeout = Millis(20'000);
    request.maxResponseBytes = mostBytes;
    const auto begin = std::chrono::steady_clock::now();
    const auto requireRefused = [&](EndlessServer &server) {
        request.url = server.url();
        const Result<HttpResponse> answer = client.fetch(request);
        REQUIRE(answer.has_error());
        REQUIRE(answer.error().code != ErrorCode::Timeout);
        REQUIRE(answer.error().code != ErrorCode::ConnectFailed);
        REQUIRE(std::chrono::steady_clock::now() - begin < std::chrono::seconds(10));
    };

    SECTION("in its head, as fields")
    {
        EndlessServer server("HTTP/1.1 200 OK\r\n", "X-More: " + std::string(200, 'x') + "\r\n");
        requireRefused(server);
    }
    SECTION("in its head, as one line")
    {
        EndlessServer server("HTTP/1.1 200 OK\r\nX-More: ", std::string(4096, 'x'));
        requireRefused(server);
    }
    SECTION("as interim answers, one after another")
    {
        EndlessServer server("", "HTTP/1.1 100 Continue\r\n\r\n");
        requireRefused(server);
    }
    SECTION("that are no answer at all")
    {
        EndlessServer server("", std::string(4096, '\x7f'));
        requireRefused(server);
    }
    SECTION("in its body, which has no length")
    {
        EndlessServer server("HTTP/1.1 200 OK\r\n\r\n", std::string(4096, 'x'));
        requireRefused(server);
        REQUIRE(server.sent < 64 * mostBytes);
    }
    SECTION("in its body, in chunks")
    {
        EndlessServer server("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
                             "5\r\nhello\r\n");
        requireRefused(server);
    }
}
