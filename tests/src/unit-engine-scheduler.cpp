#include <balsamport/edge/engine_scheduler.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <deque>
#include <random>
#include <vector>

using namespace balsamport;

namespace {

constexpr Millis start{10'000};
constexpr Millis objective{1'000};
constexpr Millis maxWait{5'000};
/// Token gap that callers allow in their streams.
constexpr Millis maxTokenGap{400};

/// A measured profile: engines of the users' first sites.
EngineProfile knownProfile()
{
    EngineProfile profile;
    profile.prefillMsPerToken = 1 / 25.8;
    profile.tokensPerMillionPairs = 28.4;
    profile.decodeStepMs = 9;
    profile.decodeStepsPerEvent = 3;
    profile.prefillTokensPerStep = 4'096;
    profile.storeLoadTime = Millis(250);
    profile.hostCacheLoadTime = Millis(25);
    profile.hostCachedAdapters = 36;
    return profile;
}

/// One engine, its limits, and a clock that the test moves.
struct Engine
{
    EngineScheduler scheduler;
    SchedulerLimits limits;
    AdapterVersions versions;
    Millis now = start;
    std::uint64_t next = 1;
    std::deque<std::pair<Millis, GrantKey>> prefills; ///< Granted, with their estimated ends.

    explicit Engine(std::uint32_t adapterSlots = 6)
    {
        this->limits.profile = knownProfile();
        this->limits.engine.batchSlots = 64;
        this->limits.engine.kvTokens = 148'252;
        this->limits.engine.adapterSlots = adapterSlots;
        this->scheduler.base = BaseModelId("m");
        this->scheduler.modelLoaded = true;
        this->scheduler.synced = true;
        this->scheduler.commandsAllowed = true;
        this->scheduler.slotFreedAt = start;
    }

    void addReadyAdapter(const char *adapter, std::uint64_t version = 0)
    {
        AdapterSlot &slot = this->scheduler.slots[AdapterId(adapter)];
        slot.phase = AdapterSlotPhase::Ready;
        slot.version = AdapterVersion(version);
        slot.lastUsedAt = this->now;
    }

    /// Submits the request of a caller that has come back after its objective.
    GrantKey submitLate(const char *adapter)
    {
        constexpr std::uint32_t tokens = 100;
        return this->submit(adapter, tokens, true, 1, Millis(0));
    }

    GrantKey submit(const char *adapter, std::uint32_t tokens = 500, bool lastChoice = true,
                    std::int32_t priority = 1, Millis objectiveLeft = objective)
    {
        EngineGrantRequest request;
        request.key = GrantKey{VmId("vm"), 1, this->next++};
        request.base = this->scheduler.base;
        request.adapter = AdapterId(adapter);
        request.priority = priority;
        request.maxTokenGap = maxTokenGap;
        request.objectiveAt = this->now + objectiveLeft;
        request.deadlineAt = this->now + maxWait;
        request.maxWaitUntil = request.deadlineAt;
        request.parts = {PromptPart{request.key.number, tokens}};
        request.lastChoice = lastChoice;
        submitGrantRequest(this->scheduler, this->limits, request, this->now);
        return request.key;
    }

    /// Lets the stream of a granted request start when its prefill is estimated to end.
    void startAfterPrefill(const GrantKey &key)
    {
        this->prefills.emplace_back(this->scheduler.prefillUntil, key);
    }

    void startCompletedPrefills()
    {
        while (!this->prefills.empty() && this->prefills.front().first <= this->now) {
            recordGrantStarted(this->scheduler, this->limits, this->prefills.front().second,
                               Millis(0), this->now);
            this->prefills.pop_front();
        }
    }

    std::vector<SchedulerAction> decide()
    {
        return nextSchedulerActions(this->scheduler, this->limits, this->versions, this->now);
    }
};

template<typename Action>
std::vector<Action> actionsOf(const std::vector<SchedulerAction> &actions)
{
    std::vector<Action> result;
    for (const SchedulerAction &action : actions) {
        if (const auto *found = std::get_if<Action>(&action)) {
            result.push_back(*found);
        }
    }
    return result;
}

} // namespace

// Guards against grants for adapters that aren't loaded, evictions of adapters in use, and commands
// that another owner or a lost response makes unsafe.
TEST_CASE("an engine's scheduler grants requests and commands loads")
{
    Engine engine;

    SECTION("a request for a loaded adapter is granted at once")
    {
        engine.addReadyAdapter("a1");
        const GrantKey key = engine.submit("a1");
        const auto grants = actionsOf<GrantAction>(engine.decide());
        REQUIRE(grants.size() == 1);
        REQUIRE(grants.front().key == key);

        SECTION("its adapter isn't evicted while the request runs")
        {
            for (const char *other : {"a2", "a3", "a4", "a5", "a6"}) {
                engine.addReadyAdapter(other);
                const GrantKey user = engine.submit(other);
                engine.now += Millis(100);
                REQUIRE(actionsOf<GrantAction>(engine.decide()).size() == 1);
                recordGrantStarted(engine.scheduler, engine.limits, user, Millis(0), engine.now);
            }
            engine.submit("a7");
            REQUIRE(actionsOf<EngineCommand>(engine.decide()).empty());

            SECTION("its adapter is evicted once the request has ended")
            {
                recordGrantEnded(engine.scheduler, key, engine.now);
                const auto commands = actionsOf<EngineCommand>(engine.decide());
                REQUIRE(commands.size() == 1);
                REQUIRE(commands.front().kind == CommandKind::UnloadAdapter);
                REQUIRE(commands.front().adapter == AdapterId("a1"));
            }
        }
    }

    SECTION("a missing adapter is loaded, and the request granted once the engine confirms it")
    {
        const GrantKey key = engine.submit("a1");
        const auto commands = actionsOf<EngineCommand>(engine.decide());
        REQUIRE(commands.size() == 1);
        REQUIRE(commands.front().kind == CommandKind::LoadAdapter);
        applyCommandOutcome(engine.scheduler, engine.limits, CommandOutcome::Accepted, engine.now);
        REQUIRE(actionsOf<GrantAction>(engine.decide()).empty());

        engine.now += engine.limits.profile.storeLoadTime;
        const auto checks = actionsOf<EngineCommand>(engine.decide());
        REQUIRE(checks.size() == 1);
        REQUIRE(checks.front().repeated);
        applyCommandOutcome(engine.scheduler, engine.limits, CommandOutcome::AlreadyHolds,
                            engine.now);

        SECTION("the grant reports the wait for the adapter")
        {
            const auto grants = actionsOf<GrantAction>(engine.decide());
            REQUIRE(grants.front().key == key);
            REQUIRE(grants.front().waits.adapter == engine.limits.profile.storeLoadTime);
            REQUIRE(grants.front().waits.prefill == Millis(0));
        }
        SECTION("the grant reports the later wait for prefill separately")
        {
            engine.scheduler.prefillUntil = engine.now + Millis(100);
            REQUIRE(actionsOf<GrantAction>(engine.decide()).empty());
            engine.now += Millis(90);
            const auto grants = actionsOf<GrantAction>(engine.decide());
            REQUIRE(grants.front().waits.adapter == engine.limits.profile.storeLoadTime);
            REQUIRE(grants.front().waits.prefill == Millis(90));
        }
    }

    SECTION("no more adapters are loaded than there are slots")
    {
        Engine small(2);
        for (const char *adapter : {"a1", "a2", "a3"}) {
            small.submit(adapter);
        }
        for (int i = 0; i < 3; ++i) {
            (void)small.decide();
            applyCommandOutcome(small.scheduler, small.limits, CommandOutcome::Accepted, small.now);
        }
        REQUIRE(small.scheduler.slots.size() == 2);
    }

    SECTION("a command without a response stops further commands until a report is applied")
    {
        engine.submit("a1");
        (void)engine.decide();
        applyCommandOutcome(engine.scheduler, engine.limits, CommandOutcome::Unknown, engine.now);
        engine.submit("a2");
        REQUIRE(actionsOf<EngineCommand>(engine.decide()).empty());
        EngineReport report;
        report.modelLoaded = true;
        report.pending = {AdapterId("a1")};
        applyReport(engine.scheduler, report, engine.now);
        const auto commands = actionsOf<EngineCommand>(engine.decide());
        REQUIRE(commands.size() == 1);
        REQUIRE(commands.front().adapter == AdapterId("a2"));
    }

    SECTION("a newer version replaces the older one before the next request is granted")
    {
        engine.addReadyAdapter("a1", 3);
        engine.versions[{BaseModelId("m"), AdapterId("a1")}] = AdapterVersion(4);
        engine.submit("a1");
        const auto actions = engine.decide();
        REQUIRE(actionsOf<GrantAction>(actions).empty());
        REQUIRE(actionsOf<EngineCommand>(actions).front().version == AdapterVersion(4));
    }

    SECTION("an engine that restarted empty loads its base model first")
    {
        engine.scheduler.modelLoaded = false;
        engine.submit("a1");
        const auto actions = engine.decide();
        REQUIRE(actionsOf<GrantAction>(actions).empty());
        REQUIRE(actionsOf<EngineCommand>(actions).front().kind == CommandKind::LoadModel);
        REQUIRE_FALSE(actionsOf<EngineCommand>(actions).front().repeated);

        SECTION("a later query whether it is loaded isn't a new command")
        {
            applyCommandOutcome(engine.scheduler, engine.limits, CommandOutcome::Accepted,
                                engine.now);
            engine.now += Millis(1'000);
            const auto again = actionsOf<EngineCommand>(engine.decide());
            REQUIRE(again.size() == 1);
            REQUIRE(again.front().kind == CommandKind::LoadModel);
            REQUIRE(again.front().repeated);
        }
        SECTION("a report that shows the command was lost leads to a new command")
        {
            applyCommandOutcome(engine.scheduler, engine.limits, CommandOutcome::Accepted,
                                engine.now);
            applyReport(engine.scheduler, EngineReport{}, engine.now);
            engine.now += Millis(1'000);
            REQUIRE_FALSE(actionsOf<EngineCommand>(engine.decide()).front().repeated);
        }
    }

    SECTION("without permission for commands, loaded adapters are granted and no command is sent")
    {
        engine.scheduler.commandsAllowed = false;
        engine.addReadyAdapter("a1");
        engine.submit("a1");
        engine.submit("a2");
        const auto actions = engine.decide();
        REQUIRE(actionsOf<GrantAction>(actions).size() == 1);
        REQUIRE(actionsOf<EngineCommand>(actions).empty());
    }

    SECTION("a lease from an earlier term sends no command before a report shows the engine's "
            "state")
    {
        engine.scheduler.synced = false;
        engine.scheduler.modelLoaded = false;
        engine.submit("a9");
        REQUIRE(actionsOf<EngineCommand>(engine.decide()).empty());
    }

    SECTION("past the time for commands, the engine is reserved before a new command")
    {
        engine.scheduler.commandsUntil = engine.now;
        engine.submit("a9");
        const auto actions = engine.decide();
        REQUIRE(actionsOf<EngineCommand>(actions).empty());
        REQUIRE(actionsOf<ReserveAction>(actions).size() == 1);
        REQUIRE(engine.scheduler.slots.count(AdapterId("a9")) == 0);

        SECTION("a later time lets it go")
        {
            engine.scheduler.commandsUntil = engine.now + Millis(1);
            REQUIRE(actionsOf<EngineCommand>(engine.decide()).size() == 1);
        }
    }

    SECTION("past the time for repeated commands, a report shows whether a load has ended")
    {
        engine.submit("a9");
        REQUIRE(actionsOf<EngineCommand>(engine.decide()).size() == 1);
        (void)applyCommandOutcome(engine.scheduler, engine.limits, CommandOutcome::Accepted,
                                  engine.now);
        engine.now += Millis(2'700);
        engine.scheduler.repeatsUntil = engine.now;
        const auto actions = engine.decide();
        REQUIRE(actionsOf<EngineCommand>(actions).empty());
        REQUIRE(actionsOf<ReportAction>(actions).size() == 1);
        EngineReport report;
        report.modelLoaded = true;
        report.adapters[AdapterId("a9")] = AdapterVersion(1);
        applyReport(engine.scheduler, report, engine.now);
        REQUIRE(engine.scheduler.slots.at(AdapterId("a9")).phase == AdapterSlotPhase::Ready);
    }

    SECTION("an unload that waits for its requests stays in progress through a report")
    {
        engine.addReadyAdapter("a1");
        engine.limits.engine.adapterSlots = 1;
        engine.submit("a9");
        REQUIRE(actionsOf<EngineCommand>(engine.decide()).front().kind
                == CommandKind::UnloadAdapter);
        EngineReport report;
        report.modelLoaded = true;
        report.adapters[AdapterId("a1")] = AdapterVersion(1);

        SECTION("once the engine has accepted it")
        {
            (void)applyCommandOutcome(engine.scheduler, engine.limits, CommandOutcome::Accepted,
                                      engine.now);
            applyReport(engine.scheduler, report, engine.now);
            REQUIRE(engine.scheduler.slots.at(AdapterId("a1")).phase
                    == AdapterSlotPhase::Unloading);
            engine.now += Millis(30);
            REQUIRE(actionsOf<EngineCommand>(engine.decide()).front().repeated);

            SECTION("and not after another daemon may have commanded the engine")
            {
                forgetCommandsInProgress(engine.scheduler);
                applyReport(engine.scheduler, report, engine.now);
                REQUIRE(engine.scheduler.slots.at(AdapterId("a1")).phase
                        == AdapterSlotPhase::Ready);
            }
        }
        SECTION("and not if the command may have been lost")
        {
            (void)applyCommandOutcome(engine.scheduler, engine.limits, CommandOutcome::Unknown,
                                      engine.now);
            applyReport(engine.scheduler, report, engine.now);
            REQUIRE(engine.scheduler.slots.at(AdapterId("a1")).phase == AdapterSlotPhase::Ready);
        }
    }

    SECTION("a restarted daemon's requests are removed, and their slots are free")
    {
        engine.addReadyAdapter("a1");
        engine.submit("a1");
        REQUIRE(actionsOf<GrantAction>(engine.decide()).size() == 1);
        dropGrantsOf(engine.scheduler, VmId("vm"), 2, engine.now);
        REQUIRE(engine.scheduler.running.empty());
        REQUIRE(engine.scheduler.slots.at(AdapterId("a1")).activeGrants == 0);
    }
}

// Guards against commands of two daemons at an engine: those that are sent without a reservation,
// and an unload that equals one in progress, which an engine accepts without counting it.
TEST_CASE("a new command needs a reservation of the engine, and is one that it counts")
{
    Engine engine(2);
    engine.scheduler.repeatsUntil = Millis(-1);
    engine.scheduler.commandsUntil = Millis(-1);
    engine.scheduler.countKnownSince = start - Millis(1'000);
    const auto nextCommand = [&engine] {
        const auto commands = actionsOf<EngineCommand>(engine.decide());
        REQUIRE(commands.size() == 1);
        return commands.front();
    };

    SECTION("a load is sent once the reservation permits it")
    {
        engine.submit("a1");
        REQUIRE(actionsOf<ReserveAction>(engine.decide()).size() == 1);
        REQUIRE(actionsOf<EngineCommand>(engine.decide()).empty());
        applyReservation(engine.scheduler, engine.now + Millis(500), engine.now);
        REQUIRE(nextCommand().adapter == AdapterId("a1"));
    }
    SECTION("nothing is reserved while no other daemon can send a command")
    {
        engine.scheduler.repeatsUntil = start + Millis(1'000);
        engine.scheduler.commandsUntil = start + Millis(1'000);
        engine.submit("a1");
        REQUIRE(nextCommand().adapter == AdapterId("a1"));
    }
    SECTION("nor without a command to send")
    {
        REQUIRE(actionsOf<ReserveAction>(engine.decide()).empty());
    }
    SECTION("in a full engine it is an unload that no earlier owner began")
    {
        engine.addReadyAdapter("a1");
        engine.addReadyAdapter("a2");
        engine.submit("a3");

        SECTION("none, if any adapter may be in use or waiting to be unloaded")
        {
            REQUIRE(actionsOf<ReserveAction>(engine.decide()).empty());
            REQUIRE(actionsOf<ReportAction>(engine.decide()).size() == 1);

            SECTION("until an earlier unload must have ended")
            {
                engine.now += Millis(12'000);
                engine.submit("a4");
                REQUIRE(actionsOf<ReserveAction>(engine.decide()).size() == 1);
                applyReservation(engine.scheduler, engine.now + Millis(500), engine.now);
                REQUIRE(nextCommand().mayBeUncounted);
            }
        }
        SECTION("any, if the engine runs no request")
        {
            EngineReport report;
            report.modelLoaded = true;
            report.adapters
                    = {{AdapterId("a1"), AdapterVersion(0)}, {AdapterId("a2"), AdapterVersion(0)}};
            report.running = 1;
            applyReport(engine.scheduler, report, engine.now);
            REQUIRE(actionsOf<ReserveAction>(engine.decide()).empty());
            report.running = 0;
            applyReport(engine.scheduler, report, engine.now);
            applyReservation(engine.scheduler, engine.now + Millis(500), engine.now);
            const EngineCommand command = nextCommand();
            REQUIRE(command.kind == CommandKind::UnloadAdapter);
            REQUIRE_FALSE(command.mayBeUncounted);
        }
        SECTION("one that was used since the count last changed")
        {
            engine.scheduler.slots.at(AdapterId("a2")).provenAt = start;
            engine.scheduler.slots.at(AdapterId("a1")).provenAt = start - Millis(2'000);
            applyReservation(engine.scheduler, engine.now + Millis(500), engine.now);
            REQUIRE(nextCommand().adapter == AdapterId("a2"));
        }
    }
    SECTION("the load of the base model needs one, too, and follows it without a further wait")
    {
        engine.scheduler.modelLoaded = false;
        REQUIRE(actionsOf<ReserveAction>(engine.decide()).size() == 1);
        engine.now += Millis(10);
        applyReservation(engine.scheduler, engine.now + Millis(500), engine.now);
        REQUIRE(nextCommand().kind == CommandKind::LoadModel);
    }
}

// Guards against long token gaps in running streams, requests refused too late or too early, and
// the wrong order of waiting requests. All come about when many prompts for one adapter arrive
// together.
TEST_CASE("load pattern: a burst on one adapter")
{
    Engine engine;
    engine.addReadyAdapter("hot");
    constexpr std::uint32_t promptTokens = 2'400;

    SECTION("prompts are handed over one after another, so that running streams don't stall")
    {
        for (int i = 0; i < 5; ++i) {
            engine.submit("hot", promptTokens);
        }
        REQUIRE(actionsOf<GrantAction>(engine.decide()).size() == 1);
        // The prefill takes 97 ms in a step of 9 ms; the next one is handed over 25 ms before its
        // end.
        engine.now += Millis(40);
        REQUIRE(actionsOf<GrantAction>(engine.decide()).empty());
        engine.now += Millis(40);
        REQUIRE(actionsOf<GrantAction>(engine.decide()).empty());
        engine.now += Millis(1);
        REQUIRE(actionsOf<GrantAction>(engine.decide()).size() == 1);
    }

    SECTION("several prompts: prefill takes only part of any window that a stream event spans")
    {
        std::vector<Millis> grants;
        for (int i = 0; i < 6; ++i) {
            engine.submit("hot", 3'500);
        }
        const Millis end = engine.now + Millis(800);
        for (; engine.now < end; engine.now += Millis(5)) {
            engine.startCompletedPrefills();
            for (const GrantAction &granted : actionsOf<GrantAction>(engine.decide())) {
                grants.push_back(engine.now);
                engine.startAfterPrefill(granted.key);
            }
        }
        REQUIRE(grants.size() >= 3);
        for (std::size_t i = 2; i < grants.size(); ++i) {
            // Three of these prefills take 408 ms, and a token gap may be 400 ms.
            REQUIRE(grants[i] - grants[i - 2] >= Millis(270));
        }
    }

    SECTION("load pattern: long prompts among short ones. The next waits for one stream event")
    {
        engine.submit("hot", 7'000);
        const auto first = actionsOf<GrantAction>(engine.decide());
        REQUIRE(first.size() == 1);
        recordGrantStarted(engine.scheduler, engine.limits, first.front().key, Millis(0),
                           engine.now);
        const Millis prefillEnd = engine.scheduler.prefillUntil;
        engine.submit("hot", 3'000);
        Millis handedAt;
        for (; handedAt == Millis(0); engine.now += Millis(1)) {
            if (!actionsOf<GrantAction>(engine.decide()).empty()) {
                handedAt = engine.now;
            }
        }
        // Both prefills together take 410 ms: streams get their event in between, which takes 36
        // ms.
        REQUIRE(handedAt > prefillEnd);
        REQUIRE(handedAt <= prefillEnd + Millis(36) + engine.limits.deliveryJitter);
    }

    SECTION("load pattern: any mix of prompts. No stream of a busy engine exceeds the token gap")
    {
        // An engine as described by the users' pages, and callers whose prompts are mostly short.
        std::mt19937 random(20261204);
        std::lognormal_distribution<double> length(7.2, 0.75);
        std::exponential_distribution<double> arrivalGap(1.0 / 100);
        std::deque<std::uint32_t> queue;
        std::vector<Millis> steps;
        Millis stepEndsAt = engine.now;
        Millis nextArrivalAt = engine.now;
        std::uint64_t submittedTokens = 0;
        std::uint64_t prefilledTokens = 0;
        const Millis begin = engine.now;
        std::vector<GrantKey> unfinished;
        std::vector<GrantKey> finishedInStep;
        constexpr Millis streamTime{2'000};
        std::deque<std::pair<Millis, GrantKey>> streams; // Running streams with their ends.
        for (; engine.now < begin + Millis(60'000); engine.now += Millis(1)) {
            while (!streams.empty() && streams.front().first <= engine.now) {
                recordGrantEnded(engine.scheduler, streams.front().second, engine.now);
                streams.pop_front();
            }
            if (engine.now >= nextArrivalAt) {
                nextArrivalAt += Millis(static_cast<std::int64_t>(arrivalGap(random)) + 1);
                const auto tokens = std::min(7'000U, static_cast<std::uint32_t>(length(random)));
                submittedTokens += tokens;
                engine.submit("hot", tokens);
            }
            for (const GrantAction &granted : actionsOf<GrantAction>(engine.decide())) {
                queue.push_back(granted.prefillTokens);
                unfinished.push_back(granted.key);
            }
            if (engine.now < stepEndsAt) {
                continue;
            }
            for (const GrantKey &key : finishedInStep) {
                recordGrantStarted(engine.scheduler, engine.limits, key, Millis(0), engine.now);
                streams.emplace_back(engine.now + streamTime, key);
            }
            finishedInStep.clear();
            std::uint32_t tokensLeft = engine.limits.profile.prefillTokensPerStep;
            double prefillMs = 0;
            while (tokensLeft > 0 && !queue.empty()) {
                const std::uint32_t chunk = std::min(tokensLeft, queue.front());
                prefillMs += chunk * engine.limits.profile.prefillMsPerToken;
                prefilledTokens += chunk;
                tokensLeft -= chunk;
                queue.front() -= chunk;
                if (queue.front() == 0) {
                    queue.pop_front();
                    finishedInStep.push_back(unfinished.front());
                    unfinished.erase(unfinished.begin());
                }
            }
            steps.push_back(Millis(static_cast<std::int64_t>(prefillMs) + 9));
            stepEndsAt = engine.now + steps.back();
        }
        std::size_t longGaps = 0;
        for (std::size_t i = 2; i < steps.size(); ++i) {
            longGaps += steps[i - 2] + steps[i - 1] + steps[i] > maxTokenGap ? 1 : 0;
        }
        CAPTURE(longGaps, steps.size(), submittedTokens, prefilledTokens);
        REQUIRE(longGaps == 0);
        // The engine doesn't idle for it: callers need two thirds of its time, and get them.
        REQUIRE(prefilledTokens * 100 > submittedTokens * 95);
    }

    SECTION("a request that would wait beyond half of its maximum wait is refused at arrival, with "
            "the expected wait")
    {
        for (int i = 0; i < 60; ++i) {
            engine.submit("hot", promptTokens);
        }
        const auto refusals = actionsOf<RefuseAction>(engine.decide());
        REQUIRE_FALSE(refusals.empty());
        REQUIRE(refusals.front().retryAfter >= maxWait / 2);
        // The engine prefills about eleven such prompts within the objective, and 27 within that
        // half.
        REQUIRE(engine.scheduler.waiting.size() <= 27);
        const auto pastObjective = std::count_if(
                engine.scheduler.waiting.begin(), engine.scheduler.waiting.end(),
                [](const EngineGrantRequest &request) { return request.pastObjective; });
        REQUIRE(engine.scheduler.waiting.size() - static_cast<std::size_t>(pastObjective) <= 11);
    }

    SECTION("a request past its objective waits on, but at most for half of its remaining "
            "maximum wait")
    {
        engine.submit("hot", promptTokens);
        (void)engine.decide();
        engine.scheduler.prefillUntil = engine.now + Millis(800);
        engine.submit("hot", promptTokens);
        REQUIRE(actionsOf<RefuseAction>(engine.decide()).empty());
        engine.scheduler.prefillUntil = engine.now + Millis(5'000);
        engine.now += objective;
        REQUIRE(actionsOf<RefuseAction>(engine.decide()).empty());
        engine.now += (maxWait - objective) / 2;
        REQUIRE(actionsOf<RefuseAction>(engine.decide()).size() == 1);
    }

    SECTION("a request within its objective goes before one past it")
    {
        engine.scheduler.prefillUntil = engine.now + Millis(1'500);
        const GrantKey overdue = engine.submit("hot", promptTokens);
        (void)engine.decide();
        engine.now += Millis(1'400);
        const GrantKey punctual = engine.submit("hot", promptTokens);
        engine.now += Millis(90);
        REQUIRE(actionsOf<GrantAction>(engine.decide()).front().key == punctual);
        engine.now += Millis(300);
        REQUIRE(actionsOf<GrantAction>(engine.decide()).front().key == overdue);
    }

    SECTION("a request within its objective goes before a more urgent one past it")
    {
        engine.scheduler.prefillUntil = engine.now + Millis(1'500);
        const GrantKey overdue = engine.submit("hot", promptTokens, true, 0);
        (void)engine.decide();
        engine.now += Millis(1'400);
        const GrantKey punctual = engine.submit("hot", promptTokens, true, 1);
        engine.now += Millis(90);
        REQUIRE(actionsOf<GrantAction>(engine.decide()).front().key == punctual);
        engine.now += Millis(300);
        REQUIRE(actionsOf<GrantAction>(engine.decide()).front().key == overdue);
    }

    SECTION("load pattern: all daemons lost. A request waits for the first command where the "
            "lease expires soon enough, and is refused with the time left where not")
    {
        engine.scheduler.commandsAllowed = false;
        engine.scheduler.commandsFrom = engine.now + Millis(1'500);
        engine.submit("unheld", promptTokens);
        REQUIRE(actionsOf<RefuseAction>(engine.decide()).empty());
        engine.scheduler.commandsFrom = engine.now + Millis(3'000);
        engine.submit("other", promptTokens);
        const auto refusals = actionsOf<RefuseAction>(engine.decide());
        REQUIRE(refusals.size() == 1);
        REQUIRE(refusals.front().retryAfter >= Millis(3'000));
    }

    SECTION("the more urgent request goes first, then the one that times out first")
    {
        engine.scheduler.prefillUntil = engine.now + Millis(200);
        const GrantKey later = engine.submit("hot", promptTokens, true, 1);
        const GrantKey urgent = engine.submit("hot", promptTokens, true, 0);
        (void)engine.decide();
        engine.now += Millis(190);
        REQUIRE(actionsOf<GrantAction>(engine.decide()).front().key == urgent);
        engine.now += Millis(200);
        REQUIRE(actionsOf<GrantAction>(engine.decide()).front().key == later);
    }
}

// Guards against requests that wait for a slot although another engine is free, wrong estimates of
// that wait, and evictions of the wrong adapter.
TEST_CASE("load pattern: more adapters than slots")
{
    Engine engine;
    for (const char *adapter : {"a1", "a2", "a3", "a4", "a5", "a6"}) {
        engine.addReadyAdapter(adapter);
        const GrantKey key = engine.submit(adapter, 100);
        engine.now += Millis(10);
        REQUIRE(actionsOf<GrantAction>(engine.decide()).size() == 1);
        recordGrantStarted(engine.scheduler, engine.limits, key, Millis(0), engine.now);
    }

    SECTION("a request with another engine to try is redirected")
    {
        engine.scheduler.slotFreeInterval = Millis(400);
        engine.submit("rare", 100, false);
        REQUIRE(actionsOf<RedirectAction>(engine.decide()).size() == 1);
    }

    SECTION("a request for a loaded adapter waits longer before it is redirected")
    {
        engine.scheduler.prefillUntil = engine.now + Millis(400);
        engine.submit("a1", 100, false);
        REQUIRE(actionsOf<RedirectAction>(engine.decide()).empty());
    }

    SECTION("each further waiting adapter adds the interval until one more slot is free")
    {
        engine.scheduler.slotFreeInterval = Millis(200);
        EngineGrantRequest request;
        request.adapter = AdapterId("rare");
        request.priority = 1;
        const Millis first = expectedWait(engine.scheduler, engine.limits, request, engine.now);
        engine.submit("other", 100);
        (void)engine.decide();
        const Millis second = expectedWait(engine.scheduler, engine.limits, request, engine.now);
        REQUIRE(first == engine.limits.profile.storeLoadTime + Millis(200));
        REQUIRE(second >= first + Millis(200));
    }

    SECTION("the least recently used adapter is evicted, and its reload is expected to be fast")
    {
        for (std::uint64_t number = 1; number <= 6; ++number) {
            recordGrantEnded(engine.scheduler, GrantKey{VmId("vm"), 1, number},
                             engine.now + Millis(static_cast<std::int64_t>(number)));
        }
        engine.now += Millis(100);
        engine.submit("rare", 100);
        REQUIRE(actionsOf<EngineCommand>(engine.decide()).front().adapter == AdapterId("a1"));
        applyCommandOutcome(engine.scheduler, engine.limits, CommandOutcome::AlreadyHolds,
                            engine.now);
        REQUIRE(engine.scheduler.hostCached.front() == AdapterId("a1"));
        EngineGrantRequest again;
        again.adapter = AdapterId("a1");
        REQUIRE(expectedWait(engine.scheduler, engine.limits, again, engine.now)
                == engine.limits.profile.hostCacheLoadTime);
    }
}

// Guards against requests that wait for a crashed engine until they time out.
TEST_CASE("load pattern: engines that crash under load")
{
    Engine engine;
    engine.addReadyAdapter("a");

    SECTION("after a request didn't reach the engine, nothing is granted")
    {
        markSuspected(engine.scheduler);
        const GrantKey key = engine.submit("a");
        REQUIRE(engine.decide().empty());

        SECTION("a report of the engine ends that")
        {
            setReachable(engine.scheduler, true);
            REQUIRE(actionsOf<GrantAction>(engine.decide()).front().key == key);
        }

        SECTION("a failed report returns all waiting requests at once")
        {
            engine.submit("a", 500, false);
            setReachable(engine.scheduler, false);
            const std::vector<SchedulerAction> actions = engine.decide();
            REQUIRE(actionsOf<EngineDownAction>(actions).size() == 2);
            REQUIRE(engine.scheduler.waiting.empty());

            SECTION("later requests are returned, too, and no command is sent")
            {
                engine.now += Millis(400);
                engine.submit("b", 500, false);
                const std::vector<SchedulerAction> later = engine.decide();
                REQUIRE(later.size() == 1);
                REQUIRE(actionsOf<EngineDownAction>(later).size() == 1);
            }
        }
    }
}

// Guards against requests that queue at one preferred engine of a busy adapter while another is
// idle.
TEST_CASE("load pattern: busy preferred engines of a busy adapter")
{
    Engine engine;
    engine.addReadyAdapter("hot");
    EngineGrantRequest request;
    request.base = engine.scheduler.base;
    request.adapter = AdapterId("hot");
    request.objectiveAt = engine.now + objective;
    request.deadlineAt = engine.now + maxWait;
    request.key = GrantKey{VmId("other"), 1, 1};
    request.parts = {PromptPart{1, 2'000}};
    request.nextIsPreferred = true;

    SECTION("an idle preferred engine grants the request")
    {
        submitGrantRequest(engine.scheduler, engine.limits, request, engine.now);
        REQUIRE(actionsOf<GrantAction>(engine.decide()).size() == 1);
    }

    SECTION("an expected wait of 80 ms or more redirects to another preferred engine")
    {
        engine.submit("hot", 4'000);
        REQUIRE(actionsOf<GrantAction>(engine.decide()).size() == 1);
        submitGrantRequest(engine.scheduler, engine.limits, request, engine.now);
        const auto redirects = actionsOf<RedirectAction>(engine.decide());
        REQUIRE(redirects.size() == 1);
        REQUIRE(redirects.front().expectedWait > engine.limits.profile.storeLoadTime / 3);

        SECTION("the same wait keeps the request where no other engine is preferred")
        {
            request.nextIsPreferred = false;
            submitGrantRequest(engine.scheduler, engine.limits, request, engine.now);
            REQUIRE(actionsOf<RedirectAction>(engine.decide()).empty());
        }
    }
}

// Guards against a demand that each daemon underestimates from the few requests of its own.
TEST_CASE("an engine's scheduler reports the demand for an adapter")
{
    Engine engine;
    engine.addReadyAdapter("hot");
    engine.addReadyAdapter("rare");

    SECTION("load pattern: many daemons request one adapter rarely. Their demand is added up")
    {
        double reported = 0;
        for (int i = 0; i < 80; ++i) {
            const GrantKey key = engine.submit("hot", 100, false);
            const auto grants = actionsOf<GrantAction>(engine.decide());
            REQUIRE(grants.size() == 1);
            reported = grants.front().demand;
            recordGrantStarted(engine.scheduler, engine.limits, key, Millis(0), engine.now);
            recordGrantEnded(engine.scheduler, key, engine.now);
            engine.now += Millis(125);
        }
        REQUIRE(reported > 6.0);
        REQUIRE(reported < 10.0);

        SECTION("the demand for a rare adapter beside it stays low")
        {
            engine.submit("rare", 100, false);
            REQUIRE(actionsOf<GrantAction>(engine.decide()).front().demand < 0.5);
        }

        SECTION("a request that comes back as to its last choice isn't counted twice")
        {
            engine.submit("hot", 100, true);
            REQUIRE(actionsOf<GrantAction>(engine.decide()).front().demand <= reported);
        }
    }
}

// Guards against schedules built on the profile of a service where one engine is slower or faster.
TEST_CASE("an engine's scheduler measures its speed")
{
    Engine engine;
    const SchedulerLimits &limits = engine.limits;
    constexpr std::uint32_t tokens = 2'400;
    const Millis usualTime = prefillDuration(limits.profile, tokens);
    const auto sample = [&](Millis time) {
        recordSpeed(engine.scheduler.speed, limits.profile, PrefillSample{tokens, time, false});
    };

    SECTION("prompts that queue now and then don't slow down an engine of usual speed")
    {
        for (int i = 0; i < 30; ++i) {
            sample(usualTime + Millis(i % 3 == 0 ? 180 : 3));
        }
        REQUIRE(engine.scheduler.speed.slowdown < 1.1);
    }

    SECTION("load pattern: a third of the engines are a third slower, which is measured")
    {
        for (int i = 0; i < 9; ++i) {
            sample(Millis(usualTime.count() * 13 / 10 + i));
        }
        REQUIRE(engine.scheduler.speed.slowdown == Approx(1.33).margin(0.05));

        SECTION("prompts are handed over slowly enough for streams to continue")
        {
            engine.addReadyAdapter("a");
            // A prefill of 1,800 tokens takes about 95 ms here; three fit into the window.
            std::size_t granted = 0;
            const Millis begin = engine.now;
            for (int i = 0; i < 12; ++i) {
                engine.submit("a", 1'800);
            }
            while (engine.now < begin + maxTokenGap) {
                engine.startCompletedPrefills();
                for (const GrantAction &grant : actionsOf<GrantAction>(engine.decide())) {
                    ++granted;
                    engine.startAfterPrefill(grant.key);
                }
                engine.now += Millis(5);
            }
            REQUIRE(granted >= 3);
            REQUIRE(granted <= 4);
        }
    }

    SECTION("load pattern: some engines are faster than their service's profile, which is measured")
    {
        for (int i = 0; i < 9; ++i) {
            sample(usualTime / 2);
        }
        REQUIRE(engine.scheduler.speed.slowdown == Approx(0.5).margin(0.05));
    }

    SECTION("load pattern: an engine slows down for a few seconds, which is measured")
    {
        for (int i = 0; i < 9; ++i) {
            sample(usualTime);
        }
        for (int i = 0; i < 7; ++i) {
            sample(usualTime * 3);
        }
        REQUIRE(engine.scheduler.speed.slowdown > 2.0);

        SECTION("its usual speed is measured again soon after")
        {
            for (int i = 0; i < 7; ++i) {
                sample(usualTime);
            }
            REQUIRE(engine.scheduler.speed.slowdown == Approx(1.0).margin(0.05));
        }
    }

    SECTION("short prompts and stalls change the measured speed little")
    {
        recordSpeed(engine.scheduler.speed, limits.profile, PrefillSample{100, Millis(400), true});
        REQUIRE(engine.scheduler.speed.slowdown == 1.0);
        sample(Millis(60'000));
        REQUIRE(engine.scheduler.speed.slowdown <= 6.0);
    }

    SECTION("the decode steps of the first event are left out of the prefill time")
    {
        engine.addReadyAdapter("a");
        const GrantKey key = engine.submit("a", 2'580);
        REQUIRE(actionsOf<GrantAction>(engine.decide()).size() == 1);
        // The prefill of 2,580 tokens takes 100 ms, and 4 ms more for attention.
        const std::optional<PrefillSample> prefill
                = recordGrantStarted(engine.scheduler, limits, key,
                                     eventInterval(limits.profile) + Millis(104) * 2, engine.now);
        REQUIRE(engine.scheduler.speed.slowdown == Approx(2.0).margin(0.05));

        SECTION("it is an isolated sample, as there was no other prompt")
        {
            REQUIRE(prefill == PrefillSample{2'580, Millis(208), true});
        }
    }

    SECTION("a prompt that another one follows before its first chunk isn't an isolated sample")
    {
        engine.addReadyAdapter("a");
        const GrantKey key = engine.submit("a", 2'580);
        REQUIRE(actionsOf<GrantAction>(engine.decide()).size() == 1);
        engine.now += Millis(100);
        engine.submit("a", 2'580);
        REQUIRE(actionsOf<GrantAction>(engine.decide()).size() == 1);
        const std::optional<PrefillSample> prefill
                = recordGrantStarted(engine.scheduler, limits, key, Millis(240), engine.now);
        REQUIRE(prefill.has_value());
        REQUIRE_FALSE(prefill->isolated);
    }
}

// Guards against load times that are measured from polls that say nothing of them.
TEST_CASE("an engine's scheduler measures load times")
{
    Engine engine;
    engine.submit("a1");
    (void)engine.decide();
    applyCommandOutcome(engine.scheduler, engine.limits, CommandOutcome::Accepted, engine.now);
    engine.now += engine.limits.profile.storeLoadTime;
    REQUIRE(actionsOf<EngineCommand>(engine.decide()).front().repeated);

    SECTION("a load that has ended at the first poll took at most that long")
    {
        const auto load = applyCommandOutcome(engine.scheduler, engine.limits,
                                              CommandOutcome::AlreadyHolds, engine.now);
        REQUIRE(load.has_value());
        REQUIRE(load->time == engine.limits.profile.storeLoadTime);
        REQUIRE(load->firstPoll);
        REQUIRE_FALSE(load->cacheDepth.has_value());
    }

    SECTION("a load that has ended at a later poll took until then")
    {
        applyCommandOutcome(engine.scheduler, engine.limits, CommandOutcome::Accepted, engine.now);
        engine.now += Millis(50);
        REQUIRE(actionsOf<EngineCommand>(engine.decide()).front().repeated);
        const auto load = applyCommandOutcome(engine.scheduler, engine.limits,
                                              CommandOutcome::AlreadyHolds, engine.now);
        REQUIRE(load.has_value());
        REQUIRE(load->time == engine.limits.profile.storeLoadTime + Millis(50));
        REQUIRE_FALSE(load->firstPoll);
    }

    SECTION("a load found in a report began earlier and gives no sample")
    {
        EngineReport report;
        report.modelLoaded = true;
        report.pending = {AdapterId("a1")};
        applyCommandOutcome(engine.scheduler, engine.limits, CommandOutcome::Unknown, engine.now);
        applyReport(engine.scheduler, report, engine.now);
        engine.now += Millis(50);
        (void)engine.decide();
        REQUIRE_FALSE(applyCommandOutcome(engine.scheduler, engine.limits,
                                          CommandOutcome::AlreadyHolds, engine.now)
                              .has_value());
    }
}

// Guards against an owner that grants more requests than its engine states to take, and against
// requests that wait or starve there although another engine could serve them.
TEST_CASE("an engine's scheduler keeps the engine's rate limit")
{
    Engine engine;
    engine.addReadyAdapter("a1");
    REQUIRE(setPermitRate(engine.scheduler, 2.0, engine.now));
    REQUIRE_FALSE(setPermitRate(engine.scheduler, 2.0, engine.now));

    SECTION("grants follow each other at the rate, and the next decision is due with the next one")
    {
        std::size_t granted = 0;
        for (const Millis end = engine.now + Millis(10'000); engine.now < end;) {
            engine.submit("a1", 100);
            for (const GrantAction &grant : actionsOf<GrantAction>(engine.decide())) {
                ++granted;
                recordGrantEnded(engine.scheduler, grant.key, engine.now);
            }
            const auto check = nextSchedulerCheck(engine.scheduler, engine.limits);
            REQUIRE((!check || *check > engine.now));
            engine.now += Millis(20);
        }
        REQUIRE(granted <= 20);
        REQUIRE(granted >= 19);
    }

    SECTION("a request that may go elsewhere is redirected at once, with the wait for a grant")
    {
        REQUIRE(actionsOf<GrantAction>(engine.decide()).empty());
        engine.submit("a1", 100, true);
        engine.decide();
        engine.submit("a1", 100, false);
        const auto redirects = actionsOf<RedirectAction>(engine.decide());
        REQUIRE(redirects.size() == 1);
        REQUIRE(redirects.front().expectedWait == Millis(1'000));
    }

    SECTION("a request without another engine is refused at once if it would wait too long")
    {
        std::size_t refused = 0;
        for (int i = 0; i < 30; ++i) {
            engine.submit("a1", 100);
            const auto refusals = actionsOf<RefuseAction>(engine.decide());
            for (const RefuseAction &refusal : refusals) {
                REQUIRE(refusal.rateLimited);
                REQUIRE(refusal.retryAfter > objective - Millis(100));
            }
            refused += refusals.size();
        }
        REQUIRE(refused >= 28);

        SECTION("and so is one that is past its objective, behind the others")
        {
            const GrantKey late = engine.submitLate("a1");
            const auto refusals = actionsOf<RefuseAction>(engine.decide());
            REQUIRE(refusals.size() == 1);
            REQUIRE(refusals.front().key == late);
        }
    }

    SECTION("a request past its objective gets a grant that nobody else waits for")
    {
        const GrantKey late = engine.submitLate("a1");
        REQUIRE(engine.decide().empty());
        engine.now += Millis(500);
        const auto grants = actionsOf<GrantAction>(engine.decide());
        REQUIRE(grants.size() == 1);
        REQUIRE(grants.front().key == late);
    }

    SECTION("a request that others overtake isn't kept until its caller leaves")
    {
        const GrantKey overtaken = engine.submit("a1", 100, false, 2);
        REQUIRE(actionsOf<RedirectAction>(engine.decide()).empty());
        bool redirected = false;
        for (int i = 0; i < 10 && !redirected; ++i) {
            engine.submit("a1", 100, true, 0);
            for (const RedirectAction &redirect : actionsOf<RedirectAction>(engine.decide())) {
                redirected = redirected || redirect.key == overtaken;
            }
        }
        REQUIRE(redirected);
    }

    SECTION("without the limit all that wait are granted at once")
    {
        engine.submit("a1", 10);
        engine.submit("a1", 10);
        REQUIRE(actionsOf<GrantAction>(engine.decide()).empty());
        REQUIRE(setPermitRate(engine.scheduler, std::nullopt, engine.now));
        REQUIRE_FALSE(actionsOf<GrantAction>(engine.decide()).empty());
        REQUIRE(expectedWait(engine.scheduler, engine.limits, EngineGrantRequest(), engine.now)
                < Millis(100));
    }

    SECTION("after a pause of the process nothing is granted before other owners must be known")
    {
        engine.now += Millis(5'000);
        restartPermits(engine.scheduler, engine.now + permitHandover);
        engine.submit("a1", 100);
        REQUIRE(actionsOf<GrantAction>(engine.decide()).empty());
        engine.now += permitHandover;
        engine.submit("a1", 100);
        REQUIRE(actionsOf<GrantAction>(engine.decide()).empty());
        engine.now += Millis(500);
        REQUIRE(actionsOf<GrantAction>(engine.decide()).size() == 1);
    }

    SECTION("a limit that leaves this owner nothing refuses instead of waiting")
    {
        REQUIRE(setPermitRate(engine.scheduler, 0.0, engine.now));
        engine.submit("a1", 100);
        REQUIRE(actionsOf<RefuseAction>(engine.decide()).size() == 1);
        engine.submit("a1", 100, false);
        REQUIRE(actionsOf<RedirectAction>(engine.decide()).size() == 1);
    }
}
