// Guards against malformed input of callers and backend servers that is accepted, read differently
// by the gateway and a backend server, or buffered without a limit.

#include "gateway_properties.h"

#include <catch2/catch.hpp>

#include <cstdlib>

using namespace balsamport;
using namespace balsamport::testing;

TEST_CASE("the gateway's parsers")
{
    SECTION("hold their properties on generated input")
    {
        // RapidCheck reads its parameters once, before the first property.
        setenv("RC_PARAMS", "seed=20261204 max_success=1000", 1);
        REQUIRE(checkGatewayParsers());
    }

    SECTION("refuse a body that is nested too deeply")
    {
        const std::string deep = std::string(100'000, '[') + std::string(100'000, ']');
        const auto parsed
                = parseModelRequest(R"({"model":"a","messages":)" + deep + "}", "messages");
        REQUIRE(parsed.error().code == ErrorCode::InvalidRequest);
    }

    SECTION("refuse a repeated model member, as other parsers may use the other value")
    {
        REQUIRE_FALSE(parseModelRequest(R"({"model":"a","model":"b","messages":[]})", "messages"));
    }

    SECTION("refuse bytes that are not UTF-8")
    {
        const auto parsed
                = parseModelRequest("{\"model\":\"\xc0\xaf\",\"messages\":[]}", "messages");
        REQUIRE(parsed.error().code == ErrorCode::InvalidJson);
    }

    SECTION("refuse a truncated body")
    {
        const std::string body = R"({"model":"a","messages":[]})";
        for (std::size_t length = 0; length < body.size(); ++length) {
            REQUIRE_FALSE(parseModelRequest(body.substr(0, length), "messages"));
        }
    }

    SECTION("refuse an endless event after a bounded number of bytes")
    {
        SseParser parser;
        const std::string chunk(64 * 1024, 'x');
        REQUIRE(parser.feed("data: "));
        bool refused = false;
        for (int i = 0; i < 5 && !refused; ++i) {
            refused = parser.feed(chunk).has_error();
        }
        REQUIRE(refused);
    }
}
