// Guards against bytes of a faulty server that are no HTTP response and pass for one: a length with
// a wrong digit cut the body of a success, and fields that are none were passed on to callers.

#include <form_server.h>
#include <response_forms.h>

#include <catch2/catch.hpp>

using namespace balsamport;
using namespace balsamport::testing;

namespace {

const std::string listenAddress = "127.0.0.1:18491";
/// "1O" would be read as one byte of it.
const std::string content = "0123456789";
const std::string identity = "X-Request-Id: r\r\n";

void requireMalformed(const ResponseForm &form)
{
    CAPTURE(form.name);
    FormServer server(listenAddress, form.bytes);
    server.watchEnd = true;
    HttpClient client;
    const Millis begin = monotonicNow();
    const Result<HttpResponse> response = client.fetch(requestTo(listenAddress));
    CHECK(monotonicNow() - begin < Millis(1'000)); // Not only at the time-out.
    CHECK(response.has_error());
    if (response.has_error()) {
        CAPTURE(response.error().detail);
        CHECK(response.error().code == ErrorCode::MalformedResponse);
    }
    CHECK(server.sawEnd());
}

void requireWhole(const ResponseForm &form, std::size_t splitAt = 0)
{
    CAPTURE(form.name, splitAt);
    FormServer server(listenAddress, form.bytes);
    server.splitAt = splitAt;
    HttpClient client;
    const Result<HttpResponse> response = client.fetch(requestTo(listenAddress));
    CAPTURE(response.has_error() ? response.error().detail : "");
    CHECK(response.has_value());
    if (response.has_value()) {
        CHECK(response.value().status == 200);
        CHECK(response.value().body == content);
        CHECK(findHeader(response.value().headers, "X-Request-Id") == "r");
        CHECK(findHeader(response.value().headers, "X-Last") == "z");
        CHECK_FALSE(findHeader(response.value().headers, "Link"));
    }
}

} // namespace

TEST_CASE("a head that is no HTTP response ends its connection")
{
    for (const ResponseForm &form : malformedHeads(identity, content)) {
        requireMalformed(form);
    }
}

TEST_CASE("a sound head of any form is served with the whole body")
{
    for (const ResponseForm &form : soundHeads(identity, content)) {
        requireWhole(form);
    }

    SECTION("in two parts, cut at any byte")
    {
        const ResponseForm form = soundHeads(identity, content).front();
        for (std::size_t at = 1; at < form.bytes.size(); at += 3) {
            requireWhole(form, at);
        }
    }

    SECTION("its values are those that the server sent, without the blanks around them")
    {
        FormServer server(
                listenAddress,
                assemble({"HTTP/1.1 200 OK", "x-other: \t a \tb\xc3\xa9 \r\nX-Empty:\r\n", "", ""},
                         identity, content));
        HttpClient client;
        const HttpResponse response = client.fetch(requestTo(listenAddress)).value();
        CHECK(response.headers
              == HttpHeaders{{"X-Request-Id", "r"},
                             {"x-other", "a \tb\xc3\xa9"},
                             {"X-Empty", ""},
                             {"Content-Length", "10"},
                             {"X-Last", "z"}});
    }

    SECTION("on one connection")
    {
        FormServer server(listenAddress, soundHeads(identity, content).front().bytes);
        HttpClient client;
        for (int i = 0; i < 3; ++i) {
            CHECK(client.fetch(requestTo(listenAddress)).value().body == content);
        }
        CHECK(server.connections() == 1);
    }
}

TEST_CASE("a response without a body is whole with its head")
{
    HttpClient client;

    SECTION("to a HEAD request, whatever length or chunks it states")
    {
        for (const std::string &framing :
             {std::string("Content-Length: 800\r\n"), std::string(chunkedField)}) {
            FormServer server(listenAddress, "HTTP/1.1 200 OK\r\n" + framing + "\r\n");
            const Result<HttpResponse> response = client.fetch(requestTo(listenAddress, "HEAD"));
            REQUIRE(response.has_value());
            CHECK(response.value().body.empty());
        }
    }

    SECTION("204, 304 and a length of 0")
    {
        for (const char *head : {"HTTP/1.1 204 No Content\r\n\r\n",
                                 "HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n",
                                 "HTTP/1.1 304 Not Modified\r\nContent-Length: 800\r\n\r\n",
                                 "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"}) {
            CAPTURE(head);
            FormServer server(listenAddress, head);
            for (int i = 0; i < 2; ++i) {
                const Result<HttpResponse> response = client.fetch(requestTo(listenAddress));
                REQUIRE(response.has_value());
                CHECK(response.value().body.empty());
            }
            CHECK(server.connections() == 1);
        }
    }
}
