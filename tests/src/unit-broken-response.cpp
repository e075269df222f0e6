// Guards against bytes that no handler wrote: callers of a stream that was given up were handed the
// end of its chunked response as data. Guards also against data that is lost, or an end that looks
// complete, when a response is given up.

#include <balsamport/http/http_server.h>

#include <certificate_files.h>
#include <raw_caller.h>

#include <asio/ssl.hpp>
#include <catch2/catch.hpp>

#include <atomic>
#include <mutex>
#include <thread>
#include <vector>

using namespace balsamport;
using namespace balsamport::testing;

namespace {

const std::string listenAddress = "127.0.0.1:18485";
constexpr int largeChunkCount = 800;

std::string largeChunk(int number)
{
    constexpr std::size_t fillBytes = 1'000;
    return "data: " + std::to_string(number) + std::string(fillBytes, 'x') + "\n\n";
}

std::string largeBody()
{
    std::string body;
    for (int i = 0; i < largeChunkCount; ++i) {
        body += largeChunk(i);
    }
    return body;
}

void handleRequest(const IncomingRequest &request, const std::shared_ptr<ResponseWriter> &writer,
                   std::atomic<int> &written)
{
    if (request.path == "/error") {
        writer->send(HttpResponse{503, {}, "overloaded"});
        return;
    }
    writer->startStream(200, {{"Content-Type", "text/event-stream"}});
    if (request.path == "/empty") {
        writer->abort();
    } else if (request.path == "/large") {
        for (int i = 0; i < largeChunkCount; ++i) {
            writer->write(largeChunk(i), [&written] { ++written; });
        }
        writer->abort();
    } else if (request.path == "/whole") {
        writer->write("data: one\n\n", {});
        writer->write("", {}); // An empty chunk would end the response.
        writer->write("data: two\n\n", {});
        writer->finish();
    } else if (request.path == "/destroyed") {
        writer->write("data: one\n\n", {});
    } else {
        writer->write("data: one\n\n", {});
        writer->abort();
        writer->write("data: late\n\n", [&written] { ++written; });
        writer->finish();
    }
}

std::string get(const std::string &path, const std::string &version = "HTTP/1.1")
{
    return "GET " + path + " " + version + "\r\nHost: h\r\n\r\n";
}

void requireBroken(const RawResponse &response, const std::string &body)
{
    CAPTURE(response.head, response.body.size());
    REQUIRE(response.status == 200);
    REQUIRE(response.body == body);
    REQUIRE_FALSE(response.complete);
    REQUIRE_FALSE(response.malformed);
    REQUIRE(response.surplus.empty());
    REQUIRE(response.end == RawResponse::End::Closed);
}

} // namespace

