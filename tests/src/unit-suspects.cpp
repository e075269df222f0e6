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

TEST_CASE("requests that crash backend servers")
{
    const SuspectLimits limits;
    SuspectTable table;
    const Fingerprint crasher(1);
    const Fingerprint innocent(2);
    REQUIRE(table.ask(crasher, RequestId("r1"), Millis(0), limits) == SuspectVerdict::Clear);
    REQUIRE(table.noteCrash(crash(1, "r1", "s1"), limits));
    REQUIRE(table.noteCrash(crash(2, "r2", "s1"), limits));

    SECTION("the same crash from another gateway counts once")
    {
        REQUIRE_FALSE(table.noteCrash(crash(1, "r9", "s1", Millis(500)), limits));
        REQUIRE(table.quarantinedCount() == 0);
    }

    SECTION("a suspect runs alone, one at a time")
    {
        const auto ask = [&](const char *request, Millis now) {
            return table.ask(crasher, RequestId(request), now, limits);
        };
        REQUIRE(ask("r1", Millis(10)) == SuspectVerdict::RunAlone);
        REQUIRE(ask("r3", Millis(20)) == SuspectVerdict::Wait);
        REQUIRE(ask("r1", Millis(30)) == SuspectVerdict::RunAlone);

        SECTION("and its second crash quarantines it under whatever request")
        {
            REQUIRE(table.noteCrash(crash(1, "r1", "s1", Millis(600)), limits));
            REQUIRE(ask("r4", Millis(700)) == SuspectVerdict::Quarantine);
            REQUIRE_FALSE(table.noteFinish(crasher));

            SECTION("for a time")
            {
                const Millis over = Millis(600) + limits.quarantineTime;
                REQUIRE(ask("r5", over - Millis(1)) == SuspectVerdict::Quarantine);
                REQUIRE(ask("r5", over) == SuspectVerdict::Clear);
                table.expire(over, limits);
                REQUIRE(table.size() == 0);
            }
        }

        SECTION("a run that ended by itself frees the way")
        {
            table.noteRunEnded(crasher, RequestId("r1"));
            REQUIRE(ask("r3", Millis(40)) == SuspectVerdict::RunAlone);
        }

        SECTION("a run whose gateway has gone frees it after its lease")
        {
            REQUIRE(ask("r3", Millis(30) + limits.aloneLease) == SuspectVerdict::RunAlone);
        }
    }

    SECTION("an innocent is cleared when it ends well")
    {
        REQUIRE(table.ask(innocent, RequestId("r2"), Millis(10), limits)
                == SuspectVerdict::RunAlone);
        REQUIRE(table.noteFinish(innocent));
        REQUIRE(table.look(innocent, Millis(20), limits) == SuspectVerdict::Clear);
    }

    SECTION("a peer's news adds what is not known, and no second crash")
    {
        REQUIRE_FALSE(table.noteSuspicion(crash(1, "", "s7", Millis(9'000)), limits));
        REQUIRE(table.quarantinedCount() == 0);
        REQUIRE(table.noteQuarantine(crasher, Millis(10), limits));
        REQUIRE_FALSE(table.noteQuarantine(crasher, Millis(10), limits));
        REQUIRE(table.look(crasher, Millis(20), limits) == SuspectVerdict::Quarantine);
    }

    SECTION("the table is bounded")
    {
        SuspectLimits small = limits;
        small.capacity = 5;
        for (std::uint64_t i = 0; i < 50; ++i) {
            table.noteCrash(crash(100 + i, "r", "s2", Millis(100 + static_cast<int>(i))), small);
        }
        REQUIRE(table.size() <= small.capacity);
    }

    SECTION("a request is known by what it runs")
    {
        const AdapterRef adapter{BaseModelId("b"), AdapterId("a"), AdapterVersion(1)};
        const AdapterRef newer{BaseModelId("b"), AdapterId("a"), AdapterVersion(2)};
        REQUIRE(fingerprintOf(adapter, "x") == fingerprintOf(adapter, "x"));
        REQUIRE(fingerprintOf(adapter, "x") != fingerprintOf(newer, "x"));
        REQUIRE(fingerprintOf(adapter, "x") != fingerprintOf(adapter, "y"));
    }
}

namespace {

/// Two controllers and a gateway beside each, over real sockets.
struct SuspectFleet
{
    SuspectFleet()
    {
        auto seen = std::make_shared<FleetView>();
        for (int i = 0; i < 2; ++i) {
            const std::string vm = "vm" + std::to_string(i);
            seen->members.push_back({{VmId(vm), Incarnation(1)},
                                     MemberState::Alive,
                                     DataCentreId("dc"),
                                     endpointOf(i),
                                     "",
                                     0});
        }
        for (int i = 0; i < 2; ++i) {
            SuspectController &controller = *this->controllers[i];
            controller.update(nullptr, seen->members);
            this->servers.push_back(
                    std::move(MessageServer::start(endpointOf(i), {"vm" + std::to_string(i), 1}, {},
                                                   [&controller](const wire::Envelope &message,
                                                                 const ReplySender &reply) {
                                                       controller.handle(message, reply);
                                                   }))
                            .value());
        }
        for (auto &client : this->clients) {
            client->update(seen);
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

    SuspectVerdict ask(int gateway, std::uint64_t fingerprint, const char *request)
    {
        std::promise<SuspectVerdict> done;
        this->clients[gateway]->queryVerdict(
                Fingerprint(fingerprint), RequestId(request),
                [&done](SuspectVerdict verdict) { done.set_value(verdict); });
        return done.get_future().get();
    }

    /// Waits until the feed has brought a verdict to a gateway.
    bool seesSoon(int gateway, std::uint64_t fingerprint, SuspectVerdict verdict)
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

TEST_CASE("suspects are known at every gateway")
{
    SuspectFleet fleet;
    REQUIRE(fleet.ask(0, 1, "r1") == SuspectVerdict::Clear);
    fleet.crash(0, 1, "r1", "s1");
    fleet.crash(0, 2, "r2", "s1");
    REQUIRE(fleet.seesSoon(1, 1, SuspectVerdict::RunAlone));
    REQUIRE(fleet.seesSoon(1, 2, SuspectVerdict::RunAlone));

    SECTION("only one of two gateways may run a suspect")
    {
        REQUIRE(fleet.ask(0, 1, "r1") == SuspectVerdict::RunAlone);
        REQUIRE(fleet.ask(1, 1, "r3") == SuspectVerdict::Wait);

        SECTION("and its second crash quarantines it everywhere")
        {
            fleet.crash(0, 1, "r1", "s2");
            REQUIRE(fleet.seesSoon(0, 1, SuspectVerdict::Quarantine));
            REQUIRE(fleet.seesSoon(1, 1, SuspectVerdict::Quarantine));
            REQUIRE(fleet.ask(1, 1, "r4") == SuspectVerdict::Quarantine);
        }
        SECTION("and its end frees the way")
        {
            fleet.clients[0]->reportRunEnd(Fingerprint(1), RequestId("r1"));
            SuspectVerdict verdict = SuspectVerdict::Wait;
            for (int i = 0; i < 100 && verdict == SuspectVerdict::Wait; ++i) {
                verdict = fleet.ask(1, 1, "r3");
            }
            REQUIRE(verdict == SuspectVerdict::RunAlone);
        }
    }

    SECTION("an innocent that ends well is cleared everywhere")
    {
        REQUIRE(fleet.ask(1, 2, "r2") == SuspectVerdict::RunAlone);
        fleet.clients[1]->reportFinished(Fingerprint(2), RequestId("r2"));
        REQUIRE(fleet.seesSoon(0, 2, SuspectVerdict::Clear));
        REQUIRE(fleet.controllers[0]->look(Fingerprint(2)) == SuspectVerdict::Clear);
    }

    SECTION("a gateway that starts later is told")
    {
        MessageClient messages({"late", 1}, {});
        fleet.clients[1] = std::make_unique<SuspectClient>(messages, SuspectFleet::endpointOf(1));
        fleet.clients[1]->start();
        REQUIRE(fleet.seesSoon(1, 1, SuspectVerdict::RunAlone));
        fleet.clients.pop_back();
    }
}
