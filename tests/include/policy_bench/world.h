#ifndef BALSAMPORT_TESTS_POLICY_BENCH_WORLD_H
#define BALSAMPORT_TESTS_POLICY_BENCH_WORLD_H

#include <balsamport/config/snapshot.h>
#include <balsamport/core/clock.h>

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <functional>
#include <queue>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

/// @file
/// The environment of the policy bench: simulated time, a trace of requests, a fake weight store
/// and link, and fake engines that only count running requests. It makes no decisions of its own.

namespace balsamport::bench {

/// @brief Events in simulated time. Events of the same time run in the order of their creation.
class Clock
{
public:
    [[nodiscard]] Millis now() const noexcept { return this->time; }

    void at(Millis when, std::function<void()> action)
    {
        this->events.push({std::max(when, this->time), this->created++, std::move(action)});
    }
    void after(Millis delay, std::function<void()> action)
    {
        this->at(this->time + delay, std::move(action));
    }
    void runUntil(Millis end)
    {
        while (!this->events.empty() && this->events.top().when <= end) {
            const Event event = this->events.top();
            this->events.pop();
            this->time = event.when;
            event.action();
        }
        this->time = end;
    }

private:
    struct Event
    {
        Millis when;
        std::uint64_t order = 0;
        std::function<void()> action;

        bool operator<(const Event &other) const noexcept
        {
            return this->when != other.when ? this->when > other.when : this->order > other.order;
        }
    };
    std::priority_queue<Event> events;
    std::uint64_t created = 0;
    Millis time;
};

/// @brief The fault that occurs in a cell, in addition to its load.
enum class Fault : std::uint8_t {
    None,
    MonthEnd, ///< Ten times the traffic in the middle third of the time.
    Reshuffle, ///< The popularity is reassigned to adapters at half time.
    ColdStart, ///< One server restarts without resident adapters at half time.
    FailingLoads, ///< One load in ten fails.
    StaleReports, ///< Load reports are 3 seconds old.
};

/// @brief The two interpretations of the rate of the store together with the load time.
enum class StoreReading : std::uint8_t {
    Shared, ///< 2.4 starts per second on average, 8 loads in flight at full speed.
    Serial, ///< 2.4 starts per second, one load at a time.
};

/// @brief The parameters of one cell of the results table.
struct CellOptions
{
    double skew = 1.1;
    /// Loads needed by plain rendezvous hashing with LRU, as a share of the store's rate.
    double demand = 0.5;
    Fault fault = Fault::None;
    StoreReading reading = StoreReading::Shared;
    std::uint64_t seed = 1;
    Millis length{1'200'000};
    Millis warmUp{120'000}; ///< Requests of this time are not counted.
};

namespace sizes {
constexpr std::uint32_t dataCentres = 3;
constexpr std::uint32_t serversPerDataCentre = 3;
constexpr std::uint32_t servers = dataCentres * serversPerDataCentre;
constexpr std::uint32_t vms = 8;
constexpr std::uint32_t adapters = 3'000;
constexpr std::uint32_t slots = 8;
constexpr std::uint32_t batchWidth = 16;
constexpr Millis tokenTime{30};
constexpr std::uint32_t minTokens = 32;
constexpr std::uint32_t maxTokens = 96;
constexpr Millis requestDeadline{30'000};
constexpr Millis loadTime{250};
constexpr std::uint64_t adapterBytes = 1'000'000; ///< The link transfers one adapter in 250 ms.
constexpr std::uint64_t linkBytesPerSecond = 4'000'000; ///< 32 Mbit/s in each direction.
constexpr std::uint32_t promptBytes = 2'000;
constexpr std::uint64_t bytesPerToken = 200;
constexpr Millis linkRoundTrip{60};
constexpr double loadsPerSecond = 2.4;
constexpr std::uint32_t storeInFlight = 8;
constexpr int monthEndFactor = 10;
} // namespace sizes

/// @brief One request of the trace.
struct Arrival
{
    Millis at;
    std::uint32_t dataCentre = 0;
    std::uint32_t adapter = 0;
    std::uint32_t tokens = 0;
};

/// @return the data centre of a server; the last one is across the link
[[nodiscard]] inline std::uint32_t dataCentreOf(std::uint32_t server) noexcept
{
    return server / sizes::serversPerDataCentre;
}

/// @return whether a data centre is in the region without the weight store
[[nodiscard]] inline bool isAcross(std::uint32_t dataCentre) noexcept
{
    return dataCentre + 1 == sizes::dataCentres;
}

/// @brief Returns the limits of the store for an interpretation.
[[nodiscard]] inline LimitsConfig limitsFor(StoreReading reading)
{
    LimitsConfig limits;
    limits.storeInFlight = reading == StoreReading::Serial ? 1 : sizes::storeInFlight;
    return limits;
}

/// @brief The weight store, which counts loads beyond its limits, and the link that some loads
/// cross.
class Store
{
public:
    Store(Clock &clock, const CellOptions &options)
        : clock(clock)
        , limits(limitsFor(options.reading))
        , credit(this->limits.storeInFlight)
        , failPercent(options.fault == Fault::FailingLoads ? 10 : 0)
        , random(options.seed * 7919 + 1)
    { }

