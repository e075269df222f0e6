#ifndef BALSAMPORT_TESTS_POLICY_BENCH_BASELINE_H
#define BALSAMPORT_TESTS_POLICY_BENCH_BASELINE_H

#include <balsamport/core/hash.h>

#include "trace.h"

#include <deque>
#include <memory>

namespace balsamport::bench {

/// @brief The way a baseline chooses a server. All baselines evict the least recently used adapter
/// without running requests, and share a perfect central admission control of the weight store.
enum class Baseline : std::uint8_t {
    Random,
    LeastLoaded,
    Rendezvous,
};

/// @return the server that rendezvous hashing chooses for an adapter
[[nodiscard]] inline std::uint32_t rendezvousServer(std::uint32_t adapter)
{
    const std::uint64_t hash = hashOf(adapterName(adapter));
    std::uint32_t best = 0;
    std::uint64_t bestScore = 0;
    for (std::uint32_t i = 0; i < sizes::servers; ++i) {
        const std::uint64_t score = rendezvousScore(hash, hash64(serverName(i).str()));
        if (score >= bestScore) {
            best = i;
            bestScore = score;
        }
    }
    return best;
}

/// @brief A fleet with the policy of one baseline.
class BaselineFleet
{
public:
    BaselineFleet(Baseline kind, const CellOptions &options)
        : kind(kind)
        , options(options)
        , store(this->clock, options)
        , random(options.seed + 17)
    {
        for (std::uint32_t i = 0; i < sizes::servers; ++i) {
            this->servers.push_back(
                    std::make_unique<Server>(this->clock, this->result, options.warmUp));
        }
        for (std::uint32_t adapter = 0; adapter < sizes::adapters; ++adapter) {
            this->preferred.push_back(rendezvousServer(adapter));
        }
    }

    CellResult run(const std::vector<Arrival> &trace)
    {
        for (const Arrival &arrival : trace) {
            this->clock.at(arrival.at, [this, &arrival] { this->admit(arrival); });
        }
        if (this->options.fault == Fault::ColdStart) {
            this->clock.at(this->options.length / 2, [this] { this->restart(0); });
        }
        this->clock.runUntil(this->options.length + sizes::requestDeadline * 2);
        this->result.loads = this->store.started;
        this->result.linkBytes = this->store.linkBytes;
        this->result.storeExceeded = this->store.exceeded;
        return std::move(this->result);
    }

private:
    struct Waiting
    {
        const Arrival *arrival = nullptr;
        bool adapterMissing = false; ///< On arrival.
    };
    struct Resident
    {
        std::uint32_t adapter = 0;
        Millis usedAt;
        bool loading = false;
    };
    struct Server
    {
        Server(Clock &clock, CellResult &result, Millis countFrom)
            : engine(clock, result, countFrom)
        { }
        Engine engine;
        std::vector<Resident> slots;
        std::deque<Waiting> waiting;
    };

    void admit(const Arrival &arrival)
    {
        const std::uint32_t index = this->choose(arrival);
        Server &server = *this->servers[index];
        if (isAcross(dataCentreOf(index)) != isAcross(arrival.dataCentre)) {
            this->store.cross(sizes::promptBytes + arrival.tokens * sizes::bytesPerToken);
        }
        server.waiting.push_back({&arrival, !this->holds(server, arrival.adapter)});
        this->clock.after(sizes::requestDeadline, [this] { this->schedule(); });
        this->schedule();
    }

    std::uint32_t choose(const Arrival &arrival)
    {
        if (this->kind == Baseline::Random) {
            return static_cast<std::uint32_t>(this->random() % sizes::servers);
        }
        if (this->kind == Baseline::Rendezvous) {
            return this->preferred[arrival.adapter];
        }
        std::uint32_t best = static_cast<std::uint32_t>(this->random() % sizes::servers);
        for (std::uint32_t i = 0; i < sizes::servers; ++i) {
            if (this->loadOf(i) < this->loadOf(best)) {
                best = i;
            }
        }
        return best;
    }

    [[nodiscard]] std::size_t loadOf(std::uint32_t index) const
    {
        const Server &server = *this->servers[index];
        return server.engine.running + server.waiting.size();
    }

    static Resident *find(Server &server, std::uint32_t adapter)
    {
        const auto found = std::find_if(server.slots.begin(), server.slots.end(),
                                        [adapter](const auto &s) { return s.adapter == adapter; });
        return found == server.slots.end() ? nullptr : &*found;
    }

