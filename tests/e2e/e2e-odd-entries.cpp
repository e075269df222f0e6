// Guards against one odd entry among those of the backend servers that ends daemons, keeps them
// from following the store, or is used: operators saw machines end again and again after another
// writer had left an entry that could not be right.

#include "edge_world.h"

#include <catch2/catch.hpp>

using namespace balsamport;
using namespace balsamport::testing;

namespace {

constexpr int okStatus = 200;
constexpr Millis startTimeout{10'000};
constexpr Millis followTimeout{3'000};
constexpr int requestsPerDaemon = 48;

std::string serverText(const std::string &address, const std::string &slots)
{
    return fmt::format(R"({{"service":"app","address":{},"zone":"a","version":"v1","slots":{},)"
                       R"("state":"ready","models":[],"sequence":1,"born":17}})",
                       address, slots);
}

std::string serverAt(const std::string &address)
{
    return serverText('"' + address + '"', "6");
}

std::vector<std::string> oddEntries()
{
    constexpr std::size_t deepLevels = 200'000;
    const std::string good = R"("127.0.0.1:1")";
    return {std::string(deepLevels, '['),
            std::string(deepLevels, '[') + std::string(deepLevels, ']'),
            serverText(good, "1" + std::string(40, '0')),
            serverText(good, "1e999"),
            serverText(good, "18446744073709551615"),
            serverText(good, "-9223372036854775808"),
            serverText(good, "4294967302"),
            serverText(good, "1e308"),
            serverAt("127.0.0.1:70000"),
            serverAt("127.0.0.1:0"),
            serverAt("127.0.0.1:-1"),
            serverAt("127.0.0.1:" + std::string(60, '9')),
            serverAt("127.0.0.1:"),
            serverAt("127.0.0.1"),
            serverAt(""),
            serverAt(R"(127.0.0.1:80\r\nX-Other: 1)"),
            serverAt("127.0.0.1 :80"),
            serverAt(" 127.0.0.1:80"),
            serverAt(R"(127.0.0.1:80\u0000)"),
            serverAt("server.invalid:80"),
            serverAt("\xff\xfe"),
            serverText("[]", "6"),
            std::string("\0\xff{", 3),
            "[]",
            "null",
            ""};
}

bool followsNewRoute(EdgeWorld &world, const std::string &prefix)
{
    world.addedRoutes.push_back(prefix);
    world.publishConfig();
    return eventually(followTimeout, [&] {
        for (std::size_t edge = 0; edge < world.edges.size(); ++edge) {
            if (world.call(edge, prefix + "x",
                           "route-" + std::to_string(edge) + prefix.substr(1, 3))
                        .status
                != okStatus) {
                return false;
            }
        }
        return true;
    });
}

/// @return the number of requests that all daemons together refused, of 48 to each
int refusals(EdgeWorld &world, const std::string &name)
{
    int refused = 0;
    for (std::size_t edge = 0; edge < world.edges.size(); ++edge) {
        for (int i = 0; i < requestsPerDaemon; ++i) {
            const std::string id = fmt::format("{}-{}-{}", name, edge, i);
            refused += world.call(edge, "/book/1", id).status == okStatus ? 0 : 1;
        }
    }
    return refused;
}

} // namespace

TEST_CASE("daemons with three good servers")
{
    // The first and the third daemon share a data centre, so one has the entries from the other.
    EdgeWorld world(3);
    world.addReplica("s3", "app", "a", false);
    world.startAll();
    world.publishConfig();
    REQUIRE(eventually(startTimeout, [&] { return world.allReady(); }));

    SECTION("ignore odd entries with a logged reason, serve all requests and follow a new route")
    {
        const std::vector<std::string> entries = oddEntries();
        for (std::size_t i = 0; i < entries.size(); ++i) {
            world.store->put(fmt::format("servers/a{:02}", i), entries[i]);
        }
        const std::string last = fmt::format("servers/a{:02}", entries.size() - 1);
        for (std::size_t edge = 0; edge < world.edges.size(); ++edge) {
            CAPTURE(edge);
            REQUIRE(eventually(followTimeout, [&] {
                return world.logText(edge).find(last) != std::string::npos;
            }));
        }
        CHECK(refusals(world, "odd") == 0);
        REQUIRE(followsNewRoute(world, "/new/"));
        for (std::size_t edge = 0; edge < world.edges.size(); ++edge) {
            const std::string log = world.logText(edge);
            CAPTURE(edge);
            CHECK(log.find(R"("server":"a)") == std::string::npos);
            CHECK(log.find(R"("field":"address")") != std::string::npos);
            CHECK(log.find(R"("field":"slots")") != std::string::npos);
        }
    }

    SECTION("keep the last good configuration where a later one cannot be right")
    {
        world.store->put(
                "op/config",
                R"({"version":900,"routes":[{"host":"h","prefix":"/book/","service":"app",)"
                R"("timeout_ms":-5}],"services":[{"name":"app"}]})");
        for (std::size_t edge = 0; edge < world.edges.size(); ++edge) {
            CHECK(eventually(followTimeout, [&] {
                return world.logText(edge).find(R"("field":"timeout_ms")") != std::string::npos;
            }));
        }
        CHECK(refusals(world, "config") == 0);
        REQUIRE(followsNewRoute(world, "/new/"));
    }

    SECTION("send nothing to a server whose own entry became odd, until it has written a good one")
    {
        CHECK(refusals(world, "before") == 0);
        const std::string address = '"' + world.replicas.at("s3").link->address() + '"';
        world.store->put("servers/s3", serverText(address, "-6"));
        sleepFor(followTimeout);
        const std::size_t runs = world.replicas.at("s3").standin->runs().size();
        CHECK(runs > 0);
        CHECK(refusals(world, "without") == 0);
        CHECK(world.replicas.at("s3").standin->runs().size() == runs);
        world.publishServer("s3", false);
        REQUIRE(eventually(followTimeout, [&] {
            (void)world.call(0, "/book/1", fmt::format("back-{}", monotonicNow().count()));
            return world.replicas.at("s3").standin->runs().size() > runs;
        }));
    }
}
