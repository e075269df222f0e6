#ifndef BALSAMPORT_TESTS_CRASH_WORLD_H
#define BALSAMPORT_TESTS_CRASH_WORLD_H

#include "world_random.h"

#include <balsamport/policy/crash_evidence.h>

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <queue>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace balsamport::testing {

/// @brief What the servers and the callers saw, kept apart from the daemons' evidence.
struct CrashOracle
{
    static constexpr Millis contactTime{4'000};
    static constexpr std::size_t crashesBeforeBound = 5;

    std::vector<Millis> badSends; ///< Send times of requests with the bad part, as received.
    std::vector<Millis> badCrashes; ///< Of different runs of servers, in order.
    std::size_t crashesAtConviction = 0; ///< Before the first daemon convicted the bad part.
    struct Sound
    {
        Millis at;
        bool begun = false; ///< At the first attempt.
        bool refused = false; ///< Because of a suspect.
    };
    std::vector<Sound> sound;
    std::set<std::uint64_t> soundConvicted; ///< Sound parts that some daemon convicted.

    /// @return the sends that were later than the users' bound on sends after the fifth crash
    [[nodiscard]] std::size_t sendsAfterBound() const
    {
        if (this->badCrashes.size() < crashesBeforeBound) {
            return 0;
        }
        const Millis bound = this->badCrashes[crashesBeforeBound - 1] + contactTime;
        return static_cast<std::size_t>(std::count_if(this->badSends.begin(), this->badSends.end(),
                                                      [&](Millis at) { return at > bound; }));
    }

    /// @return the share of sound requests from a moment on that began at the first attempt
    [[nodiscard]] double begunFrom(Millis from, Millis until) const
    {
        double count = 0;
        double begun = 0;
        for (const Sound &request : this->sound) {
            if (request.at >= from && request.at < until) {
                ++count;
                begun += request.begun ? 1 : 0;
            }
        }
        return count == 0 ? 1 : begun / count;
    }

    [[nodiscard]] std::size_t refusedFrom(Millis from) const
    {
        return static_cast<std::size_t>(
                std::count_if(this->sound.begin(), this->sound.end(), [&](const Sound &request) {
                    return request.at >= from && request.refused;
                }));
    }
};

/// @brief Size and faults of a simulated fleet.
struct CrashWorldOptions
{
    std::size_t daemons = 8;
    std::size_t engines = 9;
    Millis restartTime{3'000}; ///< Until an engine that crashed is back.
    std::uint64_t seed = 1;
    std::uint64_t badAfterMs = 30; ///< From when a bad request may end its engine.
    std::uint32_t latePercent = 5; ///< Messages that arrive up to a second late.
    std::uint32_t repeatedPercent = 5; ///< Messages that arrive twice.
};

/// @brief Simulates daemons that share evidence on crashes, engines with batches, and callers, in
/// virtual time.
class CrashWorld
{
public:
    static constexpr std::uint64_t firstPart = 0xa1; ///< Of all requests.
    static constexpr std::uint64_t badPart = 0xbad0;

    explicit CrashWorld(const CrashWorldOptions &worldOptions)
        : options(worldOptions)
        , random(worldOptions.seed)
        , daemons(worldOptions.daemons)
        , engines(worldOptions.engines)
    {
        this->gossip();
    }

    CrashOracle oracle;
    std::set<std::uint64_t> badParts;

    [[nodiscard]] Millis now() const { return this->time; }
    [[nodiscard]] const CrashEvidence &evidence(std::size_t daemon) const
    {
        return this->daemons[daemon].evidence;
    }

    void advance(Millis span)
    {
        const Millis end = this->time + span;
        while (!this->events.empty() && this->events.top().at <= end) {
            const Item item = this->events.top();
            this->events.pop();
            this->time = std::max(this->time, item.at);
            item.action();
        }
        this->time = end;
    }

    /// @brief Sends a request to a daemon; its parts are followed by one of its own.
    void send(std::size_t daemon, std::vector<std::uint64_t> parts, Millis streamTime)
    {
        Request request;
        request.number = ++this->requests;
        request.daemon = daemon % this->daemons.size();
        request.streamTime = streamTime;
        request.traits = RequestTraits{Fingerprint(this->requests), std::move(parts)};
        request.bad = std::any_of(
                request.traits.sharedParts.begin(), request.traits.sharedParts.end(),
                [this](std::uint64_t part) { return this->badParts.count(part) != 0; });
        if (!request.bad) {
            request.soundIndex = this->oracle.sound.size();
            this->oracle.sound.push_back({this->time, false, false});
        }
        if (!this->daemons[request.daemon].up) {
            return;
        }
        if (!this->refuse(request)) {
            // Waits in the queue of an engine's owner, which may take long while few engines are
            // left.
            this->schedule(this->between(1, 300), [this, request] { this->dispatch(request); });
        }
    }

    /// @brief Ends an engine without a bad request.
    void crashEngine(std::size_t engine) { this->crash(engine % this->engines.size()); }

    /// @brief Breaks the requests of one daemon on all engines, which go on.
    void resetConnections(std::size_t daemon)
    {
        for (std::size_t engine = 0; engine < this->engines.size(); ++engine) {
            std::erase_if(this->engines[engine].running,
                          [&](const auto &entry) { return entry.second.daemon == daemon; });
        }
    }

    /// @brief Kills a daemon; it starts again later without evidence.
    void restartDaemon(std::size_t daemon, Millis downTime)
    {
        Daemon &killed = this->daemons[daemon];
        killed.up = false;
        ++killed.life;
        killed.evidence = CrashEvidence{};
        killed.judgesAt = Millis(-1);
        for (Engine &engine : this->engines) {
            std::erase_if(engine.running,
                          [&](const auto &entry) { return entry.second.daemon == daemon; });
        }
        this->schedule(downTime, [this, daemon] { this->daemons[daemon].up = true; });
    }

    /// @brief Cuts a daemon off from the other daemons, but not from engines and callers.
    void cutDaemon(std::size_t daemon, Millis span)
    {
        this->daemons[daemon].cut = true;
        this->schedule(span, [this, daemon] { this->daemons[daemon].cut = false; });
    }

    [[nodiscard]] bool isConvicted(std::size_t daemon, std::uint64_t part) const
    {
        return convictedSuspect(this->daemons[daemon].evidence,
                                RequestTraits{Fingerprint(0), {part}})
                .has_value();
    }

private:
    struct Request
    {
        std::uint64_t number = 0;
        std::size_t daemon = 0;
        Millis streamTime;
        Millis sentAt;
        RequestTraits traits;
        bool bad = false;
        std::size_t soundIndex = 0;
    };
    struct Engine
    {
        std::uint64_t run = 0;
        bool up = true;
        std::map<std::uint64_t, Request> running;
    };
    struct Daemon
    {
        CrashEvidence evidence;
        bool up = true;
        bool cut = false;
        std::uint64_t life = 0;
        bool publishes = false; ///< A check of what to publish is scheduled.
        Millis judgesAt{-1}; ///< Time of the next scheduled judgement; -1 for none.
    };
    struct Item
    {
        Millis at;
        std::uint64_t order = 0;
        std::function<void()> action;
        bool operator<(const Item &other) const
        {
            return this->at != other.at ? this->at > other.at : this->order > other.order;
        }
    };

    void schedule(Millis delay, std::function<void()> action)
    {
        this->events.push({this->time + delay, ++this->sequence, std::move(action)});
    }

    Millis between(std::uint64_t from, std::uint64_t to)
    {
        return Millis(static_cast<std::int64_t>(from + this->random.below(to - from + 1)));
    }

    /// Delivers a message to all other daemons, possibly late or twice.
    void broadcast(std::size_t from, const std::function<void(std::size_t)> &deliver)
    {
        for (std::size_t to = 0; to < this->daemons.size(); ++to) {
            if (to != from) {
                this->sendMessage(from, to, [deliver, to] { deliver(to); });
            }
        }
    }

    void sendMessage(std::size_t from, std::size_t to, const std::function<void()> &deliver)
    {
        if (this->daemons[from].cut || this->daemons[to].cut) {
            return;
        }
        const int copies = this->random.percent(this->options.repeatedPercent) ? 2 : 1;
        for (int copy = 0; copy < copies; ++copy) {
            const bool late = this->random.percent(this->options.latePercent);
            const std::uint64_t life = this->daemons[to].life;
            this->schedule(late ? this->between(60, 1'000) : this->between(1, 60),
                           [this, to, life, deliver] {
                               if (this->daemons[to].up && this->daemons[to].life == life) {
                                   deliver();
                               }
                           });
        }
    }

    bool refuse(const Request &request)
    {
        Daemon &daemon = this->daemons[request.daemon];
        const auto suspect = convictedSuspect(daemon.evidence, request.traits);
        if (!suspect) {
            return false;
        }
        recordRefusal(daemon.evidence, *suspect, this->time);
        if (!request.bad) {
            this->oracle.sound[request.soundIndex].refused = true;
        }
        return true;
    }

    void dispatch(Request request)
    {
        Daemon &daemon = this->daemons[request.daemon];
        if (!daemon.up || this->refuse(request)) {
            return;
        }
        const std::size_t first = this->random.below(this->engines.size());
        std::size_t chosen = this->engines.size();
        for (std::size_t i = 0; i < this->engines.size(); ++i) {
            const std::size_t engine = (first + i) % this->engines.size();
            if (this->engines[engine].up) {
                chosen = engine;
                break;
            }
        }
        const bool waits
                = isUnderJudgement(daemon.evidence, this->limits, request.traits, this->time);
        if (chosen == this->engines.size() || waits) {
            this->schedule(Millis(50), [this, request] { this->dispatch(request); });
            return;
        }
        request.sentAt = this->time;
        Engine &engine = this->engines[chosen];
        engine.running[request.number] = request;
        if (request.bad) {
            this->oracle.badSends.push_back(this->time);
        } else {
            this->oracle.sound[request.soundIndex].begun = true;
        }
        const Millis duration = request.bad
                ? this->between(this->options.badAfterMs, this->options.badAfterMs + 100)
                : request.streamTime;
        this->schedule(duration, [this, chosen, run = engine.run, request] {
            Engine &ran = this->engines[chosen];
            if (ran.run != run || ran.running.count(request.number) == 0) {
                return;
            }
            if (request.bad) {
                this->oracle.badCrashes.push_back(this->time);
                this->crash(chosen);
            } else {
                ran.running.erase(request.number);
                this->complete(request);
            }
        });
    }

    void complete(const Request &request)
    {
        Daemon &daemon = this->daemons[request.daemon];
        recordCompletion(daemon.evidence, this->limits, request.traits, request.sentAt, this->time);
        this->publishSoon(request.daemon);
    }

    void crash(std::size_t index)
    {
        Engine &engine = this->engines[index];
        if (!engine.up) {
            return;
        }
        const std::uint64_t run = index * 1'000'000 + engine.run;
        ++engine.run;
        engine.up = false;
        std::map<std::size_t, ServerCrash> seen;
        for (const auto &[number, request] : engine.running) {
            ServerCrash &crash = seen[request.daemon];
            crash.serverRun = run;
            crash.at = this->time;
            // The queue of the engine and the first events are not played.
            constexpr Millis earlyTime{150};
            crash.requests.push_back(BrokenRequest{request.traits, request.sentAt,
                                                   this->time - request.sentAt < earlyTime});
        }
        engine.running.clear();
        this->schedule(this->options.restartTime,
                       [this, index] { this->engines[index].up = true; });
        for (const auto &[daemon, crash] : seen) {
            // The daemon first finds out whether the engine has really ended.
            this->schedule(this->between(2, 70), [this, daemon = daemon, crash = crash] {
                this->observe(daemon, crash);
            });
        }
    }

    void observe(std::size_t daemon, const ServerCrash &crash)
    {
        if (!this->daemons[daemon].up) {
            return;
        }
        this->apply(daemon, crash);
        const ServerCrash reported = reportableCrash(this->daemons[daemon].evidence, crash);
        this->broadcast(daemon, [this, reported](std::size_t to) { this->apply(to, reported); });
    }

    void apply(std::size_t daemon, const ServerCrash &crash)
    {
        recordCrash(this->daemons[daemon].evidence, this->limits, crash, this->time);
        this->publishSoon(daemon);
        this->judgeAfter(daemon, Millis(10));
    }

    void judgeNow(std::size_t daemon)
    {
        CrashEvidence &evidence = this->daemons[daemon].evidence;
        for (const SuspectKey &key : judge(evidence, this->limits, this->time)) {
            if (key.kind != SuspectKind::PromptPart) {
                continue;
            }
            if (this->badParts.count(key.id) == 0) {
                this->oracle.soundConvicted.insert(key.id);
            } else if (this->oracle.crashesAtConviction == 0) {
                this->oracle.crashesAtConviction = this->oracle.badCrashes.size();
            }
            this->share(daemon, key);
        }
        const auto next = nextJudgement(evidence, this->limits);
        if (next) {
            this->judgeAfter(daemon, std::max(*next - this->time, Millis(100)));
        }
    }

    /// Judges once after a delay; an earlier judgement that is scheduled replaces a later one.
    void judgeAfter(std::size_t daemon, Millis delay)
    {
        Daemon &judging = this->daemons[daemon];
        const Millis at = this->time + delay;
        if (judging.judgesAt >= this->time && judging.judgesAt <= at) {
            return;
        }
        judging.judgesAt = at;
        this->schedule(delay, [this, daemon, at, life = judging.life] {
            Daemon &due = this->daemons[daemon];
            if (due.up && due.life == life && due.judgesAt == at) {
                due.judgesAt = Millis(-1);
                this->judgeNow(daemon);
            }
        });
    }

    void share(std::size_t daemon, const SuspectKey &key)
    {
        const Suspect suspect = this->daemons[daemon].evidence.suspects.at(key);
        this->broadcast(daemon, [this, key, suspect](std::size_t to) {
            mergeSuspect(this->daemons[to].evidence, this->limits, key, suspect);
            this->publishSoon(to);
            this->judgeNow(to);
        });
    }

    void publishSoon(std::size_t daemon)
    {
        if (this->daemons[daemon].publishes) {
            return;
        }
        this->daemons[daemon].publishes = true;
        this->schedule(this->between(0, 100), [this, daemon] {
            this->daemons[daemon].publishes = false;
            if (!this->daemons[daemon].up) {
                return;
            }
            for (const auto &published :
                 completionsToPublish(this->daemons[daemon].evidence, this->limits)) {
                this->broadcast(daemon, [this, published](std::size_t to) {
                    mergeCompletions(this->daemons[to].evidence, published);
                });
            }
        });
    }

    /// Repeats what all daemons should know, each time to one other daemon of each.
    void gossip()
    {
        constexpr std::size_t mostShared = 32;
        for (std::size_t from = 0; from < this->daemons.size(); ++from) {
            if (!this->daemons[from].up || this->daemons.size() < 2) {
                continue;
            }
            const std::size_t to = (from + 1 + this->random.below(this->daemons.size() - 1))
                    % this->daemons.size();
            expireEvidence(this->daemons[from].evidence, this->limits, this->time);
            for (const SuspectKey &key :
                 suspectsToShare(this->daemons[from].evidence, mostShared)) {
                const Suspect suspect = this->daemons[from].evidence.suspects.at(key);
                this->sendMessage(from, to, [this, to, key, suspect] {
                    mergeSuspect(this->daemons[to].evidence, this->limits, key, suspect);
                    this->publishSoon(to);
                    this->judgeAfter(to, Millis(10));
                });
            }
        }
        this->schedule(Millis(500), [this] { this->gossip(); });
    }

    CrashWorldOptions options;
    CrashLimits limits;
    WorldRandom random;
    Millis time;
    std::uint64_t sequence = 0;
    std::uint64_t requests = 0;
    std::priority_queue<Item> events;
    std::vector<Daemon> daemons;
    std::vector<Engine> engines;
};

/// @brief Callers of a simulated fleet.
struct Load
{
    Millis soundInterval{50};
    Millis badInterval{500}; ///< 0 for no requests with the bad part.
    std::uint64_t soundParts = 9; ///< Different second parts of sound requests.
    /// Returns the shared parts of the bad request with a number.
    std::function<std::vector<std::uint64_t>(std::uint64_t)> badPrompt = [](std::uint64_t number) {
        return std::vector<std::uint64_t>{CrashWorld::firstPart, CrashWorld::badPart,
                                          0xd0 + number % 3};
    };
};

inline void play(CrashWorld &world, const Load &load, Millis span, std::uint64_t seed = 7)
{
    WorldRandom random(seed);
    const Millis end = world.now() + span;
    Millis nextSound = world.now();
    Millis nextBad = world.now();
    std::uint64_t number = 0;
    while (world.now() < end) {
        if (world.now() >= nextSound) {
            // Some sound requests have a part that requests with the bad part have, too.
            const std::uint64_t part = random.percent(15) ? 0xd0 + random.below(3)
                                                          : 0xc0 + random.below(load.soundParts);
            const Millis streamTime(static_cast<std::int64_t>(150 + random.below(2'000)));
            world.send(random.next() % 1'000'003, {CrashWorld::firstPart, part}, streamTime);
            nextSound += load.soundInterval;
        }
        if (load.badInterval > Millis(0) && world.now() >= nextBad) {
            world.send(random.next() % 1'000'003, load.badPrompt(++number), Millis(1'000));
            nextBad += load.badInterval;
        }
        world.advance(Millis(5));
    }
}

} // namespace balsamport::testing

#endif
