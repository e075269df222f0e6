#include "process_fixture.h"

#include <catch2/catch.hpp>

using namespace balsamport;
using namespace balsamport::testing;

namespace {

constexpr std::uint16_t firstPort = 24100;
constexpr Millis inForceLimit{10'000};
constexpr Millis takeoverLimit{15'000};

const std::string baseText = "[data-centre a]\nregion = r1\n"
                             "[data-centre b]\nregion = r1\n"
                             "[backend-server e1]\naddress = 127.0.0.1:24190\ndata-centre = a\n"
                             "base = citrus\n"
                             "[adapter burn-plan]\nbase = citrus\nversions = 1\n"
                             "[limits]\nhandover-wait = 1000\nview-lifetime = 600\n";

/// Three VMs in data centre a, two in b.
void addVms(FleetFixture &fleet)
{
    std::uint16_t port = firstPort + 1;
    for (const char *id : {"a1", "a2", "a3", "b1", "b2"}) {
        fleet.addVm({id, std::string(1, id[0]), port, static_cast<std::uint16_t>(port + 20)});
        ++port;
    }
    fleet.setVmList({"a1", "a2", "a3", "b1", "b2"});
}

const std::vector<std::string> allVms = {"a1", "a2", "a3", "b1", "b2"};

bool allHaveRevision(FleetFixture &fleet, const std::vector<std::string> &vms,
                     std::uint64_t revision)
{
    return std::all_of(vms.begin(), vms.end(),
                       [&](const std::string &vm) { return fleet.revisionAt(vm) == revision; });
}

/// Waits until a revision is in force at all VMs; on a timeout prints their configuration logs.
bool comesInForce(FleetFixture &fleet, const std::vector<std::string> &vms, std::uint64_t revision)
{
    if (eventually(inForceLimit, [&] { return allHaveRevision(fleet, vms, revision); })) {
        return true;
    }
    for (const std::string &vm : vms) {
        std::istringstream log(fleet.controller(vm).logText());
        std::string line;
        std::string text = vm + " has revision " + std::to_string(fleet.revisionAt(vm)) + "\n";
        while (std::getline(log, line)) {
            if (line.find("config: ") != std::string::npos) {
                text += line + "\n";
            }
        }
        WARN(text);
    }
    return false;
}

bool isEffective(FleetFixture &fleet, const std::string &vm, const std::string &server)
{
    const auto status = fleet.status(vm);
    if (!status) {
        return false;
    }
    return std::any_of(status->servers().begin(), status->servers().end(),
                       [&server](const wire::ServerStatus &entry) {
                           return entry.backend_server() == server && entry.effective();
                       });
}

std::string effectiveOwner(FleetFixture &fleet, const std::vector<std::string> &vms)
{
    std::string owner;
    for (const std::string &vm : vms) {
        if (isEffective(fleet, vm, "e1")) {
            CHECK(owner.empty()); // Never two at once.
            owner = vm;
        }
    }
    return owner;
}

std::string waitForOwner(FleetFixture &fleet, const std::vector<std::string> &vms)
{
    std::string owner;
    eventually(takeoverLimit, [&] {
        owner = effectiveOwner(fleet, vms);
        return !owner.empty();
    });
    return owner;
}

std::vector<std::string> without(std::vector<std::string> vms, const std::string &vm)
{
    vms.erase(std::remove(vms.begin(), vms.end(), vm), vms.end());
    return vms;
}

} // namespace

// Guards against VMs that miss a revision or revert to an older one, also while the platform fails.
TEST_CASE("configuration comes in force everywhere and never reverts")
{
    FleetFixture fleet(firstPort);
    fleet.writeConfig("10-base.ini", baseText);
    addVms(fleet);
    fleet.startPlatform();
    for (const std::string &vm : allVms) {
        fleet.startController(vm);
    }
    REQUIRE(comesInForce(fleet, allVms, 1));

    SECTION("a month-end override is added and removed")
    {
        fleet.writeConfig("90-month-end.ini", "[limits]\nrequest-timeout = 90000\n");
        fleet.publish();
        REQUIRE(comesInForce(fleet, allVms, 2));
        fleet.removeConfig("90-month-end.ini");
        fleet.publish();
        REQUIRE(comesInForce(fleet, allVms, 3));
    }

    SECTION("a replayed old revision is ignored, a refused one leaves the last one in force")
    {
        fleet.writeConfig("20-more.ini", "[limits]\ngather-time = 5\n");
        fleet.publish();
        REQUIRE(comesInForce(fleet, allVms, 2));
        fleet.setMode("replay=1");
        sleepFor(Millis(1'500));
        REQUIRE(allHaveRevision(fleet, allVms, 2));
        fleet.setMode("replay=0");
        fleet.writeConfig("30-faulty.ini", "[limits]\ngather-time = much\n");
        fleet.publish();
        const auto refusedAt = [&](const std::string &vm) {
            const auto status = fleet.status(vm);
            return status && status->last_refused().find("revision 3") != std::string::npos;
        };
        REQUIRE(eventually(inForceLimit,
                           [&] { return std::any_of(allVms.begin(), allVms.end(), refusedAt); }));
        sleepFor(Millis(500));
        REQUIRE(allHaveRevision(fleet, allVms, 2));
        fleet.removeConfig("30-faulty.ini");
        fleet.writeConfig("20-more.ini", "[limits]\ngather-time = 6\n");
        fleet.publish();
        REQUIRE(comesInForce(fleet, allVms, 4));
    }

    SECTION("a VM that starts while the platform fails gets the configuration from its peers")
    {
        for (const char *mode : {"down=1", "down=0&garbage=1", "garbage=0&slow_ms=5000"}) {
            CAPTURE(mode);
            fleet.setMode(mode);
            fleet.controller("a3").killNow();
            REQUIRE(fleet.controller("a3").waitForExit(Millis(2'000)).has_value());
            fleet.startController("a3");
            REQUIRE(eventually(inForceLimit, [&] { return fleet.revisionAt("a3") == 1; }));
        }
        fleet.setMode("slow_ms=0");
        fleet.writeConfig("20-more.ini", "[limits]\ngather-time = 5\n");
        fleet.publish();
        REQUIRE(comesInForce(fleet, allVms, 2));
    }
}

// Guards against a backend server with two owners or none after its owner dies, pauses or drains.
TEST_CASE("a backend server has one effective owner")
{
    FleetFixture fleet(firstPort);
    fleet.writeConfig("10-base.ini", baseText);
    addVms(fleet);
    fleet.startPlatform();
    for (const std::string &vm : allVms) {
        fleet.startController(vm);
    }
    const std::vector<std::string> candidates = {"a1", "a2", "a3"};
    const std::string owner = waitForOwner(fleet, candidates);
    REQUIRE_FALSE(owner.empty());
    const std::vector<std::string> others = without(candidates, owner);

    SECTION("after the owner was killed another VM takes over")
    {
        fleet.controller(owner).killNow();
        const std::string next = waitForOwner(fleet, others);
        REQUIRE_FALSE(next.empty());
        REQUIRE(fleet.ownerOf("e1", "b1") != "");

        SECTION("and the first owner takes over again after its restart")
        {
            fleet.startController(owner);
            REQUIRE(eventually(takeoverLimit,
                               [&] { return effectiveOwner(fleet, candidates) == owner; }));
        }
    }

    SECTION("an owner that resumes after a pause of 30 s sends no commands on its old view")
    {
        constexpr Millis pause{30'000};
        const Millis pausedAt = monotonicNow();
        fleet.controller(owner).pause();
        const std::string next = waitForOwner(fleet, others);
        REQUIRE_FALSE(next.empty());
        sleepFor(pausedAt + pause - monotonicNow());
        fleet.controller(owner).resume();
        // effectiveOwner() checks that there are never two.
        REQUIRE(eventually(takeoverLimit,
                           [&] { return effectiveOwner(fleet, candidates) == owner; }));
    }

    SECTION("while the platform is down the owner stays, and another VM takes over once it is "
            "killed")
    {
        fleet.setMode("down=1");
        sleepFor(Millis(2'000));
        REQUIRE(waitForOwner(fleet, candidates) == owner);
        fleet.controller(owner).killNow();
        REQUIRE_FALSE(waitForOwner(fleet, others).empty());
    }

    SECTION("an owner that is stopped hands over and exits with 0")
    {
        fleet.controller(owner).terminate();
        REQUIRE_FALSE(waitForOwner(fleet, others).empty());
        REQUIRE(fleet.controller(owner).waitForExit(Millis(15'000)) == 0);
    }

    SECTION("an owner that is listed as leaving hands over")
    {
        fleet.setVmList(allVms, {owner});
        REQUIRE_FALSE(waitForOwner(fleet, others).empty());
        REQUIRE_FALSE(isEffective(fleet, owner, "e1"));
    }
}

// Guards against a lone VM that owns a backend server beside the other VM of its data centre.
TEST_CASE("one of two VMs of a data centre is lost")
{
    FleetFixture fleet(firstPort);
    fleet.writeConfig("10-base.ini", baseText);
    addVms(fleet);
    fleet.setVmList({"a1", "a2", "b1"});
    fleet.startPlatform();
    const std::vector<std::string> vms = {"a1", "a2"};
    for (const char *vm : {"a1", "a2", "b1"}) {
        fleet.startController(vm);
    }
    const std::string owner = waitForOwner(fleet, vms);
    REQUIRE_FALSE(owner.empty());
    const std::string other = without(vms, owner).front();

    SECTION("the owner stays effective with a fresh list")
    {
        fleet.controller(other).killNow();
        sleepFor(Millis(4'000));
        REQUIRE(isEffective(fleet, owner, "e1"));
    }

    SECTION("the other VM sends no commands until the list drops the owner")
    {
        fleet.controller(owner).killNow();
        REQUIRE(eventually(takeoverLimit, [&] { return fleet.ownerOf("e1", other) == other; }));
        sleepFor(Millis(3'000));
        REQUIRE_FALSE(isEffective(fleet, other, "e1"));
        fleet.setVmList({other, "b1"});
        REQUIRE(waitForOwner(fleet, {other}) == other);
    }
}

// Guards against calls to the platform that grow with the number of VMs.
TEST_CASE("the rate of calls to the platform is independent of the number of VMs")
{
    const auto callsPerSecond = [](int vmsOfEach) {
        FleetFixture fleet(firstPort);
        fleet.writeConfig("10-base.ini", baseText);
        std::vector<std::string> ids;
        std::uint16_t port = firstPort + 1;
        for (const char *dataCentre : {"a", "b"}) {
            for (int i = 0; i < vmsOfEach; ++i) {
                ids.push_back(dataCentre + std::to_string(i));
                fleet.addVm({ids.back(), dataCentre, port, static_cast<std::uint16_t>(port + 20)});
                ++port;
            }
        }
        fleet.setVmList(ids);
        fleet.startPlatform();
        for (const std::string &id : ids) {
            fleet.startController(id);
        }
        REQUIRE(comesInForce(fleet, ids, 1));
        sleepFor(Millis(3'000));
        const auto total = [&fleet] {
            const std::string text = fleet.get(fleet.platformAddress(), "/admin/calls");
            const std::string key = "\"total\":";
            return std::stod(text.substr(text.find(key) + key.size()));
        };
        constexpr double seconds = 6;
        const double before = total();
        sleepFor(Millis(6'000));
        return (total() - before) / seconds;
    };
    const double callsOfFour = callsPerSecond(2);
    const double callsOfTwelve = callsPerSecond(6);
    WARN("capacity: name=platform-calls-4-vms value=" << callsOfFour << " unit=calls/s");
    WARN("capacity: name=platform-calls-12-vms value=" << callsOfTwelve << " unit=calls/s");
    // Two watchers in each of two data centres, each with at most 2 reads of the list and 5 watches
    // a second.
    constexpr double maxCalls = 2 * 2 * (2 + 5);
    REQUIRE(callsOfFour <= maxCalls);
    REQUIRE(callsOfTwelve <= maxCalls);
}
