#include <balsamport/controllers/suspect_client.h>
#include <balsamport/controllers/suspect_controller.h>
#include <balsamport/policy/suspects.h>

#include <catch2/catch.hpp>

#include <chrono>
#include <future>
#include <thread>

using namespace balsamport;

namespace {

CrashReport crash(std::uint64_t fingerprint, const char *request, const char *server,
                  Millis at = Millis(0))
{
    return CrashReport{Fingerprint(fingerprint), RequestId(request), BackendServerId(server), at};
}

} // namespace

// Guards against a request that crashes one backend server after another, and against innocent
// requests that stay suspected because they ran beside it.
TEST_CASE("requests that crash backend servers")
{
    const SuspectLimits limits;
    SuspectTable table;
    const Fingerprint crasher(1);
    const Fingerprint innocent(2);
    REQUIRE(table.requestRun(crasher, RequestId("r1"), Millis(0), limits) == SuspectVerdict::Clear);
    REQUIRE(table.recordCrash(crash(1, "r1", "s1"), limits));
    REQUIRE(table.recordCrash(crash(2, "r2", "s1"), limits));

    SECTION("a crash that a second gateway reports counts once")
    {
        REQUIRE_FALSE(table.recordCrash(crash(1, "r9", "s1", Millis(500)), limits));
        REQUIRE(table.quarantinedCount() == 0);
    }

    SECTION("a suspect runs alone, one run at a time")
    {
        const auto requestRun = [&](const char *request, Millis now) {
            return table.requestRun(crasher, RequestId(request), now, limits);
        };
        REQUIRE(requestRun("r1", Millis(10)) == SuspectVerdict::RunAlone);
        REQUIRE(requestRun("r3", Millis(20)) == SuspectVerdict::Wait);
        REQUIRE(requestRun("r1", Millis(30)) == SuspectVerdict::RunAlone);

        SECTION("a second crash quarantines its fingerprint for every request id")
        {
            REQUIRE(table.recordCrash(crash(1, "r1", "s1", Millis(600)), limits));
            REQUIRE(requestRun("r4", Millis(700)) == SuspectVerdict::Quarantine);
            REQUIRE_FALSE(table.recordFinish(crasher));

            SECTION("until the quarantine time is over")
            {
                const Millis over = Millis(600) + limits.quarantineTime;
                REQUIRE(requestRun("r5", over - Millis(1)) == SuspectVerdict::Quarantine);
                REQUIRE(requestRun("r5", over) == SuspectVerdict::Clear);
                table.expire(over, limits);
                REQUIRE(table.size() == 0);
            }
        }

        SECTION("the end of a run releases the lease")
        {
            table.recordRunEnd(crasher, RequestId("r1"));
            REQUIRE(requestRun("r3", Millis(40)) == SuspectVerdict::RunAlone);
        }

        SECTION("a run whose gateway is dead releases the lease when it expires")
        {
            REQUIRE(requestRun("r3", Millis(30) + limits.runAloneLease)
                    == SuspectVerdict::RunAlone);
        }
    }

    SECTION("an innocent request is cleared when it finishes")
    {
        REQUIRE(table.requestRun(innocent, RequestId("r2"), Millis(10), limits)
                == SuspectVerdict::RunAlone);
        REQUIRE(table.recordFinish(innocent));
        REQUIRE(table.verdictFor(innocent, Millis(20), limits) == SuspectVerdict::Clear);
    }

    SECTION("a peer's report adds unknown suspects but no second crash")
    {
        REQUIRE_FALSE(table.recordSuspicion(crash(1, "", "s7", Millis(9'000)), limits));
        REQUIRE(table.quarantinedCount() == 0);
        REQUIRE(table.recordQuarantine(crasher, Millis(10), limits));
        REQUIRE_FALSE(table.recordQuarantine(crasher, Millis(10), limits));
        REQUIRE(table.verdictFor(crasher, Millis(20), limits) == SuspectVerdict::Quarantine);
    }

    SECTION("the table is bounded")
    {
        SuspectLimits small = limits;
        small.capacity = 5;
        for (std::uint64_t i = 0; i < 50; ++i) {
            table.recordCrash(crash(100 + i, "r", "s2", Millis(100 + static_cast<int>(i))), small);
        }
        REQUIRE(table.size() <= small.capacity);
    }

    SECTION("a fingerprint depends on adapter version and body")
    {
        const AdapterRef adapter{BaseModelId("b"), AdapterId("a"), AdapterVersion(1)};
        const AdapterRef newer{BaseModelId("b"), AdapterId("a"), AdapterVersion(2)};
        REQUIRE(fingerprintOf(adapter, "x") == fingerprintOf(adapter, "x"));
        REQUIRE(fingerprintOf(adapter, "x") != fingerprintOf(newer, "x"));
        REQUIRE(fingerprintOf(adapter, "x") != fingerprintOf(adapter, "y"));
    }
}

namespace {

/// Two controllers, each with a gateway, connected by real sockets.
struct SuspectFleet
{
    SuspectFleet()
    {
        auto view = std::make_shared<FleetView>();
        for (int i = 0; i < 2; ++i) {
            const std::string vm = "vm" + std::to_string(i);
            view->members.push_back({{VmId(vm), Incarnation(1)},
                                     MemberState::Alive,
                                     DataCentreId("dc"),
                                     endpointOf(i),
                                     "",
                                     0});
        }
        for (int i = 0; i < 2; ++i) {
            SuspectController &controller = *this->controllers[i];
            controller.update(nullptr, view->members);
            this->servers.push_back(
                    std::move(MessageServer::start(endpointOf(i), {"vm" + std::to_string(i), 1}, {},
                                                   [&controller](const wire::Envelope &message,
                                                                 const ReplySender &reply) {
                                                       controller.handle(message, reply);
                                                   }))
                            .value());
        }
        for (auto &client : this->clients) {
            client->update(view);
            client->start();
        }
    }

    static std::string endpointOf(int vm)
    {
        return "tcp://127.0.0.1:" + std::to_string(23120 + vm);
    }

    void crash(int gateway, std::uint64_t fingerprint, const char *request, const char *server)
    {
        std::promise<void> done;
        this->clients[gateway]->reportCrash({{Fingerprint(fingerprint), RequestId(request)}},
                                            BackendServerId(server), [&done] { done.set_value(); });
        done.get_future().get();
    }

    SuspectVerdict queryVerdict(int gateway, std::uint64_t fingerprint, const char *request)
    {
        std::promise<SuspectVerdict> done;
        this->clients[gateway]->queryVerdict(
                Fingerprint(fingerprint), RequestId(request),
                [&done](SuspectVerdict verdict) { done.set_value(verdict); });
        return done.get_future().get();
    }

    /// Waits up to 5 s for a verdict to arrive on the feed of a gateway.
    bool receivesVerdict(int gateway, std::uint64_t fingerprint, SuspectVerdict verdict)
    {
        constexpr int rounds = 500;
        for (int i = 0; i < rounds; ++i) {
            if (this->clients[gateway]->knownVerdict(Fingerprint(fingerprint)) == verdict) {
                return true;
            }
            std::this_thread::sleep_for(std::chrono::milliseconds(10));
        }
        return false;
    }

    MessageClient messages{{"gateway", 1}, {}};
    MessageClient otherMessages{{"other", 1}, {}};
    std::vector<std::unique_ptr<SuspectController>> controllers = [this] {
        std::vector<std::unique_ptr<SuspectController>> made;
        for (int i = 0; i < 2; ++i) {
            made.push_back(std::make_unique<SuspectController>(
                    this->messages, VmInstance{VmId("vm" + std::to_string(i)), Incarnation(1)}));
        }
        return made;
    }();
    std::vector<std::unique_ptr<MessageServer>> servers;
    std::vector<std::unique_ptr<SuspectClient>> clients = [this] {
        std::vector<std::unique_ptr<SuspectClient>> made;
        made.push_back(std::make_unique<SuspectClient>(this->messages, endpointOf(0)));
        made.push_back(std::make_unique<SuspectClient>(this->otherMessages, endpointOf(1)));
        return made;
    }();
};

} // namespace

// Guards against a crasher that its caller sends again through another gateway.
TEST_CASE("suspects are known at every gateway")
{
    SuspectFleet fleet;
    REQUIRE(fleet.queryVerdict(0, 1, "r1") == SuspectVerdict::Clear);
    fleet.crash(0, 1, "r1", "s1");
    fleet.crash(0, 2, "r2", "s1");
    REQUIRE(fleet.receivesVerdict(1, 1, SuspectVerdict::RunAlone));
    REQUIRE(fleet.receivesVerdict(1, 2, SuspectVerdict::RunAlone));

    SECTION("only one of two gateways may run a suspect at a time")
    {
        REQUIRE(fleet.queryVerdict(0, 1, "r1") == SuspectVerdict::RunAlone);
        REQUIRE(fleet.queryVerdict(1, 1, "r3") == SuspectVerdict::Wait);

        SECTION("a second crash quarantines the suspect at both gateways")
        {
            fleet.crash(0, 1, "r1", "s2");
            REQUIRE(fleet.receivesVerdict(0, 1, SuspectVerdict::Quarantine));
            REQUIRE(fleet.receivesVerdict(1, 1, SuspectVerdict::Quarantine));
            REQUIRE(fleet.queryVerdict(1, 1, "r4") == SuspectVerdict::Quarantine);
        }
        SECTION("the end of its run lets the other gateway run it")
        {
            fleet.clients[0]->reportRunEnd(Fingerprint(1), RequestId("r1"));
            SuspectVerdict verdict = SuspectVerdict::Wait;
            for (int i = 0; i < 100 && verdict == SuspectVerdict::Wait; ++i) {
                verdict = fleet.queryVerdict(1, 1, "r3");
            }
            REQUIRE(verdict == SuspectVerdict::RunAlone);
        }
    }

    SECTION("an innocent request that finishes is cleared at all controllers")
    {
        REQUIRE(fleet.queryVerdict(1, 2, "r2") == SuspectVerdict::RunAlone);
        fleet.clients[1]->reportFinished(Fingerprint(2), RequestId("r2"));
        REQUIRE(fleet.receivesVerdict(0, 2, SuspectVerdict::Clear));
        REQUIRE(fleet.controllers[0]->verdictFor(Fingerprint(2)) == SuspectVerdict::Clear);
    }

    SECTION("a gateway that starts later receives the table")
    {
        MessageClient messages({"late", 1}, {});
        fleet.clients[1] = std::make_unique<SuspectClient>(messages, SuspectFleet::endpointOf(1));
        fleet.clients[1]->start();
        REQUIRE(fleet.receivesVerdict(1, 1, SuspectVerdict::RunAlone));
        fleet.clients.pop_back();
    }
}
