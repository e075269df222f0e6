#include "process_fixture.h"

#include <catch2/catch.hpp>

#include <atomic>
#include <mutex>

using namespace balsamport;
using namespace balsamport::testing;

namespace {

constexpr std::uint16_t firstPort = 24200;
constexpr Millis startLimit{20'000};
constexpr Millis exitLimit{30'000};
constexpr int callerCount = 4;

const std::string configText = "[data-centre a]\nregion = r1\n"
                               "[backend-server e1]\naddress = 127.0.0.1:24290\n"
                               "data-centre = a\nbase = citrus\n"
                               "[backend-server e2]\naddress = 127.0.0.1:24291\n"
                               "data-centre = a\nbase = citrus\n"
                               "[adapter-range member-]\nfirst = 1\nlast = 6\nbase = citrus\n"
                               "versions = 1\n"
                               "[limits]\nhandover-wait = 1000\nview-lifetime = 600\n";

const std::vector<std::string> vmIds = {"a1", "a2", "a3"};

/// Stands for the platform's load balancer: selects only gateways whose /ready gives 200.
class Balancer
{
public:
    Balancer(HttpClient &httpClient, std::vector<std::string> gatewayAddresses)
        : client(httpClient)
        , addresses(std::move(gatewayAddresses))
        , thread([this] { this->run(); })
    { }
    ~Balancer()
    {
        this->stopping = true;
        this->thread.join();
    }
    Balancer(const Balancer &) = delete;
    Balancer &operator=(const Balancer &) = delete;

    std::string pick(std::size_t number)
    {
        const std::lock_guard lock(this->mutex);
        return this->healthy.empty() ? std::string() : this->healthy[number % this->healthy.size()];
    }

private:
    void run()
    {
        while (!this->stopping) {
            std::vector<std::string> healthyNow;
            for (const std::string &address : this->addresses) {
                OutgoingRequest request;
                request.url = "http://" + address + "/ready";
                request.timeout = Millis(500);
                const auto response = this->client.fetch(std::move(request));
                if (response.has_value() && response.value().status == 200) {
                    healthyNow.push_back(address);
                }
            }
            {
                const std::lock_guard lock(this->mutex);
                this->healthy = healthyNow;
            }
            sleepFor(Millis(100));
        }
    }

    HttpClient &client;
    const std::vector<std::string> addresses;
    std::mutex mutex;
    std::vector<std::string> healthy;
    std::atomic<bool> stopping{false};
    std::thread thread;
};

struct RequestTally
{
    std::atomic<int> sent{0};
    std::atomic<int> complete{0};
    std::mutex mutex;
    std::vector<std::string> faults;

    void recordFault(const std::string &text)
    {
        const std::lock_guard lock(this->mutex);
        this->faults.push_back(text);
    }
};

/// Describes the fault of a streamed response; empty where it is complete and of the right adapter.
std::string findFault(const Result<HttpResponse> &response, const std::string &adapter)
{
    if (response.has_error()) {
        return describe(response.error());
    }
    const std::string &body = response.value().body;
    if (response.value().status != 200) {
        return "status " + std::to_string(response.value().status) + " " + body;
    }
    if (body.find("data: [DONE]") == std::string::npos) {
        return "cut: " + body.substr(body.size() > 200 ? body.size() - 200 : 0);
    }
    return body.find("citrus/" + adapter + "@1") == std::string::npos ? "wrong adapter" : "";
}

void sendRequests(Balancer &balancer, std::size_t caller, const std::atomic<bool> &stop,
                  RequestTally &tally)
{
    HttpClient client;
    std::size_t number = caller;
    while (!stop) {
        const std::string gateway = balancer.pick(number);
        const std::string adapter = "member-" + std::to_string(number % 6 + 1);
        OutgoingRequest request;
        request.method = "POST";
        request.url = "http://" + gateway + "/v1/chat/completions";
        request.headers = {{"Content-Type", "application/json"}};
        request.body = R"({"model":"citrus/)";
        request.body.append(adapter);
        request.body.append(R"(@1","stream":true,"max_tokens":50,)");
        request.body.append(R"("messages":[{"role":"user","content":"hi"}]})");
        request.timeout = Millis(20'000);
        ++tally.sent;
        const std::string fault = findFault(client.fetch(std::move(request)), adapter);
        if (fault.empty()) {
            ++tally.complete;
        } else {
            std::string text = gateway;
            tally.recordFault(text.append(" ").append(adapter).append(": ").append(fault));
            sleepFor(Millis(100));
        }
        number += callerCount;
    }
}

void startVm(FleetFixture &fleet, const std::string &vm)
{
    fleet.startController(vm, {"controller.leave-wait-ms=3000"});
    fleet.startGateway(vm);
}

/// Replaces a VM as operators do: lists it as draining, stops its gateway, then its controller.
void replaceVm(FleetFixture &fleet, const std::string &vm)
{
    fleet.setVmList(vmIds, {vm});
    fleet.gateway(vm).terminate();
    const auto gatewayExit = fleet.gateway(vm).waitForExit(exitLimit);
    CHECK(gatewayExit == 0);
    fleet.controller(vm).terminate();
    const auto controllerExit = fleet.controller(vm).waitForExit(exitLimit);
    CHECK(controllerExit == 0);
    fleet.setVmList(vmIds);
    startVm(fleet, vm);
}

bool hasOwners(FleetFixture &fleet, const std::string &seenBy)
{
    return !fleet.ownerOf("e1", seenBy).empty() && !fleet.ownerOf("e2", seenBy).empty();
}

} // namespace

namespace {

/// Three VMs and two engines. `engine` has additional arguments of both engines.
struct RunningFleet
{
    explicit RunningFleet(const std::string &config, const std::vector<std::string> &engine = {})
        : fleet(firstPort)
    {
        this->fleet.writeConfig("10-base.ini", config);
        std::uint16_t port = firstPort + 1;
        std::vector<std::string> addresses;
        for (const std::string &id : vmIds) {
            const VmSpec vm{id, "a", port, static_cast<std::uint16_t>(port + 20)};
            this->fleet.addVm(vm);
            addresses.push_back(vm.gatewayAddress());
            ++port;
        }
        this->fleet.setVmList(vmIds);
        this->fleet.startPlatform();
        this->fleet.startBackendServer("engine", "e1", 24290, engine);
        this->fleet.startBackendServer("engine", "e2", 24291, engine);
        for (const std::string &vm : vmIds) {
            startVm(this->fleet, vm);
        }
        this->balancer = std::make_unique<Balancer>(this->fleet.http(), addresses);
        const bool ready = eventually(startLimit, [this] {
            return !this->balancer->pick(0).empty() && hasOwners(this->fleet, "a1")
                    && hasOwners(this->fleet, "a2") && hasOwners(this->fleet, "a3");
        });
        REQUIRE(ready);
        sleepFor(Millis(4'000)); // Until owners have their votes and the handover wait is over.
    }

    FleetFixture fleet;
    std::unique_ptr<Balancer> balancer;
};

/// Callers that send requests until stop() or the destructor.
class Callers
{
public:
    explicit Callers(Balancer &balancer)
    {
        for (std::size_t caller = 0; caller < callerCount; ++caller) {
            this->threads.emplace_back([this, &balancer, caller] {
                sendRequests(balancer, caller, this->stopping, this->tally);
            });
        }
    }
    ~Callers() { this->stop(); }
    Callers(const Callers &) = delete;
    Callers &operator=(const Callers &) = delete;

    void stop()
    {
        this->stopping = true;
        for (std::thread &thread : this->threads) {
            thread.join();
        }
        this->threads.clear();
    }

    RequestTally tally;

private:
    std::atomic<bool> stopping{false};
    std::vector<std::thread> threads;
};

void printFaults(const RequestTally &tally)
{
    constexpr std::size_t maxPrinted = 20;
    for (std::size_t i = 0; i < std::min(tally.faults.size(), maxPrinted); ++i) {
        WARN(tally.faults[i]);
    }
    WARN("requests sent=" << tally.sent << " whole=" << tally.complete
                          << " cut or refused=" << tally.faults.size());
}

} // namespace

// Guards against requests that fail or are cut off while operators replace VMs.
TEST_CASE("all VMs are replaced one after another under load")
{
    RunningFleet running(configText);
    Callers callers(*running.balancer);
    sleepFor(Millis(3'000));
    REQUIRE(callers.tally.complete > 0);
    for (const std::string &vm : vmIds) {
        replaceVm(running.fleet, vm);
        CHECK(eventually(startLimit, [&] { return hasOwners(running.fleet, vm); }));
        sleepFor(Millis(3'000));
    }
    callers.stop();
    printFaults(callers.tally);
    CHECK(callers.tally.sent > 50);
    REQUIRE(callers.tally.faults.empty());
    REQUIRE(callers.tally.complete == callers.tally.sent);
}

// Guards against an owner that was paused, resumes and unloads adapters under running requests by
// its outdated view, with engines that check fencing numbers and with engines that don't.
TEST_CASE("an owner that dies or resumes after a pause cuts off no response")
{
    const std::string checks = "[backend-server e1]\nchecks-fencing = true\n"
                               "[backend-server e2]\nchecks-fencing = true\n";
    // Two slots for six adapters keep the owners loading and unloading.
    const std::string slots = "[backend-server e1]\nslots = 2\n[backend-server e2]\nslots = 2\n";
    const bool checksFencing = GENERATE(true, false);
    CAPTURE(checksFencing);
    std::vector<std::string> engine = {"--slots", "2", "--load-ms", "100"};
    if (checksFencing) {
        engine.emplace_back("--check-fencing");
    }
    RunningFleet running(configText, engine);
    running.fleet.writeConfig("20-slots.ini", slots);
    if (checksFencing) {
        running.fleet.writeConfig("30-checks.ini", checks);
    }
    running.fleet.publish();
    sleepFor(Millis(1'000));
    const std::string owner = running.fleet.ownerOf("e1", "a1");
    REQUIRE_FALSE(owner.empty());
    Callers callers(*running.balancer);
    sleepFor(Millis(2'000));
    running.fleet.controller(owner).pause();
    sleepFor(Millis(8'000));
    running.fleet.controller(owner).resume();
    sleepFor(Millis(4'000));
    running.fleet.controller(owner).killNow();
    sleepFor(Millis(6'000));
    callers.stop();
    printFaults(callers.tally);
    // Requests may be refused while there is no owner, but no response may be incomplete.
    for (const std::string &fault : callers.tally.faults) {
        CHECK(fault.find("status ") != std::string::npos);
    }
    REQUIRE(callers.tally.complete > 0);
}
