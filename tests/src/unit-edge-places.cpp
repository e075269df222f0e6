#include <balsamport/edge/engine_places.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <deque>
#include <random>
#include <vector>

using namespace balsamport;

namespace {

constexpr Millis start{10'000};
constexpr Millis objective{1'000};
constexpr Millis patience{5'000};
/// Pause that the callers of streams allow.
constexpr Millis longestPause{400};

/// An engine that is known: the users' first sites.
EngineProfile knownProfile()
{
    EngineProfile profile;
    profile.readMsPerToken = 1 / 25.8;
    profile.pairsPerToken = 28.4;
    profile.stepMs = 9;
    profile.stepsPerEvent = 3;
    profile.tokensPerStep = 4'096;
    profile.coldLoad = Millis(250);
    profile.warmLoad = Millis(25);
    profile.warmAdapters = 36;
    return profile;
}

/// One engine, its limits, and a clock that the test moves.
struct Engine
{
    EnginePlaces places;
    PlaceLimits limits;
    AdapterVersions versions;
    Millis now = start;
    std::uint64_t next = 1;
    std::deque<std::pair<Millis, PlaceKey>> reading; ///< Prompts handed over, and until when.

    explicit Engine(std::uint32_t adapterPlaces = 6)
    {
        this->limits.profile = knownProfile();
        this->limits.engine.batchSlots = 64;
        this->limits.engine.kvTokens = 148'252;
        this->limits.engine.adapterSlots = adapterPlaces;
        this->places.base = BaseModelId("m");
        this->places.modelLoaded = true;
        this->places.synced = true;
        this->places.ordersAllowed = true;
        this->places.releasedAt = start;
    }

    void hold(const char *adapter, std::uint64_t version = 0)
    {
        AdapterPlace &place = this->places.places[AdapterId(adapter)];
        place.phase = PlacePhase::Ready;
        place.version = AdapterVersion(version);
        place.usedAt = this->now;
    }

    PlaceKey ask(const char *adapter, std::uint32_t tokens = 500, bool lastChoice = true,
                 std::int32_t priority = 1)
    {
        PlaceRequest request;
        request.key = PlaceKey{VmId("vm"), 1, this->next++};
        request.base = this->places.base;
        request.adapter = AdapterId(adapter);
        request.priority = priority;
        request.longestPause = longestPause;
        request.objectiveAt = this->now + objective;
        request.deadlineAt = this->now + patience;
        request.patientUntil = request.deadlineAt;
        request.parts = {PromptPart{request.key.number, tokens}};
        request.lastChoice = lastChoice;
        submitPlaceRequest(this->places, this->limits, request, this->now);
        return request.key;
    }

    /// A prompt that was handed over is read when the owner reckons so; then its stream starts.
    void startWhenRead(const PlaceKey &key)
    {
        this->reading.emplace_back(this->places.prefillUntil, key);
    }

    void startThoseRead()
    {
        while (!this->reading.empty() && this->reading.front().first <= this->now) {
            notePlaceStarted(this->places, this->limits, this->reading.front().second, Millis(0),
                             this->now);
            this->reading.pop_front();
        }
    }

    std::vector<PlaceAction> decide()
    {
        return nextPlaceActions(this->places, this->limits, this->versions, this->now);
    }
};

template<typename Action>
std::vector<Action> only(const std::vector<PlaceAction> &actions)
{
    std::vector<Action> result;
    for (const PlaceAction &action : actions) {
        if (const auto *found = std::get_if<Action>(&action)) {
            result.push_back(*found);
        }
    }
    return result;
}

} // namespace

TEST_CASE("an engine's owner gives out places")
{
    Engine engine;

    SECTION("a request for a held adapter gets its place at once")
    {
        engine.hold("a1");
        const PlaceKey key = engine.ask("a1");
        const auto grants = only<GrantPlace>(engine.decide());
        REQUIRE(grants.size() == 1);
        REQUIRE(grants.front().key == key);

        SECTION("and its adapter is not unloaded for another while it runs")
        {
            for (const char *other : {"a2", "a3", "a4", "a5", "a6"}) {
                engine.hold(other);
                const PlaceKey user = engine.ask(other);
                engine.now += Millis(100);
                REQUIRE(only<GrantPlace>(engine.decide()).size() == 1);
                notePlaceStarted(engine.places, engine.limits, user, Millis(0), engine.now);
            }
            engine.ask("a7");
            REQUIRE(only<EngineOrder>(engine.decide()).empty());

            SECTION("but is once it has ended")
            {
                notePlaceEnded(engine.places, key, engine.now);
                const auto orders = only<EngineOrder>(engine.decide());
                REQUIRE(orders.size() == 1);
                REQUIRE(orders.front().kind == OrderKind::UnloadAdapter);
                REQUIRE(orders.front().adapter == AdapterId("a1"));
            }
        }
    }

    SECTION("a missing adapter is loaded, and the request goes when the engine says so")
    {
        const PlaceKey key = engine.ask("a1");
        const auto orders = only<EngineOrder>(engine.decide());
        REQUIRE(orders.size() == 1);
        REQUIRE(orders.front().kind == OrderKind::LoadAdapter);
        noteOrderOutcome(engine.places, engine.limits, OrderOutcome::Accepted, engine.now);
        REQUIRE(only<GrantPlace>(engine.decide()).empty());

        engine.now += engine.limits.profile.coldLoad;
        const auto checks = only<EngineOrder>(engine.decide());
        REQUIRE(checks.size() == 1);
        REQUIRE(checks.front().repeated);
        noteOrderOutcome(engine.places, engine.limits, OrderOutcome::AlreadyHolds, engine.now);

        SECTION("and its grant says that it waited for the adapter")
        {
            const auto grants = only<GrantPlace>(engine.decide());
            REQUIRE(grants.front().key == key);
            REQUIRE(grants.front().waits.adapter == engine.limits.profile.coldLoad);
            REQUIRE(grants.front().waits.turn == Millis(0));
        }
        SECTION("and its grant says apart how long it waited for its turn after that")
        {
            engine.places.prefillUntil = engine.now + Millis(100);
            REQUIRE(only<GrantPlace>(engine.decide()).empty());
            engine.now += Millis(90);
            const auto grants = only<GrantPlace>(engine.decide());
            REQUIRE(grants.front().waits.adapter == engine.limits.profile.coldLoad);
            REQUIRE(grants.front().waits.turn == Millis(90));
        }
    }

    SECTION("never are more adapters ordered than there are places")
    {
        Engine small(2);
        for (const char *adapter : {"a1", "a2", "a3"}) {
            small.ask(adapter);
        }
        for (int i = 0; i < 3; ++i) {
            (void)small.decide();
            noteOrderOutcome(small.places, small.limits, OrderOutcome::Accepted, small.now);
        }
        REQUIRE(small.places.places.size() == 2);
    }

    SECTION("an order that got no answer stops further orders until a report is read")
    {
        engine.ask("a1");
        (void)engine.decide();
        noteOrderOutcome(engine.places, engine.limits, OrderOutcome::Unknown, engine.now);
        engine.ask("a2");
        REQUIRE(only<EngineOrder>(engine.decide()).empty());
        EngineReport report;
        report.modelLoaded = true;
        report.pending = {AdapterId("a1")};
        applyReport(engine.places, report, engine.now);
        const auto orders = only<EngineOrder>(engine.decide());
        REQUIRE(orders.size() == 1);
        REQUIRE(orders.front().adapter == AdapterId("a2"));
    }

    SECTION("a newer version replaces the older one before anybody else runs on it")
    {
        engine.hold("a1", 3);
        engine.versions[{BaseModelId("m"), AdapterId("a1")}] = AdapterVersion(4);
        engine.ask("a1");
        const auto actions = engine.decide();
        REQUIRE(only<GrantPlace>(actions).empty());
        REQUIRE(only<EngineOrder>(actions).front().version == AdapterVersion(4));
    }

    SECTION("an engine that restarted empty has its model loaded first")
    {
        engine.places.modelLoaded = false;
        engine.ask("a1");
        const auto actions = engine.decide();
        REQUIRE(only<GrantPlace>(actions).empty());
        REQUIRE(only<EngineOrder>(actions).front().kind == OrderKind::LoadModel);
        REQUIRE_FALSE(only<EngineOrder>(actions).front().repeated);

        SECTION("and asked whether it has, which is no new order")
        {
            noteOrderOutcome(engine.places, engine.limits, OrderOutcome::Accepted, engine.now);
            engine.now += Millis(1'000);
            const auto again = only<EngineOrder>(engine.decide());
            REQUIRE(again.size() == 1);
            REQUIRE(again.front().kind == OrderKind::LoadModel);
            REQUIRE(again.front().repeated);
        }
        SECTION("and ordered anew where a report shows that it lost the order")
        {
            noteOrderOutcome(engine.places, engine.limits, OrderOutcome::Accepted, engine.now);
            applyReport(engine.places, EngineReport{}, engine.now);
            engine.now += Millis(1'000);
            REQUIRE_FALSE(only<EngineOrder>(engine.decide()).front().repeated);
        }
    }

    SECTION("without the right to order, held adapters are served and nothing is ordered")
    {
        engine.places.ordersAllowed = false;
        engine.hold("a1");
        engine.ask("a1");
        engine.ask("a2");
        const auto actions = engine.decide();
        REQUIRE(only<GrantPlace>(actions).size() == 1);
        REQUIRE(only<EngineOrder>(actions).empty());
    }

    SECTION("a daemon that starts again has lost its requests, and their places are free")
    {
        engine.hold("a1");
        engine.ask("a1");
        REQUIRE(only<GrantPlace>(engine.decide()).size() == 1);
        dropPlacesOf(engine.places, VmId("vm"), 2, engine.now);
        REQUIRE(engine.places.running.empty());
        REQUIRE(engine.places.places.at(AdapterId("a1")).users == 0);
    }
}

TEST_CASE("load pattern: a burst on one adapter")
{
    Engine engine;
    engine.hold("hot");
    constexpr std::uint32_t promptTokens = 2'400;

    SECTION("prompts are handed over one after another, so that running streams do not stall")
    {
        for (int i = 0; i < 5; ++i) {
            engine.ask("hot", promptTokens);
        }
        REQUIRE(only<GrantPlace>(engine.decide()).size() == 1);
        // Read in 97 ms, within a step of 9 ms; the next one is handed over 25 ms before.
        engine.now += Millis(40);
        REQUIRE(only<GrantPlace>(engine.decide()).empty());
        engine.now += Millis(40);
        REQUIRE(only<GrantPlace>(engine.decide()).empty());
        engine.now += Millis(1);
        REQUIRE(only<GrantPlace>(engine.decide()).size() == 1);
    }

    SECTION("prompts leave the running streams time: in no window more than a part is prompt work")
    {
        std::vector<Millis> grants;
        for (int i = 0; i < 6; ++i) {
            engine.ask("hot", 3'500);
        }
        const Millis end = engine.now + Millis(800);
        for (; engine.now < end; engine.now += Millis(5)) {
            engine.startThoseRead();
            for (const GrantPlace &given : only<GrantPlace>(engine.decide())) {
                grants.push_back(engine.now);
                engine.startWhenRead(given.key);
            }
        }
        REQUIRE(grants.size() >= 3);
        for (std::size_t i = 2; i < grants.size(); ++i) {
            // Three of these prompts take 408 ms to read, and streams may pause for 400 ms.
            REQUIRE(grants[i] - grants[i - 2] >= Millis(270));
        }
    }

    SECTION("load pattern: long prompts among short ones. The next waits for an event, no longer")
    {
        engine.ask("hot", 7'000);
        const auto first = only<GrantPlace>(engine.decide());
        REQUIRE(first.size() == 1);
        notePlaceStarted(engine.places, engine.limits, first.front().key, Millis(0), engine.now);
        const Millis read = engine.places.prefillUntil;
        engine.ask("hot", 3'000);
        Millis handedAt;
        for (; handedAt == Millis(0); engine.now += Millis(1)) {
            if (!only<GrantPlace>(engine.decide()).empty()) {
                handedAt = engine.now;
            }
        }
        // Both together take 410 ms: the streams have their event in between, which takes 36 ms.
        REQUIRE(handedAt > read);
        REQUIRE(handedAt <= read + Millis(36) + engine.limits.deliveryJitter);
    }

    SECTION("load pattern: any mix of prompts. No stream of a busy engine pauses for too long")
    {
        // An engine as the users' pages have it, and callers whose prompts are mostly short.
        std::mt19937 random(20261204);
        std::lognormal_distribution<double> length(7.2, 0.75);
        std::exponential_distribution<double> gap(1.0 / 100);
        std::deque<std::uint32_t> queue;
        std::vector<Millis> steps;
        Millis stepEnds = engine.now;
        Millis nextAsk = engine.now;
        std::uint64_t asked = 0;
        std::uint64_t read = 0;
        const Millis begin = engine.now;
        std::vector<PlaceKey> unread;
        std::vector<PlaceKey> readInStep;
        constexpr Millis streamTime{2'000};
        std::deque<std::pair<Millis, PlaceKey>> streams; // That run, and until when.
        for (; engine.now < begin + Millis(60'000); engine.now += Millis(1)) {
            while (!streams.empty() && streams.front().first <= engine.now) {
                notePlaceEnded(engine.places, streams.front().second, engine.now);
                streams.pop_front();
            }
            if (engine.now >= nextAsk) {
                nextAsk += Millis(static_cast<std::int64_t>(gap(random)) + 1);
                const auto tokens = std::min(7'000U, static_cast<std::uint32_t>(length(random)));
                asked += tokens;
                engine.ask("hot", tokens);
            }
            for (const GrantPlace &given : only<GrantPlace>(engine.decide())) {
                queue.push_back(given.promptTokens);
                unread.push_back(given.key);
            }
            if (engine.now < stepEnds) {
                continue;
            }
            for (const PlaceKey &key : readInStep) {
                notePlaceStarted(engine.places, engine.limits, key, Millis(0), engine.now);
                streams.emplace_back(engine.now + streamTime, key);
            }
            readInStep.clear();
            std::uint32_t room = engine.limits.profile.tokensPerStep;
            double work = 0;
            while (room > 0 && !queue.empty()) {
                const std::uint32_t piece = std::min(room, queue.front());
                work += piece * engine.limits.profile.readMsPerToken;
                read += piece;
                room -= piece;
                queue.front() -= piece;
                if (queue.front() == 0) {
                    queue.pop_front();
                    readInStep.push_back(unread.front());
                    unread.erase(unread.begin());
                }
            }
            steps.push_back(Millis(static_cast<std::int64_t>(work) + 9));
            stepEnds = engine.now + steps.back();
        }
        std::size_t pauses = 0;
        for (std::size_t i = 2; i < steps.size(); ++i) {
            pauses += steps[i - 2] + steps[i - 1] + steps[i] > longestPause ? 1 : 0;
        }
        CAPTURE(pauses, steps.size(), asked, read);
        REQUIRE(pauses == 0);
        // The engine is not held up for it: two thirds of its time are asked for, and given.
        REQUIRE(read * 100 > asked * 95);
    }

    SECTION("who could not be served in half of its patience is refused at arrival, with the time "
            "of its turn")
    {
        for (int i = 0; i < 60; ++i) {
            engine.ask("hot", promptTokens);
        }
        const auto refusals = only<RefusePlace>(engine.decide());
        REQUIRE_FALSE(refusals.empty());
        REQUIRE(refusals.front().retryAfter >= patience / 2);
        // The engine reads about eleven such prompts in the objective's time, and 27 in the half.
        REQUIRE(engine.places.waiting.size() <= 27);
        const auto late = std::count_if(engine.places.waiting.begin(), engine.places.waiting.end(),
                                        [](const PlaceRequest &request) { return request.late; });
        REQUIRE(engine.places.waiting.size() - static_cast<std::size_t>(late) <= 11);
    }

    SECTION("who has waited past its objective is served late, but waits no longer than half of "
            "its patience")
    {
        engine.ask("hot", promptTokens);
        (void)engine.decide();
        engine.places.prefillUntil = engine.now + Millis(800);
        engine.ask("hot", promptTokens);
        REQUIRE(only<RefusePlace>(engine.decide()).empty());
        engine.places.prefillUntil = engine.now + Millis(5'000);
        engine.now += objective;
        REQUIRE(only<RefusePlace>(engine.decide()).empty());
        engine.now += (patience - objective) / 2;
        REQUIRE(only<RefusePlace>(engine.decide()).size() == 1);
    }

    SECTION("who can still be in time goes before those who are late")
    {
        engine.places.prefillUntil = engine.now + Millis(1'500);
        const PlaceKey late = engine.ask("hot", promptTokens);
        (void)engine.decide();
        engine.now += Millis(1'400);
        const PlaceKey inTime = engine.ask("hot", promptTokens);
        engine.now += Millis(90);
        REQUIRE(only<GrantPlace>(engine.decide()).front().key == inTime);
        engine.now += Millis(300);
        REQUIRE(only<GrantPlace>(engine.decide()).front().key == late);
    }

    SECTION("even where those who are late are more urgent")
    {
        engine.places.prefillUntil = engine.now + Millis(1'500);
        const PlaceKey late = engine.ask("hot", promptTokens, true, 0);
        (void)engine.decide();
        engine.now += Millis(1'400);
        const PlaceKey inTime = engine.ask("hot", promptTokens, true, 1);
        engine.now += Millis(90);
        REQUIRE(only<GrantPlace>(engine.decide()).front().key == inTime);
        engine.now += Millis(300);
        REQUIRE(only<GrantPlace>(engine.decide()).front().key == late);
    }

    SECTION("load pattern: all daemons lost. A request waits for the first order where the lease "
            "is over soon enough, and is told when it comes where not")
    {
        engine.places.ordersAllowed = false;
        engine.places.ordersFrom = engine.now + Millis(1'500);
        engine.ask("unheld", promptTokens);
        REQUIRE(only<RefusePlace>(engine.decide()).empty());
        engine.places.ordersFrom = engine.now + Millis(3'000);
        engine.ask("other", promptTokens);
        const auto refusals = only<RefusePlace>(engine.decide());
        REQUIRE(refusals.size() == 1);
        REQUIRE(refusals.front().retryAfter >= Millis(3'000));
    }

    SECTION("the more urgent kind goes first, then who has to give up first")
    {
        engine.places.prefillUntil = engine.now + Millis(200);
        const PlaceKey later = engine.ask("hot", promptTokens, true, 1);
        const PlaceKey urgent = engine.ask("hot", promptTokens, true, 0);
        (void)engine.decide();
        engine.now += Millis(190);
        REQUIRE(only<GrantPlace>(engine.decide()).front().key == urgent);
        engine.now += Millis(200);
        REQUIRE(only<GrantPlace>(engine.decide()).front().key == later);
    }
}

TEST_CASE("load pattern: more adapters than places")
{
    Engine engine;
    for (const char *adapter : {"a1", "a2", "a3", "a4", "a5", "a6"}) {
        engine.hold(adapter);
        const PlaceKey key = engine.ask(adapter, 100);
        engine.now += Millis(10);
        REQUIRE(only<GrantPlace>(engine.decide()).size() == 1);
        notePlaceStarted(engine.places, engine.limits, key, Millis(0), engine.now);
    }

    SECTION("a request that has another choice is sent there")
    {
        engine.places.releaseInterval = Millis(400);
        engine.ask("rare", 100, false);
        REQUIRE(only<SendElsewhere>(engine.decide()).size() == 1);
    }

    SECTION("a request for an adapter that is held here waits longer before it is sent away")
    {
        engine.places.prefillUntil = engine.now + Millis(400);
        engine.ask("a1", 100, false);
        REQUIRE(only<SendElsewhere>(engine.decide()).empty());
    }

    SECTION("each further adapter that waits adds the time until one more place is free")
    {
        engine.places.releaseInterval = Millis(200);
        PlaceRequest request;
        request.adapter = AdapterId("rare");
        request.priority = 1;
        const Millis first = expectedWait(engine.places, engine.limits, request, engine.now);
        engine.ask("other", 100);
        (void)engine.decide();
        const Millis second = expectedWait(engine.places, engine.limits, request, engine.now);
        REQUIRE(first == engine.limits.profile.coldLoad + Millis(200));
        REQUIRE(second >= first + Millis(200));
    }

    SECTION("the adapter that was used longest ago makes way, and a reload of it is quick")
    {
        for (std::uint64_t number = 1; number <= 6; ++number) {
            notePlaceEnded(engine.places, PlaceKey{VmId("vm"), 1, number},
                           engine.now + Millis(static_cast<std::int64_t>(number)));
        }
        engine.now += Millis(100);
        engine.ask("rare", 100);
        REQUIRE(only<EngineOrder>(engine.decide()).front().adapter == AdapterId("a1"));
        noteOrderOutcome(engine.places, engine.limits, OrderOutcome::AlreadyHolds, engine.now);
        REQUIRE(engine.places.warm.front() == AdapterId("a1"));
        PlaceRequest again;
        again.adapter = AdapterId("a1");
        REQUIRE(expectedWait(engine.places, engine.limits, again, engine.now)
                == engine.limits.profile.warmLoad);
    }
}

TEST_CASE("load pattern: engines that crash under load")
{
    Engine engine;
    engine.hold("a");

    SECTION("after a request did not reach the engine, nobody is sent there")
    {
        noteSuspected(engine.places);
        const PlaceKey key = engine.ask("a");
        REQUIRE(engine.decide().empty());

        SECTION("until it gives its report")
        {
            noteReachable(engine.places, true);
            REQUIRE(only<GrantPlace>(engine.decide()).front().key == key);
        }

        SECTION("and who waits is told at once where it gives none")
        {
            engine.ask("a", 500, false);
            noteReachable(engine.places, false);
            const std::vector<PlaceAction> actions = engine.decide();
            REQUIRE(only<EngineDown>(actions).size() == 2);
            REQUIRE(engine.places.waiting.empty());

            SECTION("and so is who comes later, without an order to the engine")
            {
                engine.now += Millis(400);
                engine.ask("b", 500, false);
                const std::vector<PlaceAction> later = engine.decide();
                REQUIRE(later.size() == 1);
                REQUIRE(only<EngineDown>(later).size() == 1);
            }
        }
    }
}

TEST_CASE("load pattern: busy homes of a busy adapter")
{
    Engine engine;
    engine.hold("hot");
    PlaceRequest request;
    request.base = engine.places.base;
    request.adapter = AdapterId("hot");
    request.objectiveAt = engine.now + objective;
    request.deadlineAt = engine.now + patience;
    request.key = PlaceKey{VmId("other"), 1, 1};
    request.parts = {PromptPart{1, 2'000}};
    request.otherHome = true;

    SECTION("a home with nothing to do takes the request")
    {
        submitPlaceRequest(engine.places, engine.limits, request, engine.now);
        REQUIRE(only<GrantPlace>(engine.decide()).size() == 1);
    }

    SECTION("a home where it would wait for 80 ms or more lets another home be asked")
    {
        engine.ask("hot", 4'000);
        REQUIRE(only<GrantPlace>(engine.decide()).size() == 1);
        submitPlaceRequest(engine.places, engine.limits, request, engine.now);
        const auto elsewhere = only<SendElsewhere>(engine.decide());
        REQUIRE(elsewhere.size() == 1);
        REQUIRE(elsewhere.front().wait > engine.limits.profile.coldLoad / 3);

        SECTION("but keeps it where no other home holds the adapter")
        {
            request.otherHome = false;
            submitPlaceRequest(engine.places, engine.limits, request, engine.now);
            REQUIRE(only<SendElsewhere>(engine.decide()).empty());
        }
    }
}

TEST_CASE("an engine's owner tells the demand for an adapter")
{
    Engine engine;
    engine.hold("hot");
    engine.hold("rare");

    SECTION("load pattern: many daemons ask for one adapter, each of them seldom")
    {
        double told = 0;
        for (int i = 0; i < 80; ++i) {
            const PlaceKey key = engine.ask("hot", 100, false);
            const auto grants = only<GrantPlace>(engine.decide());
            REQUIRE(grants.size() == 1);
            told = grants.front().demand;
            notePlaceStarted(engine.places, engine.limits, key, Millis(0), engine.now);
            notePlaceEnded(engine.places, key, engine.now);
            engine.now += Millis(125);
        }
        REQUIRE(told > 6.0);
        REQUIRE(told < 10.0);

        SECTION("and a rare one beside it stays rare")
        {
            engine.ask("rare", 100, false);
            REQUIRE(only<GrantPlace>(engine.decide()).front().demand < 0.5);
        }

        SECTION("and a request that comes back as to its last choice is not counted twice")
        {
            engine.ask("hot", 100, true);
            REQUIRE(only<GrantPlace>(engine.decide()).front().demand <= told);
        }
    }
}

TEST_CASE("an engine's owner learns its pace")
{
    Engine engine;
    const PlaceLimits &limits = engine.limits;
    constexpr std::uint32_t tokens = 2'400;
    const Millis work = readingTime(limits.profile, tokens);
    const auto sample = [&](Millis time) {
        notePace(engine.places.pace, limits.profile, ReadingSample{tokens, time, false});
    };

    SECTION("an engine of the usual speed, whose prompts queue now and then")
    {
        for (int i = 0; i < 30; ++i) {
            sample(work + Millis(i % 3 == 0 ? 180 : 3));
        }
        REQUIRE(engine.places.pace.slowness < 1.1);
    }

    SECTION("load pattern: a third of the engines read a third slower")
    {
        for (int i = 0; i < 9; ++i) {
            sample(Millis(work.count() * 13 / 10 + i));
        }
        REQUIRE(engine.places.pace.slowness == Approx(1.33).margin(0.05));

        SECTION("so prompts are handed over at a pace that lets streams go on")
        {
            engine.hold("a");
            // Reading 1,800 tokens takes some 95 ms here; the window takes three of them.
            std::size_t handed = 0;
            const Millis begin = engine.now;
            for (int i = 0; i < 12; ++i) {
                engine.ask("a", 1'800);
            }
            while (engine.now < begin + longestPause) {
                engine.startThoseRead();
                for (const GrantPlace &grant : only<GrantPlace>(engine.decide())) {
                    ++handed;
                    engine.startWhenRead(grant.key);
                }
                engine.now += Millis(5);
            }
            REQUIRE(handed >= 3);
            REQUIRE(handed <= 4);
        }
    }

    SECTION("load pattern: some engines read faster than their service does")
    {
        for (int i = 0; i < 9; ++i) {
            sample(work / 2);
        }
        REQUIRE(engine.places.pace.slowness == Approx(0.5).margin(0.05));
    }

    SECTION("load pattern: an engine turns slow for a few seconds")
    {
        for (int i = 0; i < 9; ++i) {
            sample(work);
        }
        for (int i = 0; i < 7; ++i) {
            sample(work * 3);
        }
        REQUIRE(engine.places.pace.slowness > 2.0);

        SECTION("and is trusted again soon after")
        {
            for (int i = 0; i < 7; ++i) {
                sample(work);
            }
            REQUIRE(engine.places.pace.slowness == Approx(1.0).margin(0.05));
        }
    }

    SECTION("short prompts and stalls do not move it far")
    {
        notePace(engine.places.pace, limits.profile, ReadingSample{100, Millis(400), true});
        REQUIRE(engine.places.pace.slowness == 1.0);
        sample(Millis(60'000));
        REQUIRE(engine.places.pace.slowness <= 6.0);
    }

    SECTION("the time to a first piece counts without the steps of its event")
    {
        engine.hold("a");
        const PlaceKey key = engine.ask("a", 2'580);
        REQUIRE(only<GrantPlace>(engine.decide()).size() == 1);
        // 2,580 tokens take 100 ms and 4 ms for attention.
        const std::optional<ReadingSample> reading
                = notePlaceStarted(engine.places, limits, key,
                                   eventTime(limits.profile) + Millis(104) * 2, engine.now);
        REQUIRE(engine.places.pace.slowness == Approx(2.0).margin(0.05));

        SECTION("and says how fast the engine reads, as no other prompt was there")
        {
            REQUIRE(reading == ReadingSample{2'580, Millis(208), true});
        }
    }

    SECTION("a prompt that another one follows before its first piece tells less")
    {
        engine.hold("a");
        const PlaceKey key = engine.ask("a", 2'580);
        REQUIRE(only<GrantPlace>(engine.decide()).size() == 1);
        engine.now += Millis(100);
        engine.ask("a", 2'580);
        REQUIRE(only<GrantPlace>(engine.decide()).size() == 1);
        const std::optional<ReadingSample> reading
                = notePlaceStarted(engine.places, limits, key, Millis(240), engine.now);
        REQUIRE(reading.has_value());
        REQUIRE_FALSE(reading->alone);
    }
}

TEST_CASE("an engine's owner sees how long loads take")
{
    Engine engine;
    engine.ask("a1");
    (void)engine.decide();
    noteOrderOutcome(engine.places, engine.limits, OrderOutcome::Accepted, engine.now);
    engine.now += engine.limits.profile.coldLoad;
    REQUIRE(only<EngineOrder>(engine.decide()).front().repeated);

    SECTION("a load that is over at the first look took that long or less")
    {
        const auto load = noteOrderOutcome(engine.places, engine.limits, OrderOutcome::AlreadyHolds,
                                           engine.now);
        REQUIRE(load.has_value());
        REQUIRE(load->time == engine.limits.profile.coldLoad);
        REQUIRE(load->firstLook);
        REQUIRE_FALSE(load->depth.has_value());
    }

    SECTION("one that is over at a later look took until then")
    {
        noteOrderOutcome(engine.places, engine.limits, OrderOutcome::Accepted, engine.now);
        engine.now += Millis(50);
        REQUIRE(only<EngineOrder>(engine.decide()).front().repeated);
        const auto load = noteOrderOutcome(engine.places, engine.limits, OrderOutcome::AlreadyHolds,
                                           engine.now);
        REQUIRE(load.has_value());
        REQUIRE(load->time == engine.limits.profile.coldLoad + Millis(50));
        REQUIRE_FALSE(load->firstLook);
    }

    SECTION("one that a report tells of had begun before, and says nothing")
    {
        EngineReport report;
        report.modelLoaded = true;
        report.pending = {AdapterId("a1")};
        noteOrderOutcome(engine.places, engine.limits, OrderOutcome::Unknown, engine.now);
        applyReport(engine.places, report, engine.now);
        engine.now += Millis(50);
        (void)engine.decide();
        REQUIRE_FALSE(noteOrderOutcome(engine.places, engine.limits, OrderOutcome::AlreadyHolds,
                                       engine.now)
                              .has_value());
    }
}
