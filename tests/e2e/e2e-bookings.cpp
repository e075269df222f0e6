// Guards against bookings that run twice or are reported falsely, when gateways and controllers are
// killed or paused for longer than their timeouts while callers repeat requests over several
// gateways.

#include "process_fixture.h"

#include <catch2/catch.hpp>

#include <rapidjson/document.h>

#include <array>
#include <atomic>
#include <cstdio>
#include <future>
#include <iostream>
#include <mutex>
#include <random>

using namespace balsamport;
using namespace balsamport::testing;

namespace {

constexpr std::uint16_t firstPort = 23500;
constexpr Millis startTimeout{60'000};
constexpr Millis loadDuration{30'000};
constexpr Millis callTimeout{8'000}; ///< Longer than any pause of a process.
constexpr int callerCount = 6;
const std::vector<std::string> allVms = {"a1", "a2", "b1", "b2", "c1", "c2"};

const std::string configText
        = "[data-centre a]\nregion = r1\nhas-weight-store = true\n"
          "[data-centre b]\nregion = r1\n"
          "[data-centre c]\nregion = r2\n"
          "[backend-server s1]\nkind = service\naddress = 127.0.0.1:23590\ndata-centre = a\n"
          "service = lots\nbatch-width = 256\n"
          "[backend-server s2]\nkind = service\naddress = 127.0.0.1:23591\ndata-centre = c\n"
          "service = lots\nbatch-width = 256\n"
          "[service lots]\nnon-repeatable = POST /bookings\n"
          "[limits]\nhandover-wait = 1000\nview-lifetime = 600\nclock-skew = 100\n";

/// Counts of the outcomes that callers received for one key.
struct OutcomeCounts
{
    int ran = 0;
    int notRun = 0;
    int unknown = 0;
};

/// Six VMs in three data centres, two services, and a record of the outcomes that callers received.
class BookingFleet
{
public:
    BookingFleet()
        : fleet(firstPort)
    {
        std::uint16_t port = firstPort + 1;
        for (const std::string &id : allVms) {
            this->fleet.addVm({id, id.substr(0, 1), port, static_cast<std::uint16_t>(port + 20)});
            this->gateways.push_back("127.0.0.1:" + std::to_string(port + 20));
            ++port;
        }
        this->fleet.setVmList(allVms);
        this->fleet.writeConfig("10-base.ini", configText);
        this->fleet.startPlatform();
        this->fleet.startBackendServer("service", "s1", 23590, {"--lose-replies", "5"});
        this->fleet.startBackendServer("service", "s2", 23591, {"--lose-replies", "5"});
        for (const std::string &id : allVms) {
            this->fleet.startController(id);
            this->fleet.startGateway(id);
        }
    }

    std::string newKey()
    {
        const std::scoped_lock lock(this->mutex);
        std::array<char, 64> text{};
        const auto time = static_cast<unsigned long long>(wallNow().count());
        std::snprintf(text.data(), text.size(), "%08llx-%04llx-7000-8000-%012x", time >> 16U,
                      time & 0xFFFFU, ++this->keys);
        return text.data();
    }

    /// Sends a booking through one gateway and records its outcome.
    std::string book(const std::string &key, std::size_t gateway)
    {
        OutgoingRequest request;
        request.method = "POST";
        request.url = "http://" + this->gateways[gateway % this->gateways.size()]
                + "/v1/services/lots/bookings";
        request.headers = {{"Idempotency-Key", key}, {"Content-Type", "application/json"}};
        request.body = R"({"lot":"north-7"})";
        request.timeout = callTimeout;
        const auto response = this->fleet.http().fetch(std::move(request));
        std::string outcome = "none";
        if (response.has_value()) {
            outcome = findHeader(response.value().headers, "Balsamport-Outcome").value_or("none");
        }
        const std::scoped_lock lock(this->mutex);
        OutcomeCounts &counts = this->outcomes[key];
        counts.ran += outcome == "ran" ? 1 : 0;
        counts.notRun += outcome == "not-run" ? 1 : 0;
        counts.unknown += outcome == "unknown" || outcome == "none" ? 1 : 0;
        return outcome;
    }

    /// The number of runs of each key, over both services.
    std::map<std::string, std::uint64_t> ledger()
    {
        std::map<std::string, std::uint64_t> runs;
        for (const char *address : {"127.0.0.1:23590", "127.0.0.1:23591"}) {
            rapidjson::Document document;
            document.Parse(this->fleet.get(address, "/ledger").c_str());
            REQUIRE_FALSE(document.HasParseError());
            const auto &entries = document["runs"];
            for (auto entry = entries.MemberBegin(); entries.MemberEnd() - entry > 0; ++entry) {
                runs[entry->name.GetString()] += entry->value.GetUint64();
            }
        }
        return runs;
    }

    bool waitUntilBooking()
    {
        return eventually(startTimeout, [this] {
            std::size_t ran = 0;
            for (std::size_t gateway = 0; gateway < allVms.size(); ++gateway) {
                ran += this->book(this->newKey(), gateway) == "ran" ? 1 : 0;
            }
            return ran + 2 >= allVms.size(); // The services lose some replies (--lose-replies).
        });
    }

    FleetFixture fleet;
    std::vector<std::string> gateways;
    std::mutex mutex; ///< Guards the two below.
    std::map<std::string, OutcomeCounts> outcomes;
    unsigned keys = 0;
};

/// Sends one key after another: each to three gateways concurrently, and then once more to one of
/// them.
void sendBookingsUntil(BookingFleet &fleet, const std::atomic<bool> &stop, unsigned seed)
{
    std::mt19937 random(seed);
    while (!stop) {
        const std::string key = fleet.newKey();
        const std::size_t gateway = random();
        const auto book = [&fleet, key](std::size_t index) { fleet.book(key, index); };
        auto second = std::async(std::launch::async, book, gateway + 1);
        auto third = std::async(std::launch::async, book, gateway + 2);
        book(gateway);
        second.get();
        third.get();
        book(gateway + random() % 3);
    }
}

struct FaultCounts
{
    int killedGateways = 0;
    int killedControllers = 0;
    int pausedGateways = 0;
    int pausedControllers = 0;
};

/// Kills processes, and pauses them for longer than their timeouts, for the given time.
FaultCounts injectFaultsFor(BookingFleet &fleet, Millis time)
{
    std::mt19937 random(20'261'204);
    FaultCounts counts;
    const Millis end = monotonicNow() + time;
    while (monotonicNow() < end) {
        const std::string &vm = allVms[random() % allVms.size()];
        switch (random() % 5) {
        case 0:
            fleet.fleet.gateway(vm).killNow();
            sleepFor(Millis(200));
            fleet.fleet.startGateway(vm);
            ++counts.killedGateways;
            break;
        case 1:
            fleet.fleet.controller(vm).killNow();
            sleepFor(Millis(200));
            fleet.fleet.startController(vm);
            ++counts.killedControllers;
            break;
        case 2:
            fleet.fleet.gateway(vm).pause();
            sleepFor(Millis(5'500)); // Longer than the time in which a won claim may be dispatched.
            fleet.fleet.gateway(vm).resume();
            ++counts.pausedGateways;
            break;
        default:
            fleet.fleet.controller(vm).pause();
            sleepFor(Millis(1'500)); // Longer than the lifetime of a confirmed view.
            fleet.fleet.controller(vm).resume();
            ++counts.pausedControllers;
            break;
        }
        sleepFor(Millis(600));
    }
    return counts;
}

} // namespace

TEST_CASE("bookings while gateways and controllers are killed and paused")
{
    BookingFleet fleet;
    REQUIRE(fleet.waitUntilBooking());
    std::atomic<bool> stop{false};
    std::vector<std::thread> callers;
    for (unsigned i = 0; i < callerCount; ++i) {
        callers.emplace_back([&fleet, &stop, i] { sendBookingsUntil(fleet, stop, i); });
    }
    const FaultCounts faults = injectFaultsFor(fleet, loadDuration);
    stop = true;
    for (std::thread &caller : callers) {
        caller.join();
    }
    sleepFor(Millis(1'000)); // Lets requests in progress end.

    const auto runs = fleet.ledger();
    std::uint64_t booked = 0;
    std::uint64_t doubles = 0;
    std::uint64_t falseNotRun = 0;
    std::uint64_t falseRan = 0;
    std::uint64_t notRun = 0;
    for (const auto &[key, counts] : fleet.outcomes) {
        const auto found = runs.find(key);
        const std::uint64_t count = found == runs.end() ? 0 : found->second;
        booked += count > 0 ? 1 : 0;
        doubles += count > 1 ? 1 : 0;
        notRun += counts.notRun > 0 ? 1 : 0;
        falseNotRun += counts.notRun > 0 && count > 0 ? 1 : 0;
        falseRan += counts.ran > 0 && count == 0 ? 1 : 0;
    }
    std::cout << "bookings: keys=" << fleet.outcomes.size() << " booked=" << booked
              << " told-not-run=" << notRun << " doubles=" << doubles
              << " false-not-run=" << falseNotRun << " false-ran=" << falseRan
              << " gateways-killed=" << faults.killedGateways
              << " gateways-paused=" << faults.pausedGateways
              << " controllers-killed=" << faults.killedControllers
              << " controllers-paused=" << faults.pausedControllers << "\n";
    REQUIRE(booked > 100);
    REQUIRE(doubles == 0);
    REQUIRE(falseNotRun == 0);
    REQUIRE(falseRan == 0);
    for (const auto &[key, count] : runs) {
        INFO(key);
        REQUIRE(fleet.outcomes.contains(key));
    }
}
