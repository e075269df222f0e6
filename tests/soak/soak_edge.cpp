/// A randomized soak of real edge daemons: faults come from outside while callers go on, and the
/// promises are checked from what callers and backend servers saw.
#include "../e2e/edge_world.h"

#include <boost/program_options.hpp>

#include <atomic>
#include <iostream>
#include <mutex>
#include <random>

using namespace balsamport;
using namespace balsamport::testing;

namespace {

namespace options = boost::program_options;

constexpr int okStatus = 200;
constexpr int notRun = 503;
constexpr Millis leaseTime{3'000};
/// Orders that arrive this soon after their sender woke are excused. Source: thaw_ms of RULES.md.
constexpr Millis thawTime{300};
constexpr Millis graceTime{8'000};
/// Time in which service must be back after the last fault. Source: recovery_s of RULES.md.
constexpr Millis recoveryTime{12'000};
constexpr std::size_t edgeCount = 4;
constexpr int callerThreads = 6;

/// One request that a caller sent.
struct Sent
{
    std::string id;
    std::string path;
    std::size_t edge = 0;
    Millis at;
    Millis endedAt;
    CallerView view;
};

struct Span
{
    std::size_t edge = 0;
    Millis from;
    Millis to;
};

/// What was done to the daemons, for the checks.
struct Record
{
    std::mutex mutex;
    std::vector<Sent> sent;
    std::vector<Span> stops; ///< From a SIGTERM until the process was gone.
    std::vector<Span> unplanned; ///< Faults that may cut requests.
    std::vector<std::pair<std::string, Millis>> wakes;
    std::vector<std::string> violations;

    void violate(const std::string &text)
    {
        const std::lock_guard lock(this->mutex);
        this->violations.push_back(text);
    }
};

void runCaller(EdgeWorld &world, Record &record, std::uint64_t seed, const std::atomic<bool> &stop)
{
    std::mt19937_64 random(seed);
    std::uint64_t number = 0;
    while (!stop) {
        const std::array<const char *, 4> paths{"/book/", "/look/", "/chat/", "/once/"};
        Sent sent;
        sent.id = "r" + std::to_string(seed) + "-" + std::to_string(++number);
        sent.path = paths[random() % paths.size()] + std::to_string(number);
        sent.edge = random() % edgeCount;
        constexpr std::uint64_t adapters = 14;
        const std::string adapter = "a" + std::to_string(random() % adapters);
        sent.at = monotonicNow();
        sent.view = world.call(sent.edge, sent.path, sent.id, adapter);
        sent.endedAt = monotonicNow();
        {
            const std::lock_guard lock(record.mutex);
            record.sent.push_back(std::move(sent));
        }
        sleepFor(Millis(static_cast<std::int64_t>(random() % 60)));
    }
}

/// Injects one fault; it ends by itself before this returns or is undone by endFaults().
class FaultInjector
{
public:
    FaultInjector(EdgeWorld &edgeWorld, Record &faultRecord, std::uint64_t seed)
        : world(edgeWorld)
        , record(faultRecord)
        , random(seed)
    { }

    void step()
    {
        const std::size_t edge = this->random() % edgeCount;
        switch (this->random() % 13) {
        case 0:
            this->pause(edge);
            break;
        case 1:
            this->kill(edge);
            break;
        case 2:
            this->stop(edge);
            break;
        case 3:
            this->world.edges[edge].process->signal(SIGHUP);
            break;
        case 4:
            this->world.store->setDown(true);
            break;
        case 5:
            this->world.store->setDown(false);
            break;
        case 6:
            this->world.store->dropHistory();
            this->world.configure(3'000 + static_cast<int>(this->random() % 3) * 500);
            break;
        case 7:
            this->disturb(*this->world.storeLink);
            break;
        case 8:
        case 9:
            this->disturbReplica();
            break;
        case 10:
            this->world.replicas.at(this->random() % 2 == 0 ? "e1" : "s1")
                    .standin->setFaults({0.1, 0.1, 0.1, 0.1});
            break;
        case 11:
            this->world.announce("s2", this->random() % 2 == 0);
            break;
        default:
            for (auto &[id, replica] : this->world.replicas) {
                replica.standin->setFaults({});
            }
        }
    }

    /// Ends all faults and has every daemon running.
    void endFaults()
    {
        this->world.store->setDown(false);
        this->world.storeLink->setMode(LinkMode::Normal);
        for (auto &[id, replica] : this->world.replicas) {
            replica.link->setMode(LinkMode::Normal);
            replica.standin->setFaults({});
            this->world.announce(id, false);
        }
        for (std::size_t i = 0; i < edgeCount; ++i) {
            this->world.edges[i].process->resume();
            if (this->world.edges[i].process->hasEnded()) {
                this->world.startEdge(i);
            }
        }
    }

private:
    void note(std::size_t edge, Millis from, std::vector<Span> &spans)
    {
        const std::lock_guard lock(this->record.mutex);
        spans.push_back(Span{edge, from, monotonicNow()});
    }

    void pause(std::size_t edge)
    {
        const Millis from = monotonicNow();
        this->world.edges[edge].process->pause();
        sleepFor(Millis(200 + static_cast<std::int64_t>(this->random() % 3'000)));
        this->world.edges[edge].process->resume();
        this->note(edge, from, this->record.unplanned);
        const std::lock_guard lock(this->record.mutex);
        this->record.wakes.emplace_back(this->world.edges[edge].name, monotonicNow());
    }

    void kill(std::size_t edge)
    {
        const Millis from = monotonicNow();
        this->world.edges[edge].process->killNow();
        (void)this->world.edges[edge].process->waitForExit(Millis(2'000));
        sleepFor(Millis(static_cast<std::int64_t>(this->random() % 800)));
        this->world.startEdge(edge);
        this->note(edge, from, this->record.unplanned);
    }

    void stop(std::size_t edge)
    {
        const Millis from = monotonicNow();
        this->world.edges[edge].process->terminate();
        const auto code = this->world.edges[edge].process->waitForExit(graceTime);
        if (code != 0) {
            this->record.violate(this->world.edges[edge].name + " did not end with 0 in time");
        }
        this->note(edge, from, this->record.stops);
        this->world.startEdge(edge);
    }

    void disturb(LinkProxy &link)
    {
        const Millis from = monotonicNow();
        const std::array<LinkMode, 5> modes{LinkMode::Delayed, LinkMode::Silent,
                                            LinkMode::SilentBack, LinkMode::Refusing,
                                            LinkMode::Normal};
        link.setMode(modes[this->random() % modes.size()]);
        if (this->random() % 3 == 0) {
            link.resetAll();
        }
        sleepFor(Millis(300 + static_cast<std::int64_t>(this->random() % 1'500)));
        link.setMode(LinkMode::Normal);
        for (std::size_t i = 0; i < edgeCount; ++i) {
            this->note(i, from, this->record.unplanned);
        }
    }

    void disturbReplica()
    {
        const std::array<const char *, 4> ids{"e1", "e2", "s1", "s2"};
        this->disturb(*this->world.replicas.at(ids[this->random() % ids.size()]).link);
    }

    EdgeWorld &world;
    Record &record;
    std::mt19937_64 random;
};

bool mayRepeat(const std::string &path)
{
    return path.rfind("/look", 0) == 0 || path.rfind("/chat", 0) == 0;
}

void checkAnswers(const EdgeWorld &world, Record &record)
{
    const std::map<std::string, std::uint32_t> runs = world.runs();
    for (const Sent &sent : record.sent) {
        const auto found = runs.find(sent.id);
        const std::uint32_t count = found == runs.end() ? 0 : found->second;
        if (!mayRepeat(sent.path) && count > 1) {
            record.violate(sent.id + " ran " + std::to_string(count) + " times");
        }
        if (!mayRepeat(sent.path) && sent.view.status == notRun && count > 0) {
            record.violate(sent.id + " was refused although it ran");
        }
        const bool stream = sent.path.rfind("/chat", 0) == 0 || sent.path.rfind("/once", 0) == 0;
        const std::string whole = stream ? EdgeWorld::wholeStream(sent.id) : "done " + sent.id;
        if (sent.view.status == okStatus && sent.view.body != whole) {
            record.violate(sent.id + " got another answer, or not the whole one");
        }
    }
}

/// A stop cuts no request, unless something unplanned happened at about that time as well.
void checkStops(Record &record)
{
    constexpr Millis calm{4'000};
    for (const Sent &sent : record.sent) {
        if (sent.view.status != 0 || !sent.view.connected) {
            continue;
        }
        for (const Span &stop : record.stops) {
            const bool during = stop.edge == sent.edge && sent.at > stop.from
                    && sent.at < stop.from + Millis(3'000) && sent.endedAt <= stop.to + Millis(200);
            const bool excused = std::any_of(
                    record.unplanned.begin(), record.unplanned.end(), [&](const Span &fault) {
                        return fault.from < sent.endedAt && fault.to + calm > sent.at;
                    });
            if (during && !excused) {
                record.violate(sent.id + " was cut by a planned stop of edge "
                               + std::to_string(sent.edge + 1));
            }
        }
    }
}

void checkOrders(const EdgeWorld &world, Record &record)
{
    for (const auto &[id, replica] : world.replicas) {
        if (replica.standin->wasOverfilled()) {
            record.violate(id + " was ordered to hold more adapters than it can");
        }
        const std::vector<standins::SeenOrder> orders = replica.standin->orders();
        for (std::size_t i = 1; i < orders.size(); ++i) {
            const standins::SeenOrder &last = orders[i - 1];
            const standins::SeenOrder &next = orders[i];
            const bool thawed
                    = std::any_of(record.wakes.begin(), record.wakes.end(), [&](const auto &wake) {
                          return wake.first == next.holder && next.at >= wake.second - thawTime
                                  && next.at <= wake.second + thawTime;
                      });
            if (thawed || next.holder == last.holder) {
                continue;
            }
            if (next.at - last.at < leaseTime || next.fencingNumber <= last.fencingNumber) {
                record.violate(
                        fmt::format("{}: {} ordered {} ms after {}, fencing number {} after {}", id,
                                    next.holder, (next.at - last.at).count(), last.holder,
                                    next.fencingNumber, last.fencingNumber));
            }
        }
    }
}

void checkRecovery(Record &record, Millis faultsEndedAt)
{
    std::size_t asked = 0;
    std::size_t served = 0;
    for (const Sent &sent : record.sent) {
        if (sent.at > faultsEndedAt + recoveryTime) {
            ++asked;
            served += sent.view.status == okStatus ? 1 : 0;
        }
    }
    constexpr std::size_t leastServedQuarters = 3;
    constexpr std::size_t quarters = 4;
    if (asked == 0 || served * quarters < asked * leastServedQuarters) {
        record.violate(
                fmt::format("after the faults {} of {} requests were served", served, asked));
    }
}

int runSeed(std::uint64_t seed, Millis faultTime)
{
    EdgeWorld world(edgeCount);
    Record record;
    world.configure();
    world.startAll();
    constexpr Millis startTime{15'000};
    if (!eventually(startTime, [&] { return world.allReady(); })) {
        record.violate("the daemons did not become ready");
    }
    std::atomic<bool> stop{false};
    std::vector<std::thread> callers;
    for (int i = 0; i < callerThreads; ++i) {
        callers.emplace_back([&, i] {
            constexpr std::uint64_t seedsPerRun = 100;
            runCaller(world, record, seed * seedsPerRun + static_cast<std::uint64_t>(i), stop);
        });
    }
    FaultInjector faults(world, record, seed);
    const Millis end = monotonicNow() + faultTime;
    while (monotonicNow() < end) {
        faults.step();
        constexpr std::int64_t longestGap = 900;
        sleepFor(Millis(static_cast<std::int64_t>(seed % longestGap) + 100));
    }
    faults.endFaults();
    const Millis faultsEndedAt = monotonicNow();
    sleepFor(recoveryTime + Millis(3'000));
    stop = true;
    for (std::thread &caller : callers) {
        caller.join();
    }
    for (const EdgeWorld::Edge &edge : world.edges) {
        if (edge.process->hasEnded()) {
            record.violate(edge.name + " ended by itself");
        }
    }
    checkAnswers(world, record);
    checkStops(record);
    checkOrders(world, record);
    checkRecovery(record, faultsEndedAt);
    std::size_t served = 0;
    for (const Sent &sent : record.sent) {
        served += sent.view.status == okStatus ? 1 : 0;
    }
    std::cout << "seed " << seed << ": " << record.sent.size() << " requests, " << served
              << " served, " << record.violations.size() << " violations\n";
    for (const std::string &violation : record.violations) {
        std::cout << "  " << violation << '\n';
    }
    if (!record.violations.empty()) {
        const auto kept = std::filesystem::temp_directory_path()
                / ("balsamport-soak-" + std::to_string(seed));
        std::error_code ignored;
        std::filesystem::copy(world.folder.path(), kept,
                              std::filesystem::copy_options::recursive
                                      | std::filesystem::copy_options::overwrite_existing,
                              ignored);
        std::cout << "  logs: " << kept.string() << '\n';
    }
    std::cout.flush();
    return record.violations.empty() ? 0 : 1;
}

} // namespace

int main(int argc, char **argv)
{
    options::options_description described("soak-edge: faults against real edge daemons");
    described.add_options()("help", "this text")(
            "seed", options::value<std::vector<std::uint64_t>>()->multitoken(),
            "seeds to run; by default one from the clock")(
            "seconds", options::value<std::int64_t>()->default_value(20),
            "time in which faults come, for each seed");
    options::variables_map given;
    try {
        options::store(options::parse_command_line(argc, argv, described), given);
        options::notify(given);
    } catch (const options::error &error) {
        std::cerr << "soak-edge: " << error.what() << '\n';
        return 2;
    }
    if (given.count("help") != 0) {
        std::cout << described << '\n';
        return 0;
    }
    std::vector<std::uint64_t> seeds{static_cast<std::uint64_t>(wallNow().count())};
    if (given.count("seed") != 0) {
        seeds = given["seed"].as<std::vector<std::uint64_t>>();
    }
    constexpr std::int64_t millisPerSecond = 1'000;
    int failed = 0;
    for (const std::uint64_t seed : seeds) {
        failed += runSeed(seed, Millis(given["seconds"].as<std::int64_t>() * millisPerSecond));
    }
    std::cout << seeds.size() - static_cast<std::size_t>(failed) << " passed, " << failed
              << " failed\n";
    return failed == 0 ? 0 : 1;
}
