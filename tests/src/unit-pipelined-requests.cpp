// Guards against requests that are handled although they can't be answered: a request that was read
// behind another one was passed on, and its connection closed after the response before it.

#include <balsamport/http/http_server.h>

#include <certificate_files.h>
#include <raw_caller.h>

#include <asio/ssl.hpp>
#include <catch2/catch.hpp>

#include <functional>
#include <map>
#include <mutex>
#include <thread>
#include <vector>

using namespace balsamport;
using namespace balsamport::testing;

namespace {

const std::string listenAddress = "127.0.0.1:18486";
constexpr std::uint16_t listenPort = 18'486;

/// A server whose responses the test ends.
class HeldResponses
{
public:
    explicit HeldResponses(HttpServerSettings settings = {})
    {
        settings.address = listenAddress;
        settings.onConnectionEnd = [this](const ConnectionEnd &end) {
            const std::lock_guard lock(this->mutex);
            this->ends.push_back(end);
        };
        this->server = HttpServer::start(settings, [this](const auto &request, const auto &writer) {
                           this->handle(request->path, writer);
                       }).value();
    }

    std::shared_ptr<ResponseWriter> writerOf(const std::string &path)
    {
        this->require([&] { return this->writers.count(path) != 0; });
        const std::lock_guard lock(this->mutex);
        return this->writers.at(path);
    }

    void finishStream(const std::string &path) { this->writerOf(path)->finish(); }

    void respond(const std::string &path, const HttpHeaders &headers = {})
    {
        this->writerOf(path)->send(HttpResponse{200, headers, path});
    }

    std::vector<std::string> handledPaths()
    {
        const std::lock_guard lock(this->mutex);
        return this->paths;
    }

    ConnectionEnd onlyEnd()
    {
        this->require([&] { return !this->ends.empty(); });
        const std::lock_guard lock(this->mutex);
        REQUIRE(this->ends.size() == 1);
        return this->ends.front();
    }

    void closeAfterResponses() { this->server->closeAfterResponses(); }
    void stop() { this->server.reset(); }

private:
    void handle(const std::string &path, const std::shared_ptr<ResponseWriter> &writer)
    {
        if (path.find("/stream") == 0) {
            writer->startStream(200, {{"Content-Type", "text/event-stream"}});
            writer->write("data: one\n\n", {});
        }
        const std::lock_guard lock(this->mutex);
        this->paths.push_back(path);
        this->writers[path] = writer;
    }

