#include <balsamport/core/hash.h>
#include <balsamport/policy/grant_scheduler.h>
#include <balsamport/policy/routing.h>

#include <benchmark/benchmark.h>

#include <malloc.h>

#include <algorithm>
#include <chrono>
#include <iostream>
#include <limits>
#include <string>
#include <vector>

using namespace balsamport;

namespace {

constexpr std::uint32_t dataCentres = 6;
constexpr std::uint32_t manyAdapters = 32'000;
constexpr std::uint32_t manyReplicas = 760;
constexpr double boundMicros = 2.0;
constexpr std::size_t capacityGrants = 20'000;

std::size_t heapBytes()
{
    return mallinfo2().uordblks;
}

AdapterRef adapterOf(std::uint32_t number)
{
    return {BaseModelId("citrus-8b"), AdapterId("adapter-" + std::to_string(number)),
            AdapterVersion(1)};
}

/// All replicas run one base model, which is the worst case: every replica is a candidate.
Snapshot snapshotOf(std::uint32_t replicas)
{
    Snapshot snapshot;
    for (std::uint32_t i = 0; i < dataCentres; ++i) {
        DataCentreConfig config;
        config.id = DataCentreId("dc-" + std::to_string(i));
        config.region = RegionId(i < dataCentres / 2 ? "north" : "south");
        config.hasWeightStore = i < dataCentres / 2;
        snapshot.dataCentres[config.id] = config;
    }
    for (std::uint32_t i = 0; i < replicas; ++i) {
        BackendServerConfig config;
        config.id = BackendServerId("engine-" + std::to_string(i));
        config.dataCentre = DataCentreId("dc-" + std::to_string(i % dataCentres));
        config.base = BaseModelId("citrus-8b");
        snapshot.backendServers[config.id] = config;
    }
    return snapshot;
}

/// A gateway that has routed every adapter once and has requests in flight.
struct Routing
{
    Routing(std::uint32_t adapters, std::uint32_t replicas, std::uint32_t inFlight)
    {
        const Snapshot snapshot = snapshotOf(replicas);
        this->group = buildRoutingTable(snapshot, DataCentreId("dc-0"))
                              .engines.at(BaseModelId("citrus-8b"));
        this->routingState.loads.resize(replicas);
        for (std::uint32_t i = 0; i < inFlight; ++i) {
            recordRequestStart(this->routingState, i % replicas);
        }
        for (std::uint32_t i = 0; i < adapters; ++i) {
            this->hashes.push_back(hashOf(adapterOf(i)));
            recordRequest(this->routingState, this->costs, this->hashes.back(), this->now);
            // Every second adapter is known to be resident somewhere; the others are cold.
            if (i % 2 == 0) {
                recordGrant(this->routingState, this->costs, this->hashes.back(), i % replicas,
                            Millis(0), this->now);
            }
        }
    }

