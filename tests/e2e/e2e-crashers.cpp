#include "process_fixture.h"

#include <catch2/catch.hpp>

#include <atomic>
#include <future>
#include <iostream>
#include <mutex>

using namespace balsamport;
using namespace balsamport::testing;

namespace {

constexpr std::uint16_t firstPort = 23700;
constexpr Millis startLimit{60'000};
constexpr int engineCount = 4;
constexpr int sendsPerCrasher = 8;
constexpr int innocentCallers = 4;
constexpr int crashExitCode = 70;
const std::vector<std::string> allVms = {"a1", "a2"};

std::string configText()
{
    std::string text = "[data-centre a]\nregion = r1\nhas-weight-store = true\n"
                       "[adapter burn-plan]\nbase = citrus\nversions = 1\n"
                       "[route burn-plan]\ntarget = burn-plan@1\n"
                       "[limits]\nhandover-wait = 1000\nview-lifetime = 600\n";
    for (int i = 0; i < engineCount; ++i) {
        text += "[backend-server e" + std::to_string(i) + "]\naddress = 127.0.0.1:"
                + std::to_string(firstPort + 90 + i) + "\ndata-centre = a\nbase = citrus\n";
    }
    return text;
}

/// Two VMs and four engines; restartEngines() restarts engines that crashed.
class CrashFleet
{
public:
    CrashFleet()
        : fleet(firstPort)
    {
        std::uint16_t port = firstPort + 1;
        for (const std::string &id : allVms) {
            this->fleet.addVm({id, "a", port, static_cast<std::uint16_t>(port + 20)});
            this->gateways.push_back("127.0.0.1:" + std::to_string(port + 20));
            ++port;
        }
        this->fleet.setVmList(allVms);
        this->fleet.writeConfig("10-base.ini", configText());
        this->fleet.startPlatform();
        for (int i = 0; i < engineCount; ++i) {
            this->startEngine(i);
        }
        for (const std::string &id : allVms) {
            this->fleet.startController(id);
            this->fleet.startGateway(id);
        }
    }

    void startEngine(int number)
    {
        this->fleet.startBackendServer("engine", "e" + std::to_string(number),
                                       static_cast<std::uint16_t>(firstPort + 90 + number),
                                       {"--load-ms", "20", "--token-ms", "5"});
    }

    /// Restarts engines that ended until `stop` is set, and counts those that crashed.
    void restartEngines(const std::atomic<bool> &stop)
    {
        while (!stop) {
            for (int i = 0; i < engineCount; ++i) {
                Process &engine = this->fleet.backendServer("e" + std::to_string(i));
                if (engine.hasEnded()) {
                    this->crashes += engine.waitForExit(Millis(0)) == crashExitCode ? 1 : 0;
                    sleepFor(Millis(300));
                    this->startEngine(i);
                }
            }
            sleepFor(Millis(50));
        }
    }

    HttpResponse sendChat(const std::string &content, std::size_t gateway)
    {
        OutgoingRequest request;
        request.method = "POST";
        request.url = "http://" + this->gateways[gateway % this->gateways.size()]
                + "/v1/chat/completions";
        request.headers = {{"Content-Type", "application/json"}};
        request.body = R"({"model":"burn-plan","max_tokens":40,"messages":[)"
                       R"({"role":"user","content":")"
                + content + R"("}]})";
        request.timeout = Millis(60'000);
        const auto response = this->fleet.http().fetch(std::move(request));
        return response.has_value() ? response.value() : HttpResponse{};
    }

    FleetFixture fleet;
    std::vector<std::string> gateways;
    std::atomic<int> crashes{0};
};

/// Innocent callers, which send requests with a different text each.
class Innocents
{
public:
    Innocents(CrashFleet &fleet, const std::atomic<bool> &stop)
    {
        for (int caller = 0; caller < innocentCallers; ++caller) {
            this->threads.emplace_back([this, &fleet, &stop, caller] {
                for (int i = 0; !stop; ++i) {
                    const HttpResponse response = fleet.sendChat(
                            "frost " + std::to_string(caller) + "-" + std::to_string(i), i);
                    this->record(response);
                }
            });
        }
    }
    void join()
    {
        for (std::thread &thread : this->threads) {
            thread.join();
        }
    }

    std::mutex mutex; ///< Guards the two below.
    int succeeded = 0;
    std::vector<std::string> failed;

private:
    void record(const HttpResponse &response)
    {
        const std::scoped_lock lock(this->mutex);
        if (response.status == 200) {
            ++this->succeeded;
        } else {
            this->failed.push_back(std::to_string(response.status) + " " + response.body);
        }
    }

    std::vector<std::thread> threads;
};

} // namespace

namespace {

/// Sends a crasher repeatedly, through each gateway in turn.
/// @return the status of the last response
int sendCrasher(CrashFleet &fleet, const std::string &content)
{
    int status = 0;
    for (int i = 0; i < sendsPerCrasher; ++i) {
        status = fleet.sendChat(content, static_cast<std::size_t>(i)).status;
        sleepFor(Millis(300));
    }
    return status;
}

/// Runs crashers in parallel among innocent callers, and checks how many engines they crash and
/// which innocent requests fail.
void runCrashers(const std::vector<std::string> &contents)
{
    CrashFleet fleet;
    for (std::size_t gateway = 0; gateway < allVms.size(); ++gateway) {
        REQUIRE(eventually(startLimit,
                           [&] { return fleet.sendChat("hello", gateway).status == 200; }));
    }
    std::atomic<bool> stop{false};
    std::atomic<bool> stopEngines{false};
    std::thread restarter([&] { fleet.restartEngines(stopEngines); });
    Innocents innocents(fleet, stop);
    sleepFor(Millis(500));

    std::vector<std::future<int>> lastStatuses;
    lastStatuses.reserve(contents.size());
    for (const std::string &content : contents) {
        lastStatuses.push_back(
                std::async(std::launch::async, sendCrasher, std::ref(fleet), content));
    }
    std::vector<int> statuses;
    for (std::future<int> &status : lastStatuses) {
        statuses.push_back(status.get());
    }
    sleepFor(Millis(2'000));
    stop = true;
    innocents.join();
    stopEngines = true;
    restarter.join();

    std::cout << "crashers: count=" << contents.size() << " sends-each=" << sendsPerCrasher
              << " crashes=" << fleet.crashes << " innocents-answered=" << innocents.succeeded
              << " innocents-failed=" << innocents.failed.size() << "\n";
    for (const std::string &text : innocents.failed) {
        std::cout << "innocent failed: " << text << "\n";
        UNSCOPED_INFO(text);
    }
    CHECK(fleet.crashes >= 1);
    CHECK(fleet.crashes <= 2 * static_cast<int>(contents.size()));
    CHECK(std::all_of(statuses.begin(), statuses.end(), [](int s) { return s == 422; }));
    CHECK(innocents.succeeded > innocentCallers);
    CHECK(innocents.failed.empty());
}

} // namespace

// Guards against a request that crashes one engine after another when its caller sends it again,
// and against innocent requests that fail because they ran beside it.
TEST_CASE("requests that crash every engine that runs them")
{
    SECTION("one crasher crashes at most two engines, and innocent requests succeed")
    {
        runCrashers({"CRASH-ENGINE now"});
    }
    SECTION("two crashers at the same time crash at most two engines each")
    {
        runCrashers({"CRASH-ENGINE now", "CRASH-ENGINE as well"});
    }
}