    /// @brief Starts a load; `done` is called with whether it succeeded.
    void load(std::uint32_t server, std::function<void(bool)> done)
    {
        this->checkRate();
        ++this->started;
        ++this->inFlight;
        this->exceeded += this->inFlight > this->limits.storeInFlight ? 1 : 0;
        Millis time = sizes::loadTime;
        if (this->inFlight > sizes::storeInFlight) {
            time = time * this->inFlight / sizes::storeInFlight;
        }
        if (isAcross(dataCentreOf(server))) {
            time = std::max(time, this->cross(sizes::adapterBytes));
        }
        const bool succeeds = this->random() % 100 >= this->failPercent;
        this->clock.after(time, [this, succeeds, done = std::move(done)] {
            --this->inFlight;
            done(succeeds);
        });
    }

    /// @brief Sends bytes across the link.
    /// @return the time until the last byte has arrived
    Millis cross(std::uint64_t bytes)
    {
        this->linkBytes += bytes;
        const Millis now = this->clock.now();
        const auto time = static_cast<std::int64_t>(bytes * 1'000 / sizes::linkBytesPerSecond);
        this->linkBusyUntil = std::max(this->linkBusyUntil, now) + Millis(time);
        return this->linkBusyUntil - now;
    }

    /// @return whether a load may start within the limits; for the baselines, whose admission is
    /// perfect
    [[nodiscard]] bool mayStart()
    {
        this->refill();
        return this->credit >= 1 && this->inFlight < this->limits.storeInFlight;
    }

    std::uint64_t started = 0;
    std::uint64_t linkBytes = 0;
    std::uint64_t exceeded = 0; ///< Starts above the rate or the limit of loads in flight.
    std::uint32_t inFlight = 0;

private:
    void refill()
    {
        const Millis now = this->clock.now();
        const auto elapsed = static_cast<double>((now - this->creditAt).count());
        this->creditAt = now;
        this->credit = std::min<double>(this->limits.storeInFlight,
                                        this->credit + elapsed * sizes::loadsPerSecond / 1'000);
    }
    void checkRate()
    {
        constexpr double rounding = 0.01;
        this->refill();
        this->credit -= 1;
        this->exceeded += this->credit < -rounding ? 1 : 0;
    }

    Clock &clock;
    LimitsConfig limits;
    double credit;
    Millis creditAt;
    Millis linkBusyUntil;
    std::uint64_t failPercent;
    std::mt19937_64 random;
};

/// @brief The result of one policy in one cell.
struct CellResult
{
    /// In milliseconds; a refused request counts with its deadline.
    std::vector<std::int64_t> stalls;
    double busyTime = 0; ///< Milliseconds with any request running, summed over servers.
    double runTime = 0; ///< Milliseconds of running, summed over requests.
    std::uint64_t requests = 0;
    std::uint64_t refused = 0; ///< Refused on admission.
    std::uint64_t missed = 0; ///< Timed out while waiting, or ended after the deadline.
    std::uint64_t loads = 0;
    std::uint64_t linkBytes = 0;
    std::uint64_t storeExceeded = 0;
    std::uint64_t pinnedEvictions = 0;

    [[nodiscard]] std::int64_t stall(double quantile)
    {
        if (this->stalls.empty()) {
            return 0;
        }
        const auto index
                = static_cast<std::size_t>(quantile * static_cast<double>(this->stalls.size() - 1));
        const auto at = this->stalls.begin() + static_cast<std::ptrdiff_t>(index);
        std::nth_element(this->stalls.begin(), at, this->stalls.end());
        return *at;
    }
    [[nodiscard]] double fill() const noexcept
    {
        return this->busyTime == 0 ? 0 : this->runTime / (this->busyTime * sizes::batchWidth);
    }
};

/// @brief A fake engine: its resident adapters and running requests.
class Engine
{
public:
    Engine(Clock &clock, CellResult &result, Millis countFrom)
        : clock(clock)
        , result(result)
        , countFrom(countFrom)
    { }

    /// @brief Runs a request; `done` is called at its end.
    void run(std::uint32_t adapter, std::uint32_t tokens, std::function<void()> done)
    {
        this->account();
        ++this->running;
        ++this->runningAdapters[adapter];
        this->clock.after(sizes::tokenTime * tokens, [this, adapter, done = std::move(done)] {
            this->account();
            --this->running;
            if (--this->runningAdapters[adapter] == 0) {
                this->runningAdapters.erase(adapter);
            }
            done();
        });
    }

    /// @brief Unloads an adapter. An adapter with running requests is counted as a violation.
    void unload(std::uint32_t adapter)
    {
        this->result.pinnedEvictions += this->runningAdapters.contains(adapter) ? 1 : 0;
        std::erase(this->resident, adapter);
    }

    void account()
    {
        const Millis now = this->clock.now();
        const Millis from = std::max(this->accountedAt, this->countFrom);
        if (now > from && this->running > 0) {
            const auto elapsed = static_cast<double>((now - from).count());
            this->result.busyTime += elapsed;
            this->result.runTime += elapsed * this->running;
        }
        this->accountedAt = now;
    }

    std::vector<std::uint32_t> resident;
    std::uint32_t running = 0;
    std::unordered_map<std::uint32_t, std::uint32_t> runningAdapters;
    std::uint32_t start = 1; ///< Increases with each restart.

private:
    Clock &clock;
    CellResult &result;
    Millis countFrom;
    Millis accountedAt;
};

/// @brief Draws adapters by Zipf's law, with random ranks.
class Popularity
{
public:
    Popularity(double skew, std::mt19937_64 &random)
        : ranked(sizes::adapters)
    {
        double sum = 0;
        for (std::uint32_t i = 0; i < sizes::adapters; ++i) {
            this->ranked[i] = i;
            sum += std::pow(i + 1.0, -skew);
            this->cumulative.push_back(sum);
        }
        this->shuffle(random);
    }
    void shuffle(std::mt19937_64 &random)
    {
        for (std::size_t i = this->ranked.size() - 1; i > 0; --i) {
            std::swap(this->ranked[i], this->ranked[random() % (i + 1)]);
        }
    }
    [[nodiscard]] std::uint32_t draw(std::mt19937_64 &random) const
    {
        const double at = static_cast<double>(random() >> 11U) * 0x1p-53 * this->cumulative.back();
        const auto found = std::lower_bound(this->cumulative.begin(), this->cumulative.end(), at);
        return this->ranked[static_cast<std::size_t>(found - this->cumulative.begin())];
    }

private:
    std::vector<std::uint32_t> ranked;
    std::vector<double> cumulative;
};

/// @return the name of an adapter of the trace
[[nodiscard]] inline AdapterRef adapterName(std::uint32_t adapter)
{
    return {BaseModelId("base"), AdapterId("adapter-" + std::to_string(adapter)),
            AdapterVersion(1)};
}

/// @return the name of a server; the ids sort like the indices
[[nodiscard]] inline BackendServerId serverName(std::uint32_t server)
{
    return BackendServerId("engine-" + std::to_string(server));
}

} // namespace balsamport::bench

#endif