    RouteGroup group;
    RoutingState routingState;
    RouteCosts costs;
    std::vector<std::uint64_t> hashes;
    Millis now{1'000'000};
};

void routeDecision(benchmark::State &state)
{
    const Routing routing(static_cast<std::uint32_t>(state.range(0)),
                          static_cast<std::uint32_t>(state.range(1)),
                          static_cast<std::uint32_t>(state.range(2)));
    std::size_t at = 0;
    constexpr std::size_t stride = 7'919;
    for (auto _ : state) {
        at = (at + stride) % routing.hashes.size();
        benchmark::DoNotOptimize(chooseCandidates(routing.group, routing.routingState,
                                                  routing.costs, routing.hashes[at], routing.now));
    }
}

void grantCycle(benchmark::State &state)
{
    ServerState server = makeServerState({8, 64, true, false, false}, GrantId(1));
    EngineLoadReport report;
    report.start = "run";
    report.taken = Millis(1);
    for (std::uint32_t i = 0; i < 8; ++i) {
        report.resident.push_back(adapterOf(i));
    }
    LoadBudget budget;
    applyLoadReport(server, budget, report, Millis(1));
    SchedulerContext context;
    context.gatherTime = Millis(0);
    AdmissionRequest request;
    request.request = RequestId("0190b5f0-0000-7000-8000-000000000000");
    request.adapter = adapterOf(3);
    request.adapterHash = hashOf(request.adapter);
    request.deadline = Millis(1'000'000);
    const Millis now(10);
    std::uint64_t ticket = 0;
    for (auto _ : state) {
        benchmark::DoNotOptimize(admitRequest(server, budget, context, request, ++ticket, now));
        const auto actions = schedule(server, budget, context, now);
        releaseGrant(server, std::get<IssueGrant>(actions.front()).grant, now);
    }
}

// Slopes: one size changes at a time.
BENCHMARK(routeDecision)
        ->ArgNames({"adapters", "replicas", "in_flight"})
        ->Args({3'000, 9, 100})
        ->Args({32'000, 9, 100})
        ->Args({32'000, 90, 100})
        ->Args({32'000, 380, 100})
        ->Args({8'000, 760, 100})
        ->Args({32'000, 760, 100})
        ->Args({32'000, 760, 10'000})
        ->Args({32'000, 760, 100'000});
BENCHMARK(grantCycle);

void printCapacity(const std::string &name, double value, const std::string &unit)
{
    std::cout << "capacity: name=" << name << " value=" << value << " unit=" << unit << "\n";
}

double bytesPerAdapter()
{
    Routing empty(1, manyReplicas, 0);
    const std::size_t before = heapBytes();
    const Routing full(manyAdapters, manyReplicas, 0);
    const std::size_t hashes = full.hashes.capacity() * sizeof(std::uint64_t);
    const std::size_t nodes = manyReplicas * (sizeof(RouteNode) + sizeof(NodeLoad));
    return (static_cast<double>(heapBytes() - before) - static_cast<double>(hashes + nodes))
            / manyAdapters;
}

double bytesPerGrant()
{
    ServerState server = makeServerState({8, capacityGrants, true, false, false}, GrantId(1));
    const std::size_t before = heapBytes();
    for (std::size_t i = 0; i < capacityGrants; ++i) {
        Grant grant;
        grant.id = GrantId(i + 1);
        grant.request = RequestId("0190b5f0-0000-7000-8000-" + std::to_string(100'000'000'000 + i));
        grant.gateway = "vm-1#1764810000000";
        grant.adapter = adapterOf(3);
        grant.adapterHash = hashOf(grant.adapter);
        server.grants.push_back(std::move(grant));
    }
    return static_cast<double>(heapBytes() - before) / capacityGrants;
}

/// Measures routing decisions for the capacity lines, separately from the benchmark's own report.
/// Returns the best of several rounds, because other processes may use the machine as well.
double decisionMicros(std::uint32_t adapters, std::uint32_t replicas, std::uint32_t inFlight)
{
    const Routing routing(adapters, replicas, inFlight);
    constexpr int rounds = 7;
    constexpr int decisions = 64'000;
    constexpr std::size_t stride = 7'919;
    std::size_t at = 0;
    double best = std::numeric_limits<double>::max();
    for (int round = 0; round < rounds; ++round) {
        const auto start = std::chrono::steady_clock::now();
        for (int i = 0; i < decisions; ++i) {
            at = (at + stride) % routing.hashes.size();
            benchmark::DoNotOptimize(chooseCandidates(routing.group, routing.routingState,
                                                      routing.costs, routing.hashes[at],
                                                      routing.now));
        }
        const std::chrono::duration<double, std::micro> time
                = std::chrono::steady_clock::now() - start;
        best = std::min(best, time.count() / decisions);
    }
    return best;
}

} // namespace

int main(int argc, char **argv)
{
    benchmark::Initialize(&argc, argv);
    if (benchmark::ReportUnrecognizedArguments(argc, argv)) {
        return 2;
    }
    benchmark::RunSpecifiedBenchmarks();
    const double full = decisionMicros(manyAdapters, manyReplicas, 10'000);
    const double fewAdapters = decisionMicros(manyAdapters / 4, manyReplicas, 10'000);
    const double fewReplicas = decisionMicros(manyAdapters, manyReplicas / 4, 10'000);
    const double idle = decisionMicros(manyAdapters, manyReplicas, 0);
    printCapacity("routing_decision", full, "us");
    printCapacity("routing_slope_adapters", (full - fewAdapters) / (manyAdapters * 0.75) * 1'000,
                  "us/1000_adapters");
    printCapacity("routing_slope_replicas", (full - fewReplicas) / (manyReplicas * 0.75) * 100,
                  "us/100_replicas");
    printCapacity("routing_slope_in_flight", (full - idle) / 10, "us/1000_requests");
    printCapacity("gateway_bytes_per_adapter", bytesPerAdapter(), "bytes");
    printCapacity("owner_bytes_per_grant", bytesPerGrant(), "bytes");
    const bool holds = full <= boundMicros;
    std::cout << "bound: routing decision " << full << " us, at most " << boundMicros
              << " us: " << (holds ? "holds" : "MISSED") << "\n";
    return holds ? 0 : 1;
}
