#include "edge_world.h"

#include <catch2/catch.hpp>

using namespace balsamport;
using namespace balsamport::testing;

namespace {

constexpr int okStatus = 200;
constexpr Millis startTimeout{10'000};
/// Time within which a change must be in force. Source: the users' rules, config_ms.
constexpr Millis configTime{3'000};

/// @return true if every daemon answers a booking on a path with success
bool isServedByAll(EdgeWorld &world, const std::string &path)
{
    static int number = 0;
    for (std::size_t edge = 0; edge < world.edges.size(); ++edge) {
        if (world.call(edge, path, "r" + std::to_string(++number)).status != okStatus) {
            return false;
        }
    }
    return true;
}

/// Lets the store return from a copy, after an outage that all readers notice.
void restoreStore(EdgeWorld &world, const standins::StoreStandin::Copy &copy)
{
    world.store->setDown(true);
    world.store->restore(copy);
    sleepFor(Millis(1'500));
}

/// @return true if a path is served by all daemons at every moment of a time
bool staysServed(EdgeWorld &world, const std::string &path, Millis time)
{
    const Millis end = monotonicNow() + time;
    while (monotonicNow() < end) {
        if (!isServedByAll(world, path)) {
            return false;
        }
        sleepFor(Millis(50));
    }
    return true;
}

} // namespace

// Guards against changes that are lost when the store returns from a copy some seconds old: its
// revisions go back and are used again for other changes.
TEST_CASE("a store returns from a copy that lacks confirmed changes")
{
    EdgeWorld world(4);
    world.startAll();
    world.publishConfig();
    REQUIRE(eventually(startTimeout, [&] { return world.allReady(); }));
    const auto beforeRoute = world.store->copy();
    world.addedRoutes = {"/first/"};
    world.publishConfig();
    REQUIRE(eventually(configTime, [&] { return isServedByAll(world, "/first/1"); }));

    SECTION("a route that is added afterwards is served in time, also if its revision was used")
    {
        for (int i = 0; i < 20; ++i) {
            world.publishServer("s1", false);
        }
        sleepFor(Millis(1'500));
        restoreStore(world, beforeRoute);
        world.addedRoutes.emplace_back("/second/");
        world.publishConfig();
        for (int i = 0; i < 40; ++i) {
            world.publishServer("s1", false);
        }
        world.store->setDown(false);
        REQUIRE(eventually(configTime, [&] { return isServedByAll(world, "/second/1"); }));
        REQUIRE(isServedByAll(world, "/first/1"));
    }

    SECTION("a confirmed route stays in force until it is written again, and after that")
    {
        restoreStore(world, beforeRoute);
        world.store->setDown(false);
        REQUIRE(staysServed(world, "/first/1", configTime));
        world.republishConfig();
        REQUIRE(staysServed(world, "/first/1", Millis(1'000)));

        SECTION("and later changes are in force in time")
        {
            world.addedRoutes.emplace_back("/second/");
            world.publishConfig();
            REQUIRE(eventually(configTime, [&] { return isServedByAll(world, "/second/1"); }));
        }
    }

    SECTION("a daemon that starts meanwhile serves the confirmed route")
    {
        restoreStore(world, beforeRoute);
        world.store->setDown(false);
        sleepFor(Millis(1'500));
        world.edges[0].process->signal(SIGKILL);
        REQUIRE(world.edges[0].process->waitForExit(Millis(3'000)));
        world.startEdge(0);
        REQUIRE(eventually(startTimeout, [&] { return world.isReady(0); }));
        REQUIRE(staysServed(world, "/first/1", configTime));
    }

    SECTION("a replica that was leaving gets no requests, one that the copy lacks comes back")
    {
        const auto beforeLeaving = world.store->copy();
        world.addReplica("s3", "app", "a", false);
        world.publishServer("s1", true);
        world.store->remove(world.replicas.at("s2").standin->key());
        REQUIRE(eventually(configTime, [&] {
            (void)isServedByAll(world, "/book/1");
            return !world.replicas.at("s3").standin->runs().empty();
        }));
        sleepFor(Millis(1'500));
        const auto leftRuns = world.replicas.at("s1").standin->runs();
        const auto goneRuns = world.replicas.at("s2").standin->runs();
        restoreStore(world, beforeLeaving);
        world.store->setDown(false);
        sleepFor(Millis(500));
        world.publishServer("s3", false);
        REQUIRE(staysServed(world, "/book/1", configTime));
        REQUIRE(world.replicas.at("s1").standin->runs() == leftRuns);
        REQUIRE(world.replicas.at("s2").standin->runs() == goneRuns);

        SECTION("until it is written again")
        {
            world.publishServer("s2", false);
            REQUIRE(eventually(configTime, [&] {
                (void)isServedByAll(world, "/book/1");
                return world.replicas.at("s2").standin->runs() != goneRuns;
            }));
            REQUIRE(world.replicas.at("s1").standin->runs() == leftRuns);
        }
    }

    SECTION("it returns twice in a row")
    {
        restoreStore(world, beforeRoute);
        world.store->setDown(false);
        world.addedRoutes.emplace_back("/second/");
        world.publishConfig();
        REQUIRE(eventually(configTime, [&] { return isServedByAll(world, "/second/1"); }));
        restoreStore(world, beforeRoute);
        world.store->setDown(false);
        REQUIRE(staysServed(world, "/second/1", configTime));
        REQUIRE(isServedByAll(world, "/first/1"));
        world.addedRoutes.emplace_back("/third/");
        world.publishConfig();
        REQUIRE(eventually(configTime, [&] { return isServedByAll(world, "/third/1"); }));
    }
}
