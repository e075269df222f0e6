#ifndef BALSAMPORT_TESTS_RATE_LIMIT_WORLD_H
#define BALSAMPORT_TESTS_RATE_LIMIT_WORLD_H

#include <balsamport/edge/peers.h>
#include <balsamport/policy/fleet_rate_limit.h>

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace balsamport::testing {

/// @brief A request as the server received it. What the oracle knows.
struct Arrival
{
    Millis at;
    double statedLimit = 0; ///< Stated in the response; negative for none.
};

/// @brief Judges the requests that a server with a limit received, from their times alone.
struct RateLimitOracle
{
    std::vector<Arrival> arrivals;

    static constexpr Millis window{4'000};
    /// A higher limit that was stated this long before a window still counts in it.
    static constexpr Millis noticeTime{600};

    /// @brief Returns the largest excess over the users' bound, one and a half times the limit and
    /// five requests, of all windows that begin at or after a time. Negative if all hold it.
    [[nodiscard]] double worstExcess(Millis from) const
    {
        constexpr double tolerance = 1.5;
        constexpr double slack = 5;
        double worst = -slack;
        for (std::size_t first = 0; first < this->arrivals.size(); ++first) {
            const Millis begin = this->arrivals[first].at;
            if (begin < from) {
                continue;
            }
            double limit = 0;
            bool limited = true;
            double count = 0;
            for (std::size_t i = 0; i < this->arrivals.size(); ++i) {
                const Arrival &arrival = this->arrivals[i];
                if (arrival.at > begin + window) {
                    break;
                }
                if (arrival.at >= begin - noticeTime) {
                    limited = limited && arrival.statedLimit >= 0;
                    limit = std::max(limit, arrival.statedLimit);
                }
                count += arrival.at >= begin ? 1 : 0;
            }
            if (limited) {
                const double seconds = static_cast<double>(window.count()) / 1000.0;
                worst = std::max(worst, count - (tolerance * limit * seconds + slack));
            }
        }
        return worst;
    }

    [[nodiscard]] std::size_t countBetween(Millis from, Millis to) const
    {
        return static_cast<std::size_t>(std::count_if(
                this->arrivals.begin(), this->arrivals.end(),
                [&](const Arrival &arrival) { return arrival.at >= from && arrival.at < to; }));
    }
};

/// @brief Daemons that send requests to one server, in virtual time. Daemons keep their views of
/// each other by gossip; requests, permits and gossip take time, and are lost to daemons that are
/// dead, frozen or cut off.
class RateLimitWorld
{
public:
    struct Options
    {
        std::size_t daemons = 8;
        std::size_t dataCentres = 3; ///< The server stands in the first one.
        double requestsPerSecond = 60; ///< Of all daemons.
        std::uint64_t seed = 1;
        bool everyDaemonAlone = false; ///< Each daemon issues its own permits: a seeded defect.
    };

    explicit RateLimitWorld(const Options &worldOptions)
        : options(worldOptions)
        , random(worldOptions.seed)
    {
        for (std::size_t i = 0; i < this->options.daemons; ++i) {
            Daemon daemon;
            daemon.vm = VmId("vm-" + std::to_string(i));
            daemon.dataCentre = i % this->options.dataCentres;
            this->daemons.push_back(daemon);
        }
        for (std::size_t i = 0; i < this->daemons.size(); ++i) {
            this->start(i);
            // All have known each other for long.
            this->daemons[i].group.changedAt = Millis(-60'000);
            for (std::size_t other = 0; other < this->daemons.size(); ++other) {
                this->daemons[i].lastSeen[other] = Millis(0);
            }
            this->refreshGroup(i);
            this->daemons[i].group.changedAt = Millis(-60'000);
        }
        this->scheduleRequest();
    }

    ~RateLimitWorld() = default;
    RateLimitWorld(const RateLimitWorld &) = delete; // Events refer to it.
    RateLimitWorld &operator=(const RateLimitWorld &) = delete;

    /// @brief Plays until a time.
    void run(Millis until)
    {
        while (!this->events.empty() && this->events.top().at <= until) {
            const Event event = this->events.top();
            this->events.pop();
            this->now = event.at;
            event.task();
        }
        this->now = until;
    }

    /// @brief Sets the limit that the server states; negative for none.
    void setLimit(double perSecond) { this->limit = perSecond; }

    void kill(std::size_t daemon) { this->daemons[daemon].running = false; }
    /// @brief Starts a daemon that knows nothing.
    void start(std::size_t index)
    {
        Daemon &daemon = this->daemons[index];
        const bool wasRunning = daemon.running;
        daemon.running = true;
        daemon.frozen = false;
        daemon.known = KnownRateLimit();
        daemon.bucket = PermitBucket();
        daemon.lastSeen.clear();
        daemon.group = PermitGroup{{}, this->now};
        daemon.heldUntil = Millis(-1);
        if (!wasRunning) {
            ++daemon.generation;
            this->gossip(index, daemon.generation);
        }
    }
    /// @brief Freezes a daemon: it does nothing, and messages to it wait.
    void freeze(std::size_t daemon) { this->daemons[daemon].frozen = true; }
    void thaw(std::size_t index)
    {
        Daemon &daemon = this->daemons[index];
        daemon.frozen = false;
        // What the pause detector of a daemon does.
        daemon.bucket = PermitBucket();
        daemon.group.changedAt = this->now;
        for (const std::function<void()> &task : daemon.postponed) {
            this->after(Millis(0), task);
        }
        daemon.postponed.clear();
    }
    /// @brief Cuts daemons off from the others, but not from the server.
    void cut(const std::set<std::size_t> &side) { this->cutOff = side; }
    void heal() { this->cutOff.clear(); }

    /// @brief Loses all that a daemon sends to the others, or ends that. The others' messages
    /// arrive.
    void mute(std::size_t daemon, bool lost) { this->daemons[daemon].muted = lost; }

    /// @brief Adds requests of one daemon at the present time.
    void burst(std::size_t daemon, std::size_t count)
    {
        for (std::size_t i = 0; i < count; ++i) {
            this->request(daemon, 0);
        }
    }

    /// @return the index of the daemon that issues the permits in its own view
    [[nodiscard]] std::size_t issuer() const
    {
        for (std::size_t i = 0; i < this->daemons.size(); ++i) {
            const Daemon &daemon = this->daemons[i];
            if (daemon.running && daemon.dataCentre == 0
                && permitIssuer(daemon.group, serverName) == daemon.vm) {
                return i;
            }
        }
        return 0;
    }

    /// @return whether all running daemons know the limit that the server states
    [[nodiscard]] bool allKnowLimit() const
    {
        return std::all_of(this->daemons.begin(), this->daemons.end(),
                           [this](const Daemon &daemon) {
                               return !daemon.running || daemon.frozen
                                       || daemon.known.perSecond
                                       == (this->limit < 0 ? std::nullopt
                                                           : std::optional<double>(this->limit));
                           });
    }

    RateLimitOracle oracle;
    Millis now{0};
    std::size_t withheld = 0; ///< Requests that went to another server or were refused.

private:
    struct Daemon
    {
        VmId vm;
        std::size_t dataCentre = 0;
        bool running = false;
        bool frozen = false;
        bool muted = false;
        std::uint64_t generation = 0;
        KnownRateLimit known;
        PermitBucket bucket;
        PermitGroup group;
        std::map<std::size_t, Millis> lastSeen;
        Millis heldUntil{-1}; ///< No permit is requested before.
        std::vector<std::function<void()>> postponed; ///< Messages that arrived while frozen.
    };
    struct Event
    {
        Millis at;
        std::uint64_t number = 0;
        std::function<void()> task;
        bool operator<(const Event &other) const
        {
            return this->at != other.at ? this->at > other.at : this->number > other.number;
        }
    };
    static constexpr const char *serverName = "s1";

    void after(Millis delay, std::function<void()> task)
    {
        this->events.push(Event{this->now + delay, this->nextEvent++, std::move(task)});
    }

    [[nodiscard]] double uniform() { return std::uniform_real_distribution<>(0, 1)(this->random); }

    /// @return a one-way delay; 30 ms more between regions, of which the last data centre is one
    [[nodiscard]] Millis delay(std::size_t from, std::size_t to)
    {
        const bool far
                = (from == this->options.dataCentres - 1) != (to == this->options.dataCentres - 1);
        constexpr double nearMillis = 4;
        return Millis(static_cast<std::int64_t>(1 + this->uniform() * nearMillis))
                + Millis(far ? 30 : 0);
    }

    [[nodiscard]] bool connected(std::size_t a, std::size_t b) const
    {
        return this->cutOff.count(a) == this->cutOff.count(b);
    }

    /// Delivers a message of one daemon to another.
    void send(std::size_t from, std::size_t to, const std::function<void()> &handler)
    {
        if (!this->connected(from, to) || this->daemons[from].muted) {
            return;
        }
        this->after(this->delay(this->daemons[from].dataCentre, this->daemons[to].dataCentre),
                    [this, to, handler] { this->deliver(to, handler); });
    }

    void deliver(std::size_t to, const std::function<void()> &handler)
    {
        Daemon &daemon = this->daemons[to];
        if (daemon.running && daemon.frozen) {
            daemon.postponed.push_back([this, to, handler] { this->deliver(to, handler); });
        } else if (daemon.running) {
            handler();
        }
    }

    void gossip(std::size_t from, std::uint64_t generation)
    {
        const Daemon &daemon = this->daemons[from];
        if (!daemon.running || daemon.generation != generation) {
            return;
        }
        if (!daemon.frozen) {
            for (std::size_t to = 0; to < this->daemons.size(); ++to) {
                // The members of the server's data centre are those that matter.
                if (to != from && (daemon.dataCentre == 0 || this->daemons[to].dataCentre == 0)) {
                    this->send(from, to, [this, from, to, known = daemon.known] {
                        this->daemons[to].lastSeen[from] = this->now;
                        mergeRateLimit(this->daemons[to].known, known);
                    });
                }
            }
        }
        // Large data centres gossip with each member in every second round.
        const bool large = this->daemons.size() / this->options.dataCentres > 16;
        const Millis period = daemon.dataCentre == 0 && !large ? Millis(500) : Millis(1'000);
        this->after(period, [this, from, generation] { this->gossip(from, generation); });
    }

    void refreshGroup(std::size_t index)
    {
        Daemon &daemon = this->daemons[index];
        const PeerTimings timings;
        std::vector<PermitMember> members;
        for (std::size_t other = 0; other < this->daemons.size(); ++other) {
            if (this->daemons[other].dataCentre != 0) {
                continue;
            }
            if (other == index) {
                members.push_back(PermitMember{daemon.vm, true});
                continue;
            }
            const auto seen = daemon.lastSeen.find(other);
            if (seen == daemon.lastSeen.end()
                || this->now - seen->second > timings.silentPeerRetention) {
                continue;
            }
            const Millis timeout
                    = daemon.dataCentre == 0 ? timings.localPeerTimeout : timings.remotePeerTimeout;
            members.push_back(
                    PermitMember{this->daemons[other].vm, this->now - seen->second <= timeout});
        }
        updateMembers(daemon.group, std::move(members), this->now);
    }

    void scheduleRequest()
    {
        std::exponential_distribution<> gap(this->options.requestsPerSecond / 1000.0);
        this->after(Millis(static_cast<std::int64_t>(gap(this->random))), [this] {
            // The platform spreads callers unevenly: half of the requests arrive at a quarter.
            const double skewed = this->uniform() * this->uniform();
            const auto daemon
                    = static_cast<std::size_t>(skewed * static_cast<double>(this->daemons.size()));
            this->request(daemon, 0);
            this->scheduleRequest();
        });
    }

    void request(std::size_t index, int attempt)
    {
        Daemon &daemon = this->daemons[index];
        if (!daemon.running || daemon.frozen) {
            return;
        }
        if (!daemon.known.perSecond) {
            this->arrive(index, attempt);
            return;
        }
        if (this->now < daemon.heldUntil) {
            ++this->withheld;
            return;
        }
        this->refreshGroup(index);
        const std::optional<VmId> issuer = this->options.everyDaemonAlone
                ? daemon.vm
                : permitIssuer(daemon.group, serverName);
        if (!issuer) {
            ++this->withheld;
            return;
        }
        const auto target = static_cast<std::size_t>(std::stoul(issuer->str().substr(3)));
        if (target == index) {
            this->receiveDecision(index, attempt, this->decide(index));
            return;
        }
        const KnownRateLimit known = daemon.known;
        const Millis askedAt = this->now;
        this->send(index, target, [this, index, target, attempt, known, askedAt] {
            mergeRateLimit(this->daemons[target].known, known);
            const PermitDecision decision = this->decide(target);
            this->send(target, index, [this, index, attempt, decision, askedAt] {
                if (this->now - askedAt <= permitAccrualTime) {
                    this->receiveDecision(index, attempt, decision);
                }
            });
        });
    }

    [[nodiscard]] PermitDecision decide(std::size_t index)
    {
        Daemon &daemon = this->daemons[index];
        if (!daemon.known.perSecond) {
            return PermitDecision{PermitDecision::Kind::Issued, Millis(0)};
        }
        this->refreshGroup(index);
        if (this->options.everyDaemonAlone) {
            PermitGroup alone{{PermitMember{daemon.vm, true}}, Millis(-60'000)};
            return decidePermit(daemon.bucket, alone, daemon.vm, serverName,
                                *daemon.known.perSecond, this->now);
        }
        return decidePermit(daemon.bucket, daemon.group, daemon.vm, serverName,
                            *daemon.known.perSecond, this->now);
    }

    void receiveDecision(std::size_t index, int attempt, const PermitDecision &decision)
    {
        if (decision.kind == PermitDecision::Kind::Issued) {
            this->arrive(index, attempt);
            return;
        }
        ++this->withheld;
        this->daemons[index].heldUntil = this->now + decision.retryAfter;
    }

    /// Lets a request arrive at the server, which responds; one in ten is retried.
    void arrive(std::size_t index, int attempt)
    {
        const Millis way = this->delay(this->daemons[index].dataCentre, 0);
        this->after(way, [this, index, attempt, way] {
            const double stated = this->limit;
            this->oracle.arrivals.push_back(Arrival{this->now, stated});
            this->after(way + Millis(15), [this, index, attempt, stated] {
                this->deliver(index, [this, index, attempt, stated] {
                    this->receiveResponse(index, attempt, stated);
                });
            });
        });
    }

    void receiveResponse(std::size_t index, int attempt, double stated)
    {
        Daemon &daemon = this->daemons[index];
        const RateLimitReport report = stated < 0
                ? RateLimitReport{RateLimitReport::Kind::Unlimited, 0}
                : RateLimitReport{RateLimitReport::Kind::Limited, stated};
        if (applyReport(daemon.known, report, this->now)) {
            const KnownRateLimit known = daemon.known;
            for (std::size_t to = 0; to < this->daemons.size(); ++to) {
                if (to != index) {
                    this->send(index, to, [this, to, known] {
                        mergeRateLimit(this->daemons[to].known, known);
                    });
                }
            }
        }
        constexpr double failureShare = 0.1;
        if (attempt == 0 && this->uniform() < failureShare) {
            this->request(index, 1);
        }
    }

    Options options;
    std::mt19937_64 random;
    std::vector<Daemon> daemons;
    std::set<std::size_t> cutOff;
    double limit = -1;
    std::uint64_t nextEvent = 0;
    std::priority_queue<Event> events;
};

} // namespace balsamport::testing

#endif
