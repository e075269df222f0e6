// Guards against requests that a server behind the daemon reads otherwise than the daemon does: a
// blank in the name of a length or a transfer coding was passed on beside the daemon's own length.

#include <recording_server.h>
#include <request_forms.h>

#include <catch2/catch.hpp>

using namespace balsamport;
using namespace balsamport::testing;

namespace {

const std::string listenAddress = "127.0.0.1:18493";

} // namespace

TEST_CASE("a request that breaks a rule of HTTP is refused, and no handler gets it")
{
    RecordingServer server(listenAddress);
    for (const RequestForm &form : malformedRequests()) {
        const RawResponse response = server.call(listenAddress, form.bytes);
        CAPTURE(form.name, response.status, server.seen());
        CHECK(server.handled == 0);
        CHECK((response.status == 400 || response.status == 0));
        CHECK(response.end != RawResponse::End::StillOpen);
    }

    SECTION("nor does it get the request behind")
    {
        const RawResponse response
                = server.call(listenAddress, requestWith("X Other: a\r\n") + requestWith(""));
        CHECK(server.handled == 0);
        CHECK(response.status == 400);
        CHECK(response.body == "invalid_header");
        CHECK(response.surplus.empty());
        CHECK(response.end != RawResponse::End::StillOpen);
    }

    SECTION("a request before it is answered")
    {
        const RawResponse response
                = server.call(listenAddress, requestWith("") + requestWith("X Other: a\r\n"));
        CHECK(server.handled == 1);
        CHECK(response.status == 200);
    }
}

TEST_CASE("a request that keeps the rules of HTTP is handled with its whole body")
{
    RecordingServer server(listenAddress);
    for (const RequestForm &form : soundRequests()) {
        const RawResponse response = server.call(listenAddress, form.bytes);
        CAPTURE(form.name, response.status, server.seen());
        CHECK(server.handled == 1);
        CHECK(response.status == 200);
        CHECK(server.seen().rfind("POST /book/x?q hello\n", 0) == 0);
    }
}

TEST_CASE("a request that a server may mend is handled as a valid one")
{
    RecordingServer server(listenAddress);
    for (const MendedForm &form : mendedRequests()) {
        const RawResponse response = server.call(listenAddress, form.bytes);
        CAPTURE(form.name, response.status, server.seen());
        CHECK(server.handled == 1);
        CHECK(response.status == 200);
        CHECK(server.seen().rfind("POST /book/x?q", 0) == 0);
        CHECK(server.seen().find("\n" + form.field + "\n") != std::string::npos);
    }
}
