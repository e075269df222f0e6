// Measures the cost of a claim: time on loopback, bytes per booking, and memory per stored key.
#include <balsamport/controllers/claim_client.h>
#include <balsamport/controllers/witness_controller.h>
#include <balsamport/core/log.h>
#include <balsamport/policy/witness_slots.h>

#include <malloc.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <future>
#include <iostream>
#include <string>
#include <vector>

using namespace balsamport;

namespace {

constexpr int claimCount = 5'000;
constexpr int basePort = 23'200;
/// After all waits of a newly acquired witness slot.
constexpr Millis settledTime{100'000};

std::atomic<std::int64_t> clockOffset{0};

Millis shiftedMonotonic() noexcept
{
    return monotonicNow() + Millis(clockOffset.load());
}

Millis shiftedWall() noexcept
{
    return wallNow() + Millis(clockOffset.load());
}

void printCapacity(const char *name, double value, const char *unit)
{
    std::cout << "capacity: name=" << name << " value=" << value << " unit=" << unit << "\n";
}

std::string uuid7Like(int number)
{
    std::array<char, 64> text{};
    const auto time = static_cast<unsigned long long>(shiftedWall().count());
    std::snprintf(text.data(), text.size(), "%08llx-%04llx-7000-8000-%012x", time >> 16U,
                  time & 0xFFFFU, static_cast<unsigned>(number));
    return text.data();
}

ClaimQuery queryFor(int number)
{
    ClaimQuery query;
    query.key = RequestKey(uuid7Like(number));
    query.caller = CallerId("counter-17");
    query.body = Fingerprint(static_cast<std::uint64_t>(number) * 7919);
    query.attempt = newAttemptId();
    query.firstSentWall = firstSentOf(query.key.str(), std::nullopt);
    query.arrivedAt = monotonicNow();
    query.deadline = monotonicNow() + Millis(60'000);
    return query;
}

/// Three witnesses behind sockets on loopback.
struct WitnessFleet
{
    WitnessFleet()
    {
        auto configuration = std::make_shared<Snapshot>();
        for (int i = 0; i < 3; ++i) {
            const DataCentreId dataCentre("dc" + std::to_string(i));
            configuration->dataCentres[dataCentre] = {dataCentre, RegionId("r"), false};
            const VmInstance instance{VmId("vm" + std::to_string(i)), Incarnation(1)};
            this->fleet->members.push_back(
                    {instance, MemberState::Alive, dataCentre, endpointOf(i), "", 0});
            this->fleet->listedVms.push_back(instance.vm);
        }
        this->snapshot = configuration;
        for (int i = 0; i < 3; ++i) {
            this->startWitness(i);
        }
        clockOffset = settledTime.count();
    }

    static std::string endpointOf(int vm)
    {
        return "tcp://127.0.0.1:" + std::to_string(basePort + vm);
    }

    void startWitness(int vm)
    {
        const Member &member = this->fleet->members[static_cast<std::size_t>(vm)];
        auto witness = std::make_unique<WitnessController>(
                member.instance, ControllerClocks{shiftedMonotonic, shiftedWall});
        const Millis longTime{10'000'000};
        witness->update(this->snapshot,
                        {WitnessSlotView{member.dataCentre, true, wallNow(), monotonicNow(),
                                         monotonicNow() + longTime}});
        WitnessController *const handler = witness.get();
        this->servers.push_back(
                std::move(MessageServer::start(endpointOf(vm), {member.instance.vm.str(), 1}, {},
                                               [handler](const wire::Envelope &message,
                                                         const ReplySender &reply) {
                                                   handler->handle(message, reply);
                                               }))
                        .value());
        this->witnesses.push_back(std::move(witness));
    }

    std::shared_ptr<FleetView> fleet = std::make_shared<FleetView>();
    SnapshotPtr snapshot;
    std::vector<std::unique_ptr<WitnessController>> witnesses;
    std::vector<std::unique_ptr<MessageServer>> servers;
};

void measureTime()
{
    WitnessFleet fleet;
    MessageClient messages({"gateway", 1}, {});
    ClaimClient claims(messages, WitnessFleet::endpointOf(0));
    claims.update(fleet.snapshot, fleet.fleet);
    std::vector<double> times;
    int won = 0;
    for (int i = 0; i < claimCount; ++i) {
        const auto start = std::chrono::steady_clock::now();
        std::promise<bool> done;
        claims.claim(queryFor(i), [&done](const ClaimOutcome &outcome) {
            done.set_value(outcome.standing == ClaimStanding::Won);
        });
        won += done.get_future().get() ? 1 : 0;
        const std::chrono::duration<double, std::milli> time
                = std::chrono::steady_clock::now() - start;
        times.push_back(time.count());
    }
    std::sort(times.begin(), times.end());
    printCapacity("claims-won", won, "claims");
    printCapacity("claim-p50", times[times.size() / 2], "ms");
    printCapacity("claim-p99", times[times.size() * 99 / 100], "ms");
    const double sent = static_cast<double>(messages.bytesSent()) / claimCount;
    const double received = static_cast<double>(messages.bytesReceived()) / claimCount;
    printCapacity("claim-bytes-all-seats", sent + received, "bytes/booking");
    // Two witness slots are in the region of the gateway and one is across the link.
    printCapacity("claim-bytes-in-region", (sent + received) * 2 / 3, "bytes/booking");
    printCapacity("claim-bytes-across-regions", (sent + received) / 3, "bytes/booking");
}

std::size_t heapBytes()
{
    const struct mallinfo2 info = mallinfo2();
    return info.uordblks + info.hblkhd;
}

void measureMemory()
{
    constexpr int step = 200'000;
    constexpr int steps = 5;
    ClaimLimits limits;
    limits.capacity = std::size_t{step} * steps;
    WitnessState state;
    state.held = true;
    state.now = settledTime;
    state.nowWall = settledTime;
    state.confirmedUntil = settledTime * 2;
    ClaimTable table;
    const std::size_t empty = heapBytes();
    const auto start = std::chrono::steady_clock::now();
    for (int i = 0; i < step * steps; ++i) {
        const WitnessRequest request{RequestKey(uuid7Like(i)),
                                     {AttemptId(static_cast<std::uint64_t>(i) + 1),
                                      {VmId("vm1"), Incarnation(1)},
                                      Fingerprint(1)},
                                     settledTime};
        table.decide(request, state, limits);
        if ((i + 1) % step == 0) {
            const double bytes = static_cast<double>(heapBytes() - empty) / (i + 1);
            std::cout << "claim-table: keys=" << i + 1 << " bytes-each=" << bytes << "\n";
        }
    }
    const std::chrono::duration<double, std::micro> time = std::chrono::steady_clock::now() - start;
    printCapacity("claim-memory", static_cast<double>(heapBytes() - empty) / (step * steps),
                  "bytes/key");
    printCapacity("claim-decide", time.count() / (step * steps), "us/claim");
    printCapacity("claim-table-full", static_cast<double>(heapBytes() - empty) / 1'000'000, "MB");
}

} // namespace

int main()
{
    startLogging("bench-claims", 1);
    measureTime();
    measureMemory();
    return 0;
}
