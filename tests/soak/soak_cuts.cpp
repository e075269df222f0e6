/// Soak of the rule of one holder: real edge daemons are cut off from each other by proxies and
/// killed meanwhile, engines restart, and the commands that engines receive are judged.
#include "../e2e/edge_world.h"

#include <command_judge.h>

#include <boost/program_options.hpp>

#include <atomic>
#include <cmath>
#include <iostream>
#include <mutex>
#include <numeric>
#include <random>
#include <sched.h>

using namespace balsamport;
using namespace balsamport::testing;

namespace {

namespace options = boost::program_options;

constexpr std::size_t edgeCount = 8;
constexpr int engineCount = 6;
constexpr std::uint64_t callerThreads = 10;
constexpr std::uint64_t adapters = 70; // More than all slots.
constexpr int okStatus = 200;
constexpr int conflictStatus = 409;
/// A cut, the moment of the kills within it, and the time between two cuts.
constexpr Millis cutTime{12'000};
constexpr Millis killAfter{6'000};
constexpr Millis downTime{2'000};
constexpr Millis cyclePause{6'000};
constexpr double cutShare = 0.35;
constexpr double killShare = 0.55;

/// What the daemons' machine is like, by the seed.
struct Conditions
{
    std::size_t cores = 0; ///< That all daemons share; 0 for all of the machine.
    bool enginesCrash = false; ///< At random moments; they restart empty.
    bool throttled = false; ///< Each daemon is stopped for half of each 120 ms.
};

Conditions conditionsOf(std::uint64_t seed)
{
    Conditions conditions;
    conditions.cores = seed % 3 == 0 ? 1 : seed % 3 == 2 ? 2 : 0;
    conditions.enginesCrash = seed % 2 == 0;
    conditions.throttled = seed % 5 == 3;
    return conditions;
}

/// What engines and cuts are like, as given on the command line.
struct Kind
{
    standins::ReservationPolicy reservations = standins::ReservationPolicy::Exclusive;
    bool cutsGroups = false; ///< Daemons that are cut off together still reach each other.
    bool cutsStore = false; ///< They don't reach the store, either.
};

std::optional<standins::ReservationPolicy> readPolicy(const std::string &name)
{
    const std::map<std::string, standins::ReservationPolicy> policies{
            {"exclusive", standins::ReservationPolicy::Exclusive},
            {"grant-all", standins::ReservationPolicy::GrantAll},
            {"refuse-all", standins::ReservationPolicy::RefuseAll},
            {"unknown", standins::ReservationPolicy::Unknown}};
    const auto found = policies.find(name);
    return found == policies.end() ? std::nullopt : std::optional(found->second);
}

standins::ReplicaOptions engineOptions(const Kind &kind)
{
    standins::ReplicaOptions engine;
    engine.events = 60; // Streams last long enough for unloads to wait for them.
    engine.restartsEmpty = true;
    engine.reportAge = Millis(300);
    engine.loadTime = Millis(250);
    engine.reservations = kind.reservations;
    return engine;
}

/// Requests of callers and how many were served.
struct Traffic
{
    std::atomic<bool> stop{false};
    std::atomic<std::size_t> sent{0};
    std::atomic<std::size_t> served{0};
};

void runCaller(EdgeWorld &world, Traffic &traffic, std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    std::uint64_t number = 0;
    while (!traffic.stop) {
        const std::string id = "r" + std::to_string(seed) + "-" + std::to_string(++number);
        const CallerResponse response
                = world.call(random() % edgeCount, "/chat/" + std::to_string(number), id,
                             "a" + std::to_string(random() % adapters));
        ++traffic.sent;
        traffic.served += response.status == okStatus ? 1 : 0;
        sleepFor(Millis(static_cast<std::int64_t>(random() % 200)));
    }
}

/// Cuts daemons off, kills others and crashes engines, one day long.
class Day
{
public:
    Day(EdgeWorld &edgeWorld, const Kind &dayKind, std::uint64_t seed)
        : world(edgeWorld)
        , kind(dayKind)
        , conditions(conditionsOf(seed))
        , random(seed)
    { }

    void start(std::size_t index)
    {
        this->world.startEdge(index);
        if (this->conditions.cores == 0) {
            return;
        }
        cpu_set_t cores;
        CPU_ZERO(&cores);
        for (std::size_t core = 0; core < this->conditions.cores; ++core) {
            CPU_SET(core, &cores);
        }
        // Threads that the daemon starts later share its cores.
        (void)sched_setaffinity(this->world.edges[index].process->id(), sizeof cores, &cores);
    }

    void startAll()
    {
        for (std::size_t i = 0; i < edgeCount; ++i) {
            this->start(i);
        }
    }

    void play(int cycles)
    {
        for (int cycle = 0; cycle < cycles; ++cycle) {
            this->run(cyclePause / 2);
            EdgeWorld::Cut cut;
            cut.keepsGroup = this->kind.cutsGroups;
            cut.fromStore = this->kind.cutsStore;
            for (const std::size_t edge : this->pick(cutShare)) {
                cut.names.insert(this->world.edges[edge].name);
            }
            this->world.cutOff(cut);
            this->run(killAfter);
            const std::vector<std::size_t> killed = this->pick(killShare);
            for (const std::size_t edge : killed) {
                this->world.edges[edge].process->killNow();
            }
            this->run(downTime);
            for (const std::size_t edge : killed) {
                this->start(edge);
            }
            this->run(cutTime - killAfter - downTime);
            this->world.cutOff({});
            this->run(cyclePause / 2);
        }
    }

private:
    std::vector<std::size_t> pick(double share)
    {
        std::vector<std::size_t> all(edgeCount);
        std::iota(all.begin(), all.end(), 0U);
        std::shuffle(all.begin(), all.end(), this->random);
        all.resize(static_cast<std::size_t>(std::lround(share * static_cast<double>(edgeCount))));
        return all;
    }

    /// Lets time pass, in which engines crash and daemons are throttled.
    void run(Millis time)
    {
        constexpr Millis step{60};
        const Millis end = monotonicNow() + time;
        bool stopped = false;
        while (monotonicNow() < end) {
            if (this->conditions.throttled) {
                stopped = !stopped;
                this->signalAll(stopped ? SIGSTOP : SIGCONT);
            }
            constexpr std::uint64_t stepsPerCrash = 60;
            if (this->conditions.enginesCrash && this->random() % stepsPerCrash == 0) {
                this->world.crash("e" + std::to_string(1 + this->random() % engineCount));
            }
            sleepFor(step);
        }
        if (stopped) {
            this->signalAll(SIGCONT);
        }
    }

    void signalAll(int number)
    {
        for (EdgeWorld::Edge &edge : this->world.edges) {
            if (edge.process && !edge.process->hasEnded()) {
                edge.process->signal(number);
            }
        }
    }

    EdgeWorld &world;
    Kind kind;
    Conditions conditions;
    std::mt19937_64 random;
};

/// The commands of all engines, and how often they broke the rule.
struct Judgement
{
    std::size_t commands = 0;
    std::size_t refused = 0; ///< As the count differed, or another command was in progress.
    std::size_t outdated = 0; ///< Refused, as another daemon had commanded the engine since.
    std::size_t reservations = 0;
    std::size_t reservationsRefused = 0;
    CommandBreaks accepted; ///< Judged by the commands that the engines accepted.
    CommandBreaks received; ///< By all that reached them.

    static void add(CommandBreaks &sum, const CommandBreaks &more)
    {
        sum.lowerNumbers += more.lowerNumbers;
        sum.equalNumbers += more.equalNumbers;
        sum.turns += more.turns;
        sum.first = sum.first.empty() ? more.first : sum.first;
    }
};

Judgement judge(const EdgeWorld &world)
{
    Judgement judgement;
    for (const auto &[id, replica] : world.replicas) {
        std::map<std::uint64_t, std::pair<CommandJudge, CommandJudge>> runs;
        std::string lastCounted;
        for (const standins::ReceivedCommand &command : replica.standin->allCommands()) {
            const bool isRefused = command.status == conflictStatus;
            const JudgedCommand judged{command.at, command.holder, command.fencingNumber};
            auto &[accepted, received] = runs[command.run];
            received.add(judged);
            if (!isRefused) {
                accepted.add(judged);
                lastCounted = command.holder;
            }
            ++judgement.commands;
            judgement.refused += isRefused ? 1 : 0;
            judgement.outdated += isRefused && command.expectedCount != command.countBefore
                            && lastCounted != command.holder
                    ? 1
                    : 0;
        }
        for (const auto &[run, judges] : runs) {
            Judgement::add(judgement.accepted, judges.first.result());
            Judgement::add(judgement.received, judges.second.result());
        }
        const auto [granted, refused] = replica.standin->reservationCounts();
        judgement.reservations += granted;
        judgement.reservationsRefused += refused;
    }
    return judgement;
}

void printBreaks(const char *by, const CommandBreaks &breaks)
{
    std::cout << "  by " << by << ": " << breaks.lowerNumbers << " lower numbers, "
              << breaks.equalNumbers << " equal ones, " << breaks.turns << " turns "
              << (breaks.first.empty() ? "" : "(" + breaks.first + ")") << '\n';
}

void keepFiles(const EdgeWorld &world, std::uint64_t seed)
{
    const auto folder = std::filesystem::temp_directory_path()
            / ("balsamport-soak-cuts-" + std::to_string(seed));
    std::error_code ignored;
    std::filesystem::copy(world.folder.path(), folder,
                          std::filesystem::copy_options::recursive
                                  | std::filesystem::copy_options::overwrite_existing,
                          ignored);
    std::ofstream commands(folder / "commands.txt");
    for (const auto &[id, replica] : world.replicas) {
        for (const standins::ReceivedCommand &command : replica.standin->allCommands()) {
            commands << command.at.count() << ' ' << id << " run " << command.run << ' '
                     << command.holder << ' ' << command.operation << ' ' << command.adapter
                     << " number " << command.fencingNumber << " expects "
                     << command.expectedCount.value_or(0) << " count " << command.countBefore
                     << " status " << command.status << '\n';
        }
    }
    std::cout << "  logs and commands: " << folder.string() << '\n';
}

int runSeed(const Kind &kind, std::uint64_t seed, int cycles)
{
    EdgeWorld world(edgeCount, engineOptions(kind));
    for (int i = 3; i <= engineCount; ++i) {
        world.addReplica("e" + std::to_string(i), "llm", i % 2 == 0 ? "b" : "a", true);
    }
    world.linkPeers();
    world.publishConfig();
    Day day(world, kind, seed);
    day.startAll();
    constexpr Millis startTimeout{15'000};
    const bool ready = eventually(startTimeout, [&] { return world.allReady(); });
    Traffic traffic;
    std::vector<std::thread> callers;
    for (std::uint64_t i = 0; i < callerThreads; ++i) {
        callers.emplace_back([&, i] { runCaller(world, traffic, seed * callerThreads + i); });
    }
    day.play(cycles);
    traffic.stop = true;
    for (std::thread &caller : callers) {
        caller.join();
    }
    const Judgement judgement = judge(world);
    std::cout << "seed " << seed << ": " << traffic.sent << " requests, " << traffic.served
              << " served, " << judgement.commands << " commands, " << judgement.refused
              << " refused (" << judgement.outdated << " after another daemon's), "
              << judgement.reservations << " reservations, " << judgement.reservationsRefused
              << " refused\n";
    printBreaks("accepted commands", judgement.accepted);
    printBreaks("all commands", judgement.received);
    const bool holds = ready && judgement.commands > 0 && traffic.served > 0
            && judgement.accepted.total() == 0 && judgement.received.total() == 0;
    if (!holds) {
        keepFiles(world, seed);
    }
    std::cout.flush();
    return holds ? 0 : 1;
}

} // namespace

int main(int argc, char **argv)
{
    options::options_description described("soak-cuts: cuts between real edge daemons");
    described.add_options()("help", "this text")(
            "seed", options::value<std::vector<std::uint64_t>>()->multitoken(), "seeds to run")(
            "cycles", options::value<int>()->default_value(5), "cuts with kills, for each seed")(
            "engines", options::value<std::string>()->default_value("exclusive"),
            "how they answer reservations: exclusive, grant-all, refuse-all or unknown")(
            "cut-groups", options::bool_switch(), "daemons that are cut off reach each other")(
            "cut-store", options::bool_switch(), "they don't reach the store, either");
    options::variables_map given;
    try {
        options::store(options::parse_command_line(argc, argv, described), given);
        options::notify(given);
    } catch (const options::error &error) {
        std::cerr << "soak-cuts: " << error.what() << '\n';
        return 2;
    }
    if (given.count("help") != 0) {
        std::cout << described << '\n';
        return 0;
    }
    std::vector<std::uint64_t> seeds{1};
    if (given.count("seed") != 0) {
        seeds = given["seed"].as<std::vector<std::uint64_t>>();
    }
    const auto policy = readPolicy(given["engines"].as<std::string>());
    if (!policy) {
        std::cerr << "soak-cuts: unknown kind of engines; see --help\n";
        return 2;
    }
    const Kind kind{*policy, given["cut-groups"].as<bool>(), given["cut-store"].as<bool>()};
    int failed = 0;
    for (const std::uint64_t seed : seeds) {
        failed += runSeed(kind, seed, given["cycles"].as<int>());
    }
    std::cout << seeds.size() - static_cast<std::size_t>(failed) << " passed, " << failed
              << " failed\n";
    return failed == 0 ? 0 : 1;
}
