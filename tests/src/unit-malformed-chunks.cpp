// Guards against chunked bodies of a faulty server that are cut and look whole: libcurl reads "0O"
// as the size of the last chunk. Guards against bytes behind a response that reach the next
// request.

#include <form_server.h>
#include <response_forms.h>

#include <catch2/catch.hpp>

#include <future>

using namespace balsamport;
using namespace balsamport::testing;

namespace {

const std::string listenAddress = "127.0.0.1:18492";
const std::string content = "0123456789";
const std::string identity = "X-Request-Id: r\r\n";

/// What the handlers of one exchange got.
struct Received
{
    std::string body;
    int refused = 0; ///< Chunks for which the exchange was paused.
    bool complete = false;
    ErrorCode error = ErrorCode::Internal; ///< Unless complete.
};

/// @param pauseEvery refuses every chunk but each pauseEvery-th; 0 to refuse none
Received exchange(int pauseEvery = 0)
{
    Received received;
    std::promise<void> done;
    std::atomic<std::uint64_t> id{0};
    HttpClient client;
    int offered = 0;
    ExchangeHandlers handlers;
    handlers.onBodyChunk = [&](std::string_view chunk) {
        if (pauseEvery != 0 && ++offered % pauseEvery != 0) {
            while (id == 0) {
                std::this_thread::yield(); // start() has not returned yet.
            }
            ++received.refused;
            client.resume(id);
            return false;
        }
        received.body += chunk;
        return true;
    };
    handlers.onDone = [&](const Result<void> &result) {
        received.complete = result.has_value();
        received.error = result.has_error() ? result.error().code : ErrorCode::Internal;
        done.set_value();
    };
    id = client.start(requestTo(listenAddress), handlers);
    done.get_future().wait();
    return received;
}

} // namespace

TEST_CASE("a chunked body that breaks a rule does not look whole")
{
    for (const ResponseForm &form : malformedChunks(identity, content)) {
        CAPTURE(form.name);
        FormServer server(listenAddress, form.bytes);
        server.watchEnd = true;
        const Millis begin = monotonicNow();
        const Received received = exchange();
        CHECK(monotonicNow() - begin < Millis(1'000)); // Not only at the time-out.
        CHECK_FALSE(received.complete);
        CHECK(received.error == ErrorCode::MalformedResponse);
        CHECK(content.compare(0, received.body.size(), received.body) == 0);
        CHECK(server.sawEnd());
    }
}

TEST_CASE("a chunked body that keeps the rules is served whole")
{
    for (const ResponseForm &form : soundChunks(identity, content)) {
        CAPTURE(form.name);
        for (std::size_t at = 0; at < form.bytes.size(); at += 2) {
            CAPTURE(at);
            FormServer server(listenAddress, form.bytes);
            server.splitAt = at;
            const Received received = exchange();
            CHECK(received.complete);
            CHECK(received.body == content);
        }
    }

    SECTION("on one connection")
    {
        for (const ResponseForm &form : soundChunks(identity, content)) {
            CAPTURE(form.name);
            FormServer server(listenAddress, form.bytes);
            HttpClient client;
            for (int i = 0; i < 3; ++i) {
                CHECK(client.fetch(requestTo(listenAddress)).value().body == content);
            }
            CHECK(server.connections() == 1);
        }
    }

    SECTION("to a reader that pauses again and again")
    {
        std::string large;
        std::string bytes = chunkedHead(identity);
        for (int i = 1; i < 400; ++i) {
            const std::string part(static_cast<std::size_t>(i) * 7 % 1'900 + 1,
                                   static_cast<char>('a' + i % 26));
            large += part;
            bytes += fmt::format("{:x};n={}\r\n{}\r\n", part.size(), i, part);
        }
        FormServer server(listenAddress, bytes + "0\r\nX-Sum: a\r\n\r\n");
        for (const int pauseEvery : {2, 3, 7}) {
            const Received received = exchange(pauseEvery);
            CHECK(received.complete);
            CHECK(received.refused > 0);
            CHECK(received.body == large);
        }
    }
}

TEST_CASE("a body ends with its connection if neither length nor chunks are stated")
{
    FormServer server(listenAddress, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + content);
    const Received received = exchange();
    CHECK(received.complete);
    CHECK(received.body == content);
}

TEST_CASE("bytes behind a whole response end the connection, and the response is served")
{
    const std::string surplus = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother";
    for (const std::string &response :
         {chunkedHead(identity) + inChunks(content),
          "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n" + content}) {
        for (const std::size_t cut : {std::size_t{0}, surplus.size() / 2}) {
            CAPTURE(response, cut);
            FormServer server(listenAddress, response + surplus.substr(0, surplus.size() - cut));
            HttpClient client;
            for (int i = 0; i < 3; ++i) {
                const Result<HttpResponse> fetched = client.fetch(requestTo(listenAddress));
                REQUIRE(fetched.has_value());
                CHECK(fetched.value().body == content);
            }
            CHECK(server.connections() == 3);
        }
    }
}
