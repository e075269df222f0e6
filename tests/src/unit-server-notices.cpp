#include <balsamport/edge/engine_places.h>
#include <balsamport/edge/server_notices.h>

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

TEST_CASE("what backend servers say of themselves is heeded")
{
    const ServerEntry s1 = server("s1");
    const ServerEntry s2 = server("s2");
    const std::vector<const ServerEntry *> both{&s1, &s2};
    const Millis now(10'000);
    ServerNotices notices;
    REQUIRE(takingRequests(notices, both, now) == both);

    SECTION("one that is leaving gets no new request, before its entry says so")
    {
        REQUIRE(noteLeaving(notices, s1, now));
        REQUIRE_FALSE(noteLeaving(notices, s1, now + Millis(5)));
        REQUIRE(takingRequests(notices, both, now + Millis(3'600'000))
                == std::vector<const ServerEntry *>{&s2});

        SECTION("a new run under its id, or another server at its address, is another server")
        {
            REQUIRE_FALSE(isLeaving(notices, server("s1", 2)));
            ServerEntry moved = s1;
            moved.address = "10.0.0.2:80";
            REQUIRE_FALSE(isLeaving(notices, moved));
        }

        SECTION("it is not forgotten while it is listed, nor soon after its entry lapsed")
        {
            ServerCatalog catalog;
            catalog.servers[s1.id].entry = s1;
            forgetNotices(notices, catalog, now + Millis(3'600'000));
            REQUIRE(isLeaving(notices, s1));
            forgetNotices(notices, ServerCatalog(), now + Millis(10'000));
            REQUIRE(isLeaving(notices, s1));
            forgetNotices(notices, ServerCatalog(), now + Millis(100'000));
            REQUIRE(notices.notices.empty());
        }
    }

    SECTION("load pattern: a replica that is full asks for a pause. Nothing reaches it meanwhile")
    {
        REQUIRE(notePause(notices, s1, Millis(2'000), now));
        REQUIRE(takingRequests(notices, both, now) == std::vector<const ServerEntry *>{&s2});
        REQUIRE(takingRequests(notices, both, now + Millis(1'999)).size() == 1);
        REQUIRE(takingRequests(notices, both, now + Millis(2'000)) == both);

        SECTION("an answer to an earlier request does not cut the pause short")
        {
            REQUIRE_FALSE(notePause(notices, s1, Millis(100), now + Millis(10)));
            REQUIRE(pauseLeft(notices, s1, now + Millis(10)) == Millis(1'990));
        }

        SECTION("a longer one goes on, and is news for the other daemons")
        {
            REQUIRE(notePause(notices, s1, Millis(3'000), now + Millis(500)));
            REQUIRE(pauseLeft(notices, s1, now + Millis(500)) == Millis(3'000));
        }

        SECTION("where all ask for one, callers are told the shortest")
        {
            REQUIRE(notePause(notices, s2, Millis(700), now));
            REQUIRE(takingRequests(notices, both, now).empty());
            REQUIRE(shortestPause(notices, both, now) == Millis(700));

            SECTION("but not that of a server that is leaving")
            {
                noteLeaving(notices, s2, now);
                REQUIRE(shortestPause(notices, both, now) == Millis(2'000));
            }
        }
    }

    SECTION("an absurd pause is bounded")
    {
        notePause(notices, s1, Millis(1'000'000'000), now);
        REQUIRE(pauseLeft(notices, s1, now) == longestServerPause);
    }
}

TEST_CASE("an engine that wants a pause gets neither requests nor orders from its owner")
{
    EnginePlaces places;
    places.modelLoaded = true;
    places.synced = true;
    places.ordersAllowed = true;
    PlaceLimits limits;
    limits.engine.batchSlots = 8;
    limits.engine.kvTokens = 100'000;
    limits.engine.adapterSlots = 4;
    const Millis now(10'000);
    places.pausedUntil = now + Millis(1'000);
    PlaceRequest request;
    request.adapter = AdapterId("a1");
    request.objectiveAt = now + Millis(3'000);
    request.deadlineAt = request.patientUntil = now + Millis(5'000);
    request.lastChoice = true;
    submitPlaceRequest(places, limits, request, now);

    const auto actions = nextPlaceActions(places, limits, {}, now);
    REQUIRE(actions.size() == 1);
    REQUIRE(std::holds_alternative<EngineDown>(actions.front()));

    SECTION("until it is over")
    {
        submitPlaceRequest(places, limits, request, now + Millis(1'000));
        const auto later = nextPlaceActions(places, limits, {}, now + Millis(1'000));
        REQUIRE(later.size() == 1);
        REQUIRE(std::holds_alternative<EngineOrder>(later.front()));
    }
}
