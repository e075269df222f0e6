// Guards against requests that break a rule of HTTP which the server's parser doesn't check: ends
// of chunks, trailers, versions. Listed in KNOWN-RED.txt.

#include <recording_server.h>
#include <request_forms.h>

#include <catch2/catch.hpp>

using namespace balsamport;
using namespace balsamport::testing;

TEST_CASE("a request with malformed chunks or of another version is refused")
{
    const std::string listenAddress = "127.0.0.1:18494";
    RecordingServer server(listenAddress);
    for (const RequestForm &form : unnoticedRequests()) {
        const RawResponse response = server.call(listenAddress, form.bytes);
        CAPTURE(form.name, response.status, server.seen());
        CHECK(server.handled == 0);
        CHECK(response.status != 200);
        CHECK(response.end != RawResponse::End::StillOpen);
    }
}
