// Guards against failures that operators of similar systems have met, reproduced against a running
// edge daemon: servers that violate HTTP, bytes that no client should send, unreadable store data
// and outdated server lists after a restart.

#include "edge_world.h"
#include "rogue_replica.h"

#include <catch2/catch.hpp>

using namespace balsamport;
using namespace balsamport::testing;

namespace {

constexpr int okStatus = 200;
constexpr Millis startTimeout{10'000};
constexpr Millis routeTimeout{2'500};
/// Latest time at which a request gets its response, after its route's timeout.
constexpr Millis timeoutSlack{500};

void configureRogue(EdgeWorld &world)
{
    world.store->put("op/config",
                     fmt::format(R"({{"version":{},"routes":[
 {{"name":"rogue","host":"h","prefix":"/rogue/","kind":"unsafe","timeout_ms":{},
   "target_latency_ms":200,"priority":1,"service":"rogue","max_attempts":1}},
 {{"name":"flow","host":"h","prefix":"/flow/","kind":"streaming","timeout_ms":{},
   "target_latency_ms":200,"priority":1,"service":"rogue","max_attempts":1}},
 {{"name":"look","host":"h","prefix":"/look/","kind":"safe","timeout_ms":1000,
   "target_latency_ms":200,"priority":2,"service":"app","max_attempts":2}}],
 "services":[{{"name":"rogue","max_connections":110}},{{"name":"app","max_connections":110}}]}})",
                                 ++world.configVersion, routeTimeout.count(),
                                 routeTimeout.count()));
}

} // namespace

TEST_CASE("a daemon whose server violates HTTP")
{
    EdgeWorld world(1);
    standins::ReplicaOptions options;
    options.id = "r1";
    options.service = "rogue";
    options.dataCentre = "a";
    options.address = freeAddress(); // Of the stand-in that is listed for it; it gets no requests.
    options.advertisedAddress = freeAddress();
    RogueReplica rogue(options.advertisedAddress);
    const auto description = standins::ReplicaStandin::start(options).value();
    world.store->put(description->key(), description->description(false));
    world.startAll();
    configureRogue(world);
    REQUIRE(eventually(startTimeout, [&] {
        return world.allReady() && world.call(0, "/rogue/plain", "first").status == okStatus;
    }));

    SECTION("a late second copy of a response reaches no caller")
    {
        for (int i = 0; i < 30; ++i) {
            const std::string id = "t" + std::to_string(i);
            const CallerResponse response = world.call(0, "/rogue/twice", id);
            CAPTURE(i, response.status);
            // A request that the copy interferes with may have run, so it must not be reported as
            // not run.
            REQUIRE((response.status == okStatus ? response.body == "done " + id
                                                 : response.status == 502));
            sleepFor(Millis(i % 3 * 15));
        }
    }

    SECTION("a slow but valid stream is completed")
    {
        const CallerResponse response = world.call(0, "/flow/slow", "slow");
        REQUIRE(response.status == okStatus);
        std::string expected;
        for (int i = 1; i <= RogueReplica::slowEvents; ++i) {
            expected += "id: " + std::to_string(i) + "\ndata: slow\n\n";
        }
        REQUIRE(response.body == expected);
    }

    SECTION("a stream that stalls, with single bytes but no event, ends at its route's timeout")
    {
        const Millis begin = monotonicNow();
        const CallerResponse response = world.call(0, "/flow/stall", "stall");
        REQUIRE(response.status == 0); // The response does not look complete.
        REQUIRE(monotonicNow() - begin < routeTimeout + timeoutSlack);
        REQUIRE(eventually(Millis(1'000), [&] { return rogue.writing == 0; }));
    }

    SECTION("a response without end is refused and its connection closed within 2 s")
    {
        constexpr std::size_t maxBytes = 32 * 1024 * 1024;
        for (const char *path :
             {"/flow/endless-body", "/rogue/endless-head", "/rogue/endless-body"}) {
            const std::size_t before = rogue.sent;
            const Millis begin = monotonicNow();
            const CallerResponse response = world.call(0, path, std::string("e") + (path + 1));
            CAPTURE(path, response.status, (monotonicNow() - begin).count());
            REQUIRE((response.status == 0 || response.status == 502));
            REQUIRE(response.body.find('x') == std::string::npos);
            REQUIRE(monotonicNow() - begin < Millis(2'000));
            REQUIRE(eventually(Millis(1'000), [&] { return rogue.writing == 0; }));
            REQUIRE(rogue.sent - before < maxBytes);
        }
        REQUIRE(world.call(0, "/look/1", "after").body == "done after");
    }
}

TEST_CASE("a daemon that receives invalid messages keeps serving")
{
    EdgeWorld world(1);
    world.startAll();
    world.publishConfig();
    REQUIRE(eventually(startTimeout, [&] { return world.allReady(); }));
    asio::io_context context;
    const auto sendTo = [&](const std::string &address, const std::string &bytes) {
        asio::ip::tcp::socket socket(context);
        const auto port
                = static_cast<std::uint16_t>(std::stoi(address.substr(address.rfind(':') + 1)));
        socket.connect({asio::ip::address_v4::loopback(), port});
        asio::error_code ignored;
        asio::write(socket, asio::buffer(bytes), ignored);
        sleepFor(Millis(20));
    };
    const std::string zmqGreeting("\xff\0\0\0\0\0\0\0\x01\x7f\x03\0NULL", 16);
    const std::vector<std::string> messages{
            std::string(5'000, '\0'),
            std::string(5'000, '\xff'),
            zmqGreeting,
            zmqGreeting + std::string(64, '\0') + std::string("\x04\x19\x05READY", 8),
            "GET / HTTP/1.1\r\n\r\n",
            "GET /look/1 HTTP/9.9\r\nContent-Length: -5\r\n\r\n",
            std::string(
                    "POST /book/1 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nzz")};
    for (const std::string &bytes : messages) {
        for (const std::string &address :
             {world.edges[0].control, world.edges[0].front, world.edges[0].ready}) {
            sendTo(address, bytes);
        }
    }
    REQUIRE(world.call(0, "/look/1", "l1").body == "done l1");
    REQUIRE(world.isReady(0));

    SECTION("also where the store holds entries that cannot be parsed")
    {
        world.store->put("servers/x1", std::string("\x00\xff\xfe{", 4));
        world.store->put("servers/x2", "{\"service\":7,\"address\":[],\"state\":\"gone\"}");
        world.store->put("op/version/", "[]");
        world.store->put("op/config", "{\"version\":\"new\"}");
        sleepFor(Millis(1'500));
        REQUIRE(world.call(0, "/look/1", "l2").body == "done l2");
        REQUIRE(world.isReady(0));
    }
}

TEST_CASE("a daemon that restarts")
{
    EdgeWorld world(2);
    world.startAll();
    world.publishConfig();
    REQUIRE(eventually(startTimeout, [&] { return world.allReady(); }));
    world.store->remove("servers/s2");
    sleepFor(Millis(1'500));

    SECTION("uses no server that was removed, although its peers published it before")
    {
        world.edges[0].process->killNow();
        world.startEdge(0);
        REQUIRE(eventually(startTimeout, [&] { return world.isReady(0); }));
        for (int i = 0; i < 20; ++i) {
            REQUIRE(world.call(0, "/book/1", "g" + std::to_string(i)).status == okStatus);
        }
        REQUIRE(world.replicas.at("s2").standin->runs().empty());
    }
}