    static bool holds(Server &server, std::uint32_t adapter)
    {
        const Resident *slot = find(server, adapter);
        return slot != nullptr && !slot->loading;
    }

    /// Starts the waiting requests that can run, and the loads of the oldest ones that cannot.
    void schedule()
    {
        for (std::uint32_t i = 0; i < sizes::servers; ++i) {
            this->startWaiting(*this->servers[i]);
        }
        // The store admits the load of the oldest request first.
        while (this->store.mayStart() && this->loadForOldest()) { }
        const bool anyWaiting
                = std::any_of(this->servers.begin(), this->servers.end(),
                              [](const auto &server) { return !server->waiting.empty(); });
        if (anyWaiting && !this->pollPlanned) {
            this->pollPlanned = true;
            constexpr Millis pollInterval{10};
            this->clock.after(pollInterval, [this] {
                this->pollPlanned = false;
                this->schedule();
            });
        }
    }

    void startWaiting(Server &server)
    {
        const Millis now = this->clock.now();
        std::erase_if(server.waiting, [this, &server, now](const Waiting &waiting) {
            const Arrival &arrival = *waiting.arrival;
            if (now - arrival.at >= sizes::requestDeadline) {
                recordRefusal(this->result, this->options, arrival, true);
                return true;
            }
            Resident *slot = find(server, arrival.adapter);
            if (slot == nullptr || slot->loading || server.engine.running >= sizes::batchWidth) {
                return false;
            }
            slot->usedAt = now;
            const Millis stall = waiting.adapterMissing ? now - arrival.at : Millis(0);
            recordStart(this->result, this->options, arrival, stall, now);
            server.engine.run(arrival.adapter, arrival.tokens, [this] { this->schedule(); });
            return true;
        });
    }

    bool loadForOldest()
    {
        const Waiting *oldest = nullptr;
        std::uint32_t oldestServer = 0;
        for (std::uint32_t i = 0; i < sizes::servers; ++i) {
            Server &server = *this->servers[i];
            for (const Waiting &waiting : server.waiting) {
                if (oldest != nullptr && waiting.arrival->at >= oldest->arrival->at) {
                    break;
                }
                if (find(server, waiting.arrival->adapter) == nullptr
                    && this->hasUsableSlot(server)) {
                    oldest = &waiting;
                    oldestServer = i;
                    break;
                }
            }
        }
        if (oldest == nullptr) {
            return false;
        }
        this->startLoad(oldestServer, oldest->arrival->adapter);
        return true;
    }

    [[nodiscard]] static Resident *evictionCandidate(Server &server)
    {
        Resident *best = nullptr;
        for (Resident &slot : server.slots) {
            const bool running = server.engine.runningAdapters.contains(slot.adapter);
            if (!slot.loading && !running && (best == nullptr || slot.usedAt < best->usedAt)) {
                best = &slot;
            }
        }
        return best;
    }

    [[nodiscard]] bool hasUsableSlot(Server &server)
    {
        return server.slots.size() < sizes::slots || evictionCandidate(server) != nullptr;
    }

    void startLoad(std::uint32_t index, std::uint32_t adapter)
    {
        Server &server = *this->servers[index];
        if (server.slots.size() >= sizes::slots) {
            Resident *evicted = evictionCandidate(server);
            server.engine.unload(evicted->adapter);
            server.slots.erase(server.slots.begin() + (evicted - server.slots.data()));
        }
        server.slots.push_back({adapter, this->clock.now(), true});
        this->store.load(index, [this, &server, adapter](bool succeeded) {
            Resident *slot = find(server, adapter);
            if (slot != nullptr && succeeded) {
                slot->loading = false;
                slot->usedAt = this->clock.now();
            } else if (slot != nullptr) {
                server.slots.erase(server.slots.begin() + (slot - server.slots.data()));
            }
            this->schedule();
        });
    }

    void restart(std::uint32_t index)
    {
        std::erase_if(this->servers[index]->slots, [](const Resident &s) { return !s.loading; });
    }

    Baseline kind;
    CellOptions options;
    Clock clock;
    CellResult result;
    Store store;
    std::vector<std::unique_ptr<Server>> servers;
    std::vector<std::uint32_t> preferred;
    std::mt19937_64 random;
    bool pollPlanned = false;
};

} // namespace balsamport::bench

#endif
