#include <balsamport/edge/engine_scheduler.h>
#include <balsamport/edge/server_availability.h>

#include <catch2/catch.hpp>

using namespace balsamport;

namespace {

ServerEntry server(const char *id, std::int64_t startedAt = 1)
{
    ServerEntry entry;
    entry.id = BackendServerId(id);
    entry.address = std::string("10.0.0.1:") + id;
    entry.startedAtWallMs = startedAt;
    return entry;
}

} // namespace

// Guards against requests to servers that reported in a response that they are draining or
// overloaded, which the platform publishes only later or not at all.
TEST_CASE("servers that report draining or a backoff receive no requests")
{
    const ServerEntry s1 = server("s1");
    const ServerEntry s2 = server("s2");
    const std::vector<const ServerEntry *> both{&s1, &s2};
    const Millis now(10'000);
    ServerAvailability availability;
    REQUIRE(acceptingServers(availability, both, now) == both);

    SECTION("a draining server receives no new request, before its entry shows it")
    {
        REQUIRE(recordDraining(availability, s1, now));
        REQUIRE_FALSE(recordDraining(availability, s1, now + Millis(5)));
        REQUIRE(acceptingServers(availability, both, now + Millis(3'600'000))
                == std::vector<const ServerEntry *>{&s2});

        SECTION("a new run under its id, or a server of its id at another address, isn't draining")
        {
            REQUIRE_FALSE(isDraining(availability, server("s1", 2)));
            ServerEntry moved = s1;
            moved.address = "10.0.0.2:80";
            REQUIRE_FALSE(isDraining(availability, moved));
        }

        SECTION("it stays known while it is listed and for some time after its entry expired")
        {
            ServerCatalog catalog;
            catalog.servers[s1.id].entry = s1;
            forgetUnlistedServers(availability, catalog, now + Millis(3'600'000));
            REQUIRE(isDraining(availability, s1));
            forgetUnlistedServers(availability, ServerCatalog(), now + Millis(10'000));
            REQUIRE(isDraining(availability, s1));
            forgetUnlistedServers(availability, ServerCatalog(), now + Millis(100'000));
            REQUIRE(availability.entries.empty());
        }
    }

    SECTION("load pattern: a replica that is full asks for a backoff. It receives no requests "
            "meanwhile")
    {
        REQUIRE(recordBackoff(availability, s1, Millis(2'000), now));
        REQUIRE(acceptingServers(availability, both, now) == std::vector<const ServerEntry *>{&s2});
        REQUIRE(acceptingServers(availability, both, now + Millis(1'999)).size() == 1);
        REQUIRE(acceptingServers(availability, both, now + Millis(2'000)) == both);

        SECTION("a response to an earlier request doesn't shorten the backoff")
        {
            REQUIRE_FALSE(recordBackoff(availability, s1, Millis(100), now + Millis(10)));
            REQUIRE(remainingBackoff(availability, s1, now + Millis(10)) == Millis(1'990));
        }

        SECTION("a longer backoff replaces it, and is reported as a change")
        {
            REQUIRE(recordBackoff(availability, s1, Millis(3'000), now + Millis(500)));
            REQUIRE(remainingBackoff(availability, s1, now + Millis(500)) == Millis(3'000));
        }

        SECTION("where all servers ask for one, the shortest is returned")
        {
            REQUIRE(recordBackoff(availability, s2, Millis(700), now));
            REQUIRE(acceptingServers(availability, both, now).empty());
            REQUIRE(shortestBackoff(availability, both, now) == Millis(700));

            SECTION("the backoff of a draining server isn't used")
            {
                recordDraining(availability, s2, now);
                REQUIRE(shortestBackoff(availability, both, now) == Millis(2'000));
            }
        }
    }

    SECTION("a far too long backoff is limited")
    {
        recordBackoff(availability, s1, Millis(1'000'000'000), now);
        REQUIRE(remainingBackoff(availability, s1, now) == maxServerBackoff);
    }
}

// Guards against grants and commands that overload an engine further after it asked for a backoff.
TEST_CASE("an engine in a backoff gets neither requests nor commands from its owner")
{
    EngineScheduler scheduler;
    scheduler.modelLoaded = true;
    scheduler.synced = true;
    scheduler.commandsAllowed = true;
    SchedulerLimits limits;
    limits.engine.batchSlots = 8;
    limits.engine.kvTokens = 100'000;
    limits.engine.adapterSlots = 4;
    const Millis now(10'000);
    scheduler.backoffUntil = now + Millis(1'000);
    EngineGrantRequest request;
    request.adapter = AdapterId("a1");
    request.objectiveAt = now + Millis(3'000);
    request.deadlineAt = request.maxWaitUntil = now + Millis(5'000);
    request.lastChoice = true;
    submitGrantRequest(scheduler, limits, request, now);

    const auto actions = nextSchedulerActions(scheduler, limits, {}, now);
    REQUIRE(actions.size() == 1);
    REQUIRE(std::holds_alternative<EngineDownAction>(actions.front()));

    SECTION("commands are sent again after it")
    {
        submitGrantRequest(scheduler, limits, request, now + Millis(1'000));
        const auto later = nextSchedulerActions(scheduler, limits, {}, now + Millis(1'000));
        REQUIRE(later.size() == 1);
        REQUIRE(std::holds_alternative<EngineCommand>(later.front()));
    }
}

// Guards against a limit that a restart of the server, a late report or an older one of another
// daemon brings back or drops.
TEST_CASE("the rate limit of a server is the newest that any daemon received")
{
    using Kind = RateLimitReport::Kind;
    const ServerEntry s1 = server("s1");
    ServerAvailability availability;
    const Millis now(10'000);

    REQUIRE_FALSE(recordRateLimit(availability, s1, {Kind::Unlimited, 0}, now));
    REQUIRE(availability.entries.empty());
    REQUIRE(recordRateLimit(availability, s1, {Kind::Limited, 1.8}, now));
    REQUIRE_FALSE(recordRateLimit(availability, s1, {Kind::Limited, 1.8}, now + Millis(100)));
    REQUIRE(rateLimitOf(availability, s1) == KnownRateLimit{1.8, now + Millis(100)});

    SECTION("it rises, falls to 0 and ends as responses state it")
    {
        REQUIRE(recordRateLimit(availability, s1, {Kind::Limited, 7}, now + Millis(200)));
        REQUIRE(recordRateLimit(availability, s1, {Kind::Limited, 0}, now + Millis(300)));
        REQUIRE(rateLimitOf(availability, s1).perSecond == 0.0);
        REQUIRE(recordRateLimit(availability, s1, {Kind::Unlimited, 0}, now + Millis(400)));
        REQUIRE_FALSE(rateLimitOf(availability, s1).perSecond);
    }

    SECTION("malformed limits and responses that state nothing change nothing")
    {
        REQUIRE_FALSE(recordRateLimit(availability, s1, {Kind::Malformed, 0}, now + Millis(200)));
        REQUIRE_FALSE(recordRateLimit(availability, s1, {Kind::None, 0}, now + Millis(200)));
        REQUIRE(rateLimitOf(availability, s1).perSecond == 1.8);
    }

    SECTION("an older report of a peer is ignored, a newer one applies, also one that lifts it")
    {
        REQUIRE_FALSE(
                recordRateLimit(availability, s1, KnownRateLimit{5.0, now}, now + Millis(200)));
        REQUIRE(rateLimitOf(availability, s1).perSecond == 1.8);
        REQUIRE(recordRateLimit(availability, s1, KnownRateLimit{std::nullopt, now + Millis(150)},
                                now + Millis(200)));
        REQUIRE_FALSE(recordRateLimit(availability, s1, KnownRateLimit{1.8, now + Millis(100)},
                                      now + Millis(300)));
        REQUIRE_FALSE(rateLimitOf(availability, s1).perSecond);
    }

    SECTION("a new run of the server has none")
    {
        REQUIRE(rateLimitOf(availability, server("s1", 2)) == KnownRateLimit());
    }
}
