/// A randomized soak test of real edge daemons: faults are injected from outside while callers send
/// requests, and the guarantees are checked from the records of callers and backend servers.
#include "../e2e/edge_world.h"
#include "../e2e/rate_limit_check.h"

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
constexpr Millis leaseDuration{3'000};
/// Commands that arrive within this time after their sender resumed from a pause are exempt.
/// Source: thaw_ms of RULES.md.
constexpr Millis resumeTolerance{300};
/// Time within which a daemon ends after a SIGTERM.
constexpr Millis shutdownTimeout{8'000};
/// Time within which service must recover after the last fault. Source: recovery_s of RULES.md.
constexpr Millis recoveryTime{12'000};
constexpr std::size_t edgeCount = 4;
constexpr int callerThreads = 6;

/// One request of a caller and its response.
struct SentRequest
{
    std::string id;
    std::string path;
    std::size_t edge = 0;
    Millis at;
    Millis endedAt;
    CallerResponse response;
};

struct Span
{
    std::size_t edge = 0;
    Millis from;
    Millis to;
};

/// The requests sent and the faults injected, for the checks.
struct Record
{
    std::mutex mutex;
    std::vector<SentRequest> sent;
    std::vector<Span> stops; ///< From a SIGTERM to the end of the process.
    std::vector<Span> unplanned; ///< Faults that may abort requests.
    std::vector<std::pair<std::string, Millis>> resumes; ///< Ends of process pauses.
    std::vector<std::string> violations;

    void addViolation(const std::string &text)
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
        SentRequest sent;
        sent.id = "r" + std::to_string(seed) + "-" + std::to_string(++number);
        sent.path = paths[random() % paths.size()] + std::to_string(number);
        sent.edge = random() % edgeCount;
        constexpr std::uint64_t adapters = 14;
        const std::string adapter = "a" + std::to_string(random() % adapters);
        sent.at = monotonicNow();
        sent.response = world.call(sent.edge, sent.path, sent.id, adapter);
        sent.endedAt = monotonicNow();
        {
            const std::lock_guard lock(record.mutex);
            record.sent.push_back(std::move(sent));
        }
        sleepFor(Millis(static_cast<std::int64_t>(random() % 60)));
    }
}

/// Injects random faults. Each ends before step() returns or is undone by endFaults().
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
            this->world.publishConfig(3'000 + static_cast<int>(this->random() % 3) * 500);
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
            this->world.publishServer("s2", this->random() % 2 == 0);
            break;
        default:
            for (auto &[id, replica] : this->world.replicas) {
                replica.standin->setFaults({});
            }
        }
    }

    /// Ends all faults and starts the daemons that have ended.
    void endFaults()
    {
        this->world.store->setDown(false);
        this->world.storeLink->setMode(LinkMode::Normal);
        for (auto &[id, replica] : this->world.replicas) {
            replica.link->setMode(LinkMode::Normal);
            replica.standin->setFaults({});
            this->world.publishServer(id, false);
        }
        for (std::size_t i = 0; i < edgeCount; ++i) {
            this->world.edges[i].process->resume();
            if (this->world.edges[i].process->hasEnded()) {
                this->world.startEdge(i);
            }
        }
    }

private:
    void recordSpan(std::size_t edge, Millis from, std::vector<Span> &spans)
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
        this->recordSpan(edge, from, this->record.unplanned);
        const std::lock_guard lock(this->record.mutex);
        this->record.resumes.emplace_back(this->world.edges[edge].name, monotonicNow());
    }

    void kill(std::size_t edge)
    {
        const Millis from = monotonicNow();
        this->world.edges[edge].process->killNow();
        (void)this->world.edges[edge].process->waitForExit(Millis(2'000));
        sleepFor(Millis(static_cast<std::int64_t>(this->random() % 800)));
        this->world.startEdge(edge);
        this->recordSpan(edge, from, this->record.unplanned);
    }

    void stop(std::size_t edge)
    {
        const Millis from = monotonicNow();
        this->world.edges[edge].process->terminate();
        const auto code = this->world.edges[edge].process->waitForExit(shutdownTimeout);
        if (code != 0) {
            this->record.addViolation(this->world.edges[edge].name + " did not end with 0 in time");
        }
        this->recordSpan(edge, from, this->record.stops);
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
            this->recordSpan(i, from, this->record.unplanned);
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

void checkResponses(const EdgeWorld &world, Record &record)
{
    const std::map<std::string, std::uint32_t> runs = world.runs();
    for (const SentRequest &sent : record.sent) {
        const auto found = runs.find(sent.id);
        const std::uint32_t count = found == runs.end() ? 0 : found->second;
        if (!mayRepeat(sent.path) && count > 1) {
            record.addViolation(sent.id + " ran " + std::to_string(count) + " times");
        }
        if (!mayRepeat(sent.path) && sent.response.status == notRun && count > 0) {
            record.addViolation(sent.id + " was refused although it ran");
        }
        const bool stream = sent.path.rfind("/chat", 0) == 0 || sent.path.rfind("/once", 0) == 0;
        const std::string expected
                = stream ? EdgeWorld::completeStream(sent.id) : "done " + sent.id;
        if (sent.response.status == okStatus && sent.response.body != expected) {
            record.addViolation(sent.id + " got a wrong or incomplete response");
        }
    }
}

/// A planned stop aborts no request, unless another fault occurred at about the same time.
void checkStops(Record &record)
{
    constexpr Millis faultAftermath{4'000};
    for (const SentRequest &sent : record.sent) {
        if (sent.response.status != 0 || !sent.response.connected) {
            continue;
        }
        for (const Span &stop : record.stops) {
            const bool during = stop.edge == sent.edge && sent.at > stop.from
                    && sent.at < stop.from + Millis(3'000) && sent.endedAt <= stop.to + Millis(200);
            const bool exempt = std::any_of(
                    record.unplanned.begin(), record.unplanned.end(), [&](const Span &fault) {
                        return fault.from < sent.endedAt && fault.to + faultAftermath > sent.at;
                    });
            if (during && !exempt) {
                record.addViolation(sent.id + " was aborted by a planned stop of edge "
                                    + std::to_string(sent.edge + 1));
            }
        }
    }
}

void checkCommands(const EdgeWorld &world, Record &record)
{
    for (const auto &[id, replica] : world.replicas) {
        if (replica.standin->wasOverfilled()) {
            record.addViolation(id + " got commands for more adapters than it has slots");
        }
        const std::vector<standins::ReceivedCommand> commands = replica.standin->commands();
        for (std::size_t i = 1; i < commands.size(); ++i) {
            const standins::ReceivedCommand &last = commands[i - 1];
            const standins::ReceivedCommand &next = commands[i];
            const bool justResumed = std::any_of(
                    record.resumes.begin(), record.resumes.end(), [&](const auto &resume) {
                        return resume.first == next.holder
                                && next.at >= resume.second - resumeTolerance
                                && next.at <= resume.second + resumeTolerance;
                    });
            if (justResumed || next.holder == last.holder) {
                continue;
            }
            if (next.at - last.at < leaseDuration || next.fencingNumber <= last.fencingNumber) {
                record.addViolation(fmt::format(
                        "{}: {} sent a command {} ms after {}, fencing number {} after {}", id,
                        next.holder, (next.at - last.at).count(), last.holder, next.fencingNumber,
                        last.fencingNumber));
            }
        }
    }
}

void checkRecovery(Record &record, Millis faultsEndedAt)
{
    std::size_t sentCount = 0;
    std::size_t served = 0;
    for (const SentRequest &sent : record.sent) {
        if (sent.at > faultsEndedAt + recoveryTime) {
            ++sentCount;
            served += sent.response.status == okStatus ? 1 : 0;
        }
    }
    constexpr std::size_t minServedQuarters = 3;
    constexpr std::size_t quarters = 4;
    if (sentCount == 0 || served * quarters < sentCount * minServedQuarters) {
        record.addViolation(
                fmt::format("after the faults {} of {} requests were served", served, sentCount));
    }
}

/// A limit that a replica states for as long as faults come; empty for none.
struct StatedLimit
{
    const char *replica;
    std::array<const char *, 3> perSecond; ///< By the seed's remainder.
};

constexpr std::array<StatedLimit, 2> statedLimits{
        StatedLimit{"s2", {"", "2.5", "6"}},
        StatedLimit{"e2", {"", "4", "1.5"}},
};

void stateLimits(EdgeWorld &world, std::uint64_t seed)
{
    for (const StatedLimit &limit : statedLimits) {
        world.replicas.at(limit.replica)
                .standin->stateRateLimit(limit.perSecond[seed % limit.perSecond.size()]);
    }
}

void endLimits(EdgeWorld &world)
{
    for (const StatedLimit &limit : statedLimits) {
        world.replicas.at(limit.replica).standin->stateRateLimit("");
    }
}

/// All daemons together keep the limits, whatever happens to some of them.
void checkLimits(const EdgeWorld &world, Record &record, std::uint64_t seed, Millis from, Millis to)
{
    for (const StatedLimit &limit : statedLimits) {
        const std::string perSecond = limit.perSecond[seed % limit.perSecond.size()];
        std::vector<Millis> times
                = world.replicas.at(limit.replica).standin->receivedRequestTimes();
        std::erase_if(times, [&](Millis at) { return at < from || at > to; });
        if (perSecond.empty() || times.empty()) {
            continue;
        }
        const std::size_t most = busiestWindow(times, times.front() + limitNoticeTime);
        const double allowed = maxLimitedRequests(std::stod(perSecond));
        if (static_cast<double>(most) > allowed) {
            record.addViolation(fmt::format("{} stated a limit of {} and got {} requests in {} ms, "
                                            "allowed {}",
                                            limit.replica, perSecond, most, limitWindow.count(),
                                            allowed));
        }
    }
}

int runSeed(std::uint64_t seed, Millis faultTime)
{
    EdgeWorld world(edgeCount);
    Record record;
    world.publishConfig();
    world.startAll();
    constexpr Millis startTimeout{15'000};
    if (!eventually(startTimeout, [&] { return world.allReady(); })) {
        record.addViolation("the daemons did not become ready");
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
    stateLimits(world, seed);
    const Millis limitsFrom = monotonicNow();
    const Millis end = limitsFrom + faultTime;
    while (monotonicNow() < end) {
        faults.step();
        constexpr std::int64_t faultIntervalRange = 900;
        sleepFor(Millis(static_cast<std::int64_t>(seed % faultIntervalRange) + 100));
    }
    faults.endFaults();
    const Millis faultsEndedAt = monotonicNow();
    endLimits(world);
    sleepFor(recoveryTime + Millis(3'000));
    stop = true;
    for (std::thread &caller : callers) {
        caller.join();
    }
    for (const EdgeWorld::Edge &edge : world.edges) {
        if (edge.process->hasEnded()) {
            record.addViolation(edge.name + " ended by itself");
        }
    }
    checkResponses(world, record);
    checkStops(record);
    checkCommands(world, record);
    checkLimits(world, record, seed, limitsFrom, faultsEndedAt);
    checkRecovery(record, faultsEndedAt);
    std::size_t served = 0;
    for (const SentRequest &sent : record.sent) {
        served += sent.response.status == okStatus ? 1 : 0;
    }
    std::cout << "seed " << seed << ": " << record.sent.size() << " requests, " << served
              << " served, " << record.violations.size() << " violations\n";
    for (const std::string &violation : record.violations) {
        std::cout << "  " << violation << '\n';
    }
    if (!record.violations.empty()) {
        const auto logFolder = std::filesystem::temp_directory_path()
                / ("balsamport-soak-" + std::to_string(seed));
        std::error_code ignored;
        std::filesystem::copy(world.folder.path(), logFolder,
                              std::filesystem::copy_options::recursive
                                      | std::filesystem::copy_options::overwrite_existing,
                              ignored);
        std::cout << "  logs: " << logFolder.string() << '\n';
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