TEST_CASE("a response that is given up ends after the bytes that its handler wrote")
{
    std::atomic<int> written{0};
    HttpServerSettings settings;
    settings.address = listenAddress;
    const auto server
            = HttpServer::start(settings, [&written](const auto &request, const auto &writer) {
                  handleRequest(*request, writer, written);
              }).value();
    RawReading byByte;
    byByte.bytesAtOnce = 1;

    SECTION("for a caller that reads as it likes")
    {
        for (const RawReading &reading : {RawReading{}, byByte}) {
            requireBroken(callRaw(listenAddress, get("/aborted"), reading), "data: one\n\n");
            requireBroken(callRaw(listenAddress, get("/destroyed"), reading), "data: one\n\n");
            requireBroken(callRaw(listenAddress, get("/empty"), reading), "");
        }
        REQUIRE(written == 2); // Writes after the end are dropped.
    }

    SECTION("for a slow caller: all that was written arrives")
    {
        RawReading slowly;
        slowly.bytesAtOnce = 2'048;
        slowly.pause = Millis(1);
        slowly.receiveBufferBytes = 4'096;
        requireBroken(callRaw(listenAddress, get("/large"), slowly), largeBody());
        REQUIRE(written == largeChunkCount);
    }

    SECTION("for a caller that sends more requests meanwhile: all that was written arrives")
    {
        RawReading slowly;
        slowly.bytesAtOnce = 2'048;
        slowly.pause = Millis(1);
        slowly.receiveBufferBytes = 4'096;
        std::string requests = get("/large");
        for (int i = 0; i < 5'000; ++i) {
            requests += get("/error");
        }
        requireBroken(callRaw(listenAddress, requests, slowly), largeBody());
    }

    SECTION("for a request for the head alone: no body follows, which would begin the next "
            "response")
    {
        RawReading briefly;
        briefly.limit = Millis(300);
        for (const char *path : {"/error", "/whole", "/aborted"}) {
            const RawResponse response = callRaw(
                    listenAddress, std::string("HEAD ") + path + " HTTP/1.1\r\nHost: h\r\n\r\n",
                    briefly);
            CAPTURE(path, response.head);
            const bool isWhole = std::string(path) == "/whole";
            const bool isError = std::string(path) == "/error";
            REQUIRE(response.status == (isWhole ? 200 : isError ? 503 : 502));
            REQUIRE((!isError
                     || response.head.find("Content-Length: 10\r\n") != std::string::npos));
            REQUIRE(response.body.empty());
            REQUIRE(response.surplus.empty());
        }
    }

    SECTION("for a caller of HTTP/1.0, which knows no chunks, as an error")
    {
        for (const char *path : {"/aborted", "/destroyed", "/empty", "/large"}) {
            const RawResponse response = callRaw(listenAddress, get(path, "HTTP/1.0"));
            CAPTURE(path);
            REQUIRE(response.status == 502);
            REQUIRE(response.complete);
            REQUIRE(response.body.empty());
        }

        SECTION("while a whole stream comes with its length")
        {
            const RawResponse response = callRaw(listenAddress, get("/whole", "HTTP/1.0"));
            REQUIRE(response.status == 200);
            REQUIRE_FALSE(response.chunked);
            REQUIRE(response.complete);
            REQUIRE(response.body == "data: one\n\ndata: two\n\n");
            REQUIRE(response.head.find("Content-Type: text/event-stream") != std::string::npos);
        }
    }

    SECTION("but a stream that is finished is complete")
    {
        const RawResponse response = callRaw(
                listenAddress, "GET /whole HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
        REQUIRE(response.complete);
        REQUIRE(response.body == "data: one\n\ndata: two\n\n");
        REQUIRE(response.surplus.empty());
        REQUIRE(response.end == RawResponse::End::Closed);

        SECTION("and ends its connection for a caller of HTTP/1.0 that keeps others")
        {
            const RawResponse old
                    = callRaw(listenAddress,
                              "GET /whole HTTP/1.0\r\nHost: h\r\nConnection: keep-alive\r\n\r\n");
            REQUIRE(old.body == "data: one\n\ndata: two\n\n");
            REQUIRE(old.surplus.empty());
            REQUIRE(old.end == RawResponse::End::Closed);
        }

        SECTION("and keeps its connection, if its caller does")
        {
            RawReading briefly;
            briefly.afterComplete = Millis(300);
            RawCaller caller(listenAddress);
            for (int i = 0; i < 3; ++i) {
                caller.send(get("/whole"));
                const RawResponse next = caller.read(briefly);
                REQUIRE(next.complete);
                REQUIRE(next.body == "data: one\n\ndata: two\n\n");
                REQUIRE(next.surplus.empty());
                REQUIRE(next.end == RawResponse::End::StillOpen);
            }
        }
    }
}

// Guards against a deadlock: RESTinio closes the connection within the call that ends the response.
TEST_CASE("a stream that is given up on the thread of its connection ends")
{
    std::mutex mutex;
    std::shared_ptr<ResponseWriter> held;
    HttpServerSettings settings;
    settings.address = listenAddress;
    settings.threads = 1; // A handler runs on the thread of all connections.
    const auto server = HttpServer::start(settings, [&](const auto &request, const auto &writer) {
                            const std::lock_guard lock(mutex);
                            if (request->path == "/hold") {
                                held = writer;
                                writer->startStream(200, {});
                                writer->write("data: one\n\n", {});
                            } else {
                                held->abort();
                            }
                        }).value();
    RawCaller caller(listenAddress);
    caller.send(get("/hold"));
    std::this_thread::sleep_for(std::chrono::milliseconds(200)); // Its bytes are written by then.
    RawCaller other(listenAddress);
    other.send(get("/abort"));
    RawReading briefly;
    briefly.limit = Millis(3'000);
    const RawResponse response = caller.read(briefly);
    REQUIRE(response.end == RawResponse::End::Closed);
    REQUIRE(response.body == "data: one\n\n");
}

TEST_CASE("connections that both sides close at once are counted once")
{
    std::atomic<int> written{0};
    HttpServerSettings settings;
    settings.address = listenAddress;
    const auto server
            = HttpServer::start(settings, [&written](const auto &request, const auto &writer) {
                  handleRequest(*request, writer, written);
              }).value();
    for (int i = 0; i < 6'000; ++i) {
        RawCaller caller(listenAddress);
        caller.send(get(i % 2 == 0 ? "/aborted" : "/empty"));
        for (int spin = 0; spin < i % 60; ++spin) {
            std::this_thread::yield();
        }
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(500));
    REQUIRE(server->connections() == 0);
}

TEST_CASE("a response that is given up with TLS ends after the bytes that its handler wrote")
{
    const CertificateFiles files("broken-response", daySeconds);
    std::atomic<int> written{0};
    HttpServerSettings settings;
    settings.address = listenAddress;
    settings.tlsCertificateFile = files.certificate;
    settings.tlsKeyFile = files.key;
    const auto server
            = HttpServer::start(settings, [&written](const auto &request, const auto &writer) {
                  handleRequest(*request, writer, written);
              }).value();
    asio::io_context context;
    asio::ssl::context tls(asio::ssl::context::tls_client);
    for (const char *path : {"/aborted", "/large", "/destroyed", "/empty"}) {
        asio::ssl::stream<asio::ip::tcp::socket> stream(context, tls);
        constexpr std::uint16_t port = 18'485;
        stream.lowest_layer().connect({asio::ip::address_v4::loopback(), port});
        stream.handshake(asio::ssl::stream_base::client);
        asio::write(stream, asio::buffer(get(path)));
        const RawResponse response = readRawResponse(stream, {});
        CAPTURE(path);
        const bool isSmall = std::string(path) == "/aborted" || std::string(path) == "/destroyed";
        requireBroken(response,
                      std::string(path) == "/large" ? largeBody()
                              : isSmall             ? "data: one\n\n"
                                                    : "");
    }
}