    void require(const std::function<bool()> &condition)
    {
        const Millis begin = monotonicNow();
        while (monotonicNow() - begin < Millis(5'000)) {
            {
                const std::lock_guard lock(this->mutex);
                if (condition()) {
                    return;
                }
            }
            std::this_thread::sleep_for(std::chrono::milliseconds(5));
        }
        FAIL("timed out");
    }

    std::mutex mutex;
    std::vector<std::string> paths; ///< In the order in which they were handled. Guarded by mutex.
    std::map<std::string, std::shared_ptr<ResponseWriter>> writers; ///< Guarded by mutex.
    std::vector<ConnectionEnd> ends; ///< Guarded by mutex.
    std::unique_ptr<HttpServer>
            server; ///< Destroyed first, because it calls the others' functions.
};

std::string post(const std::string &path, const std::string &headers = {},
                 const std::string &version = "HTTP/1.1")
{
    return "POST " + path + " " + version + "\r\nHost: h\r\n" + headers
            + "Content-Length: 4\r\n\r\nbody";
}

RawReading briefly()
{
    RawReading reading;
    reading.afterComplete = Millis(400);
    return reading;
}

void letArrive()
{
    std::this_thread::sleep_for(std::chrono::milliseconds(200));
}

using Paths = std::vector<std::string>;

} // namespace

TEST_CASE("a request behind another one is handled once it can be answered")
{
    HeldResponses world;
    RawCaller caller(listenAddress);

    SECTION("a stream is in progress: the next request waits for its end")
    {
        caller.send(post("/stream"));
        (void)world.writerOf("/stream");
        caller.send(post("/booking"));
        letArrive();
        REQUIRE(world.handledPaths() == Paths{"/stream"});

        SECTION("and is answered after it, on the same connection")
        {
            world.finishStream("/stream");
            world.respond("/booking");
            const RawResponse response = caller.read(briefly());
            REQUIRE(response.complete);
            REQUIRE(response.body == "data: one\n\n");
            REQUIRE(statusOf(response.surplus) == 200);
            REQUIRE(response.surplus.find("/booking") != std::string::npos);
            REQUIRE(response.end == RawResponse::End::StillOpen);
        }

        SECTION("and is never handled if the stream is broken off, which ends the connection")
        {
            world.writerOf("/stream")->abort();
            const RawResponse response = caller.read(briefly());
            REQUIRE_FALSE(response.complete);
            REQUIRE(response.body == "data: one\n\n");
            REQUIRE(response.surplus.empty());
            REQUIRE(response.end != RawResponse::End::StillOpen);
            const ConnectionEnd end = world.onlyEnd();
            REQUIRE(end.reason == "closed because its last response was broken off");
            REQUIRE(end.unanswered == 1);
            REQUIRE(end.unhandled == 1);
            REQUIRE(world.handledPaths() == Paths{"/stream"});
        }

        SECTION("and is answered with the end of the connection if the server is to close it")
        {
            world.closeAfterResponses();
            world.finishStream("/stream");
            world.respond("/booking");
            const RawResponse response = caller.read(briefly());
            REQUIRE(response.complete);
            REQUIRE(statusOf(response.surplus) == 200);
            REQUIRE(response.surplus.find("Connection: close") != std::string::npos);
            REQUIRE(response.end == RawResponse::End::Closed);
        }
    }

    SECTION("all arrive at once: they are handled and answered in their order")
    {
        caller.send(post("/first") + post("/stream-second") + post("/third") + post("/fourth"));
        world.respond("/first");
        world.finishStream("/stream-second");
        world.respond("/third");
        world.respond("/fourth");
        const RawResponse response = caller.read(briefly());
        REQUIRE(response.body == "/first");
        const std::size_t second = response.surplus.find("data: one\n\n");
        const std::size_t third = response.surplus.find("/third");
        REQUIRE(second < third);
        REQUIRE(third < response.surplus.find("/fourth"));
        REQUIRE(response.surplus.find("/fourth") != std::string::npos);
        REQUIRE(world.handledPaths() == Paths{"/first", "/stream-second", "/third", "/fourth"});
    }

    SECTION("the second one arrives in halves around the response before it")
    {
        const std::string second = post("/second");
        caller.send(post("/first") + second.substr(0, second.size() / 2));
        world.respond("/first");
        letArrive();
        caller.send(second.substr(second.size() / 2));
        world.respond("/second");
        const RawResponse response = caller.read(briefly());
        REQUIRE(response.body == "/first");
        REQUIRE(response.surplus.find("/second") != std::string::npos);
    }

    SECTION("the response before it says that the connection closes: the last one does instead")
    {
        caller.send(post("/first") + post("/second"));
        (void)world.writerOf("/first");
        letArrive();
        world.respond("/first", {{"Connection", "close"}});
        world.respond("/second", {{"Connection", "close"}});
        const RawResponse response = caller.read(briefly());
        REQUIRE(response.body == "/first");
        REQUIRE(response.head.find("Connection: close") == std::string::npos);
        REQUIRE(response.surplus.find("/second") != std::string::npos);
        REQUIRE(response.surplus.find("Connection: close") != std::string::npos);
        REQUIRE(response.end == RawResponse::End::Closed);
    }

    SECTION("the caller itself ends the connection with the response before it")
    {
        for (const std::string &first :
             {post("/first", "Connection: close\r\n"), post("/first", "", "HTTP/1.0")}) {
            RawCaller leaving(listenAddress);
            leaving.send(first + post("/second"));
            (void)world.writerOf("/first");
            letArrive();
            world.respond("/first");
            const RawResponse response = leaving.read(briefly());
            REQUIRE(response.body == "/first");
            REQUIRE(response.surplus.empty());
            REQUIRE(response.end != RawResponse::End::StillOpen);
        }
        REQUIRE(world.handledPaths() == Paths{"/first", "/first"});
    }

    SECTION("a request for the head alone is before it")
    {
        caller.send("HEAD /first HTTP/1.1\r\nHost: h\r\n\r\n" + post("/second"));
        (void)world.writerOf("/first");
        letArrive();
        REQUIRE(world.handledPaths() == Paths{"/first"});
        world.respond("/first");
        world.respond("/second");
        RawReading reading = briefly();
        reading.limit = Millis(600);
        const RawResponse response = caller.read(reading);
        REQUIRE(response.status == 200);
        REQUIRE((response.body + response.surplus).find("/second") != std::string::npos);
    }

    SECTION("its caller leaves before: nobody handles it")
    {
        {
            RawCaller leaving(listenAddress);
            leaving.send(post("/stream") + post("/booking"));
            (void)world.writerOf("/stream");
            letArrive();
        }
        // The connection is found to be closed by a write.
        for (int i = 0; i < 3; ++i) {
            world.writerOf("/stream")->write("data: two\n\n", {});
            letArrive();
        }
        world.finishStream("/stream");
        letArrive();
        REQUIRE(world.handledPaths() == Paths{"/stream"});
        const ConnectionEnd end = world.onlyEnd();
        REQUIRE(end.unanswered == 1);
        REQUIRE(end.unhandled == 1);
    }

    SECTION("its caller leaves before, and nothing is written to it: nobody handles it")
    {
        {
            RawCaller leaving(listenAddress);
            leaving.send(post("/first") + post("/booking"));
            (void)world.writerOf("/first");
            letArrive();
        }
        letArrive();
        REQUIRE(world.writerOf("/first")->isDisconnected());
        const ConnectionEnd end = world.onlyEnd();
        REQUIRE(end.reason == "closed by the caller");
        REQUIRE(end.unanswered == 1);
        REQUIRE(end.unhandled == 1);
        world.respond("/first");
        letArrive();
        REQUIRE(world.handledPaths() == Paths{"/first"});
    }

    SECTION("the server ends while it waits: nobody handles it")
    {
        caller.send(post("/first") + post("/second"));
        (void)world.writerOf("/first");
        letArrive();
        world.stop();
        world.respond("/first");
        REQUIRE(world.handledPaths() == Paths{"/first"});
    }
}

TEST_CASE("a request behind a stream with TLS is handled once it can be answered")
{
    const CertificateFiles files("pipelined-requests", daySeconds);
    HttpServerSettings settings;
    settings.tlsCertificateFile = files.certificate;
    settings.tlsKeyFile = files.key;
    HeldResponses world(settings);
    asio::io_context context;
    asio::ssl::context tls(asio::ssl::context::tls_client);
    asio::ssl::stream<asio::ip::tcp::socket> stream(context, tls);
    stream.lowest_layer().connect({asio::ip::address_v4::loopback(), listenPort});
    stream.handshake(asio::ssl::stream_base::client);
    asio::write(stream, asio::buffer(post("/stream") + post("/booking")));
    (void)world.writerOf("/stream");
    letArrive();
    REQUIRE(world.handledPaths() == Paths{"/stream"});

    SECTION("the stream is whole")
    {
        world.finishStream("/stream");
        world.respond("/booking");
        const RawResponse response = readRawResponse(stream, briefly());
        REQUIRE(response.complete);
        REQUIRE(statusOf(response.surplus) == 200);
        REQUIRE(response.surplus.find("/booking") != std::string::npos);
    }

    SECTION("the stream is broken off")
    {
        world.writerOf("/stream")->abort();
        const RawResponse response = readRawResponse(stream, briefly());
        REQUIRE_FALSE(response.complete);
        REQUIRE(response.end != RawResponse::End::StillOpen);
        REQUIRE(world.handledPaths() == Paths{"/stream"});
    }
}
