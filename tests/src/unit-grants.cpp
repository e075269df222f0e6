#include <balsamport/controllers/engine_client.h>
#include <balsamport/controllers/grant_client.h>
#include <balsamport/controllers/grant_controller.h>
#include <balsamport/core/hash.h>
#include <balsamport/wire/convert.h>

#include <catch2/catch.hpp>

#include <map>
#include <set>

using namespace balsamport;

// Guards against grants and loads without authority, evictions of adapters in use, and grants that
// are lost when the owner of a backend server changes, a gateway restarts or an engine crashes.

namespace {

const AdapterRef burnPlan{BaseModelId("citrus-8b"), AdapterId("burn-plan"), AdapterVersion(3)};
const AdapterRef stock{BaseModelId("citrus-8b"), AdapterId("stock"), AdapterVersion(1)};
constexpr Millis longDeadline{30'000};

/// Engines whose loads end when the test calls finish().
struct FakeEngines
{
    struct PendingLoad
    {
        AdapterLoadCommand order;
        std::function<void(LoadOutcome)> done;
    };
    std::vector<PendingLoad> loads;
    std::map<std::string, std::set<AdapterRef>> resident; ///< By address.
    std::uint64_t fencing = 41;

    EngineOperations orders()
    {
        EngineOperations orders;
        orders.load
                = [this](const AdapterLoadCommand &order, std::function<void(LoadOutcome)> done) {
                      this->loads.push_back({order, std::move(done)});
                  };
        orders.report = [this](const std::string &address,
                               const std::function<void(Result<EngineLoadReport>)> &done) {
            EngineLoadReport report;
            report.start = "run-1";
            report.taken = monotonicNow();
            report.fencing = FencingNumber(this->fencing);
            const auto &adapters = this->resident[address];
            report.resident.assign(adapters.begin(), adapters.end());
            done(report);
        };
        return orders;
    }

    void finish(std::size_t index, LoadOutcome outcome)
    {
        const PendingLoad load = this->loads.at(index);
        if (outcome == LoadOutcome::Loaded) {
            this->resident[load.order.address].insert(load.order.adapter);
        }
        load.done(outcome);
    }
};

/// Delivers messages in the same thread, so that each step has its effect before the call returns.
struct FakeNetwork
{
    /// By endpoint; null if it does not reply.
    std::map<std::string, GrantController *> controllers;
    std::uint64_t incarnation = 5;
    int requestsWithoutReply = 0;

    PeerMessages from(const std::string &vm)
    {
        PeerMessages peers;
        peers.request = [this, vm](const std::string &endpoint, wire::Envelope message, Millis,
                                   const ReplyHandler &handler) {
            GrantController *controller = this->controllers[endpoint];
            if (controller == nullptr) {
                ++this->requestsWithoutReply;
                handler(Error{ErrorCode::Timeout, "silent"});
                return;
            }
            this->stamp(vm, message);
            controller->handle(message, [handler](const wire::Envelope &reply) {
                if (reply.has_error()) {
                    handler(fromWire(reply.error()));
                } else {
                    handler(reply);
                }
            });
        };
        peers.notify = [this, vm](const std::string &endpoint, wire::Envelope message) {
            GrantController *controller = this->controllers[endpoint];
            if (controller != nullptr) {
                this->stamp(vm, message);
                controller->handle(message, [](const wire::Envelope &) {});
            }
        };
        return peers;
    }

    void stamp(const std::string &vm, wire::Envelope &message) const
    {
        message.mutable_sender()->set_vm(vm);
        message.mutable_sender()->set_incarnation(this->incarnation);
    }
};

SnapshotPtr makeSnapshot(std::uint32_t engines, std::uint32_t slots)
{
    auto snapshot = std::make_shared<Snapshot>();
    DataCentreConfig dataCentre;
    dataCentre.id = DataCentreId("dc1");
    dataCentre.region = RegionId("north");
    dataCentre.hasWeightStore = true;
    snapshot->dataCentres[dataCentre.id] = dataCentre;
    for (std::uint32_t i = 1; i <= engines; ++i) {
        BackendServerConfig server;
        server.id = BackendServerId("engine-" + std::to_string(i));
        server.address = "127.0.0.1:" + std::to_string(22000 + i);
        server.dataCentre = dataCentre.id;
        server.base = burnPlan.base;
        server.adapterSlots = slots;
        server.batchWidth = 4;
        snapshot->backendServers[server.id] = server;
    }
    BackendServerConfig bookings;
    bookings.id = BackendServerId("bookings-1");
    bookings.kind = BackendServerKind::Service;
    bookings.address = "127.0.0.1:22100";
    bookings.dataCentre = dataCentre.id;
    bookings.service = ServiceId("bookings");
    snapshot->backendServers[bookings.id] = bookings;
    snapshot->limits.gatherTime = Millis(0);
    return snapshot;
}

std::shared_ptr<FleetView> fleetOwnedBy(const Snapshot &snapshot, const std::string &endpoint)
{
    auto fleet = std::make_shared<FleetView>();
    for (const auto &[id, server] : snapshot.backendServers) {
        fleet->owners.push_back({id, VmId("vm1"), endpoint});
    }
    fleet->members.resize(2);
    return fleet;
}

std::vector<ServerOwnership> ownershipOf(const Snapshot &snapshot, OwnerAuthority authority)
{
    const Millis now = monotonicNow();
    std::vector<ServerOwnership> servers;
    for (const auto &[id, server] : snapshot.backendServers) {
        servers.push_back(
                {id, authority, FencingNumber(7), now - Millis(60'000), now + longDeadline});
    }
    return servers;
}

/// The result of a call of acquire().
struct AcquireResult
{
    int calls = 0;
    std::optional<AcquiredGrant> acquired;
    std::optional<Error> error;
};

GrantQuery queryFor(const std::string &request, const AdapterRef &adapter)
{
    GrantQuery query;
    query.request = RequestId(request);
    query.adapter = adapter;
    query.deadline = monotonicNow() + longDeadline;
    return query;
}

GrantHandler into(AcquireResult &outcome)
{
    return [&outcome](const Result<AcquiredGrant> &acquired, Millis) {
        ++outcome.calls;
        if (acquired.has_value()) {
            outcome.acquired = acquired.value();
        } else {
            outcome.error = acquired.error();
        }
    };
}

} // namespace

TEST_CASE("a gateway acquires grants from the owner of a backend server")
{
    FakeEngines engines;
    FakeNetwork network;
    const std::string endpoint = "tcp://127.0.0.1:22001";
    const SnapshotPtr snapshot = makeSnapshot(1, 2);
    const std::string address = "127.0.0.1:22001";
    GrantController controller(VmId("vm1"), engines.orders(), network.from("vm1"));
    network.controllers[endpoint] = &controller;
    GrantClient client(VmId("vm2"), DataCentreId("dc1"), network.from("vm2"));
    const auto fleet = fleetOwnedBy(*snapshot, endpoint);
    client.update(snapshot, fleet);
    controller.update(snapshot, ownershipOf(*snapshot, OwnerAuthority::Full), fleet);

    SECTION("a request for a resident adapter is granted without delay")
    {
        engines.resident[address] = {burnPlan};
        controller.tick(monotonicNow());
        AcquireResult outcome;
        client.acquire(queryFor("r1", burnPlan), into(outcome));
        REQUIRE(outcome.acquired.has_value());
        REQUIRE(outcome.acquired->address == address);
        REQUIRE(outcome.acquired->fencing == FencingNumber(42));
        REQUIRE(outcome.calls == 1);
        REQUIRE(client.held() == 1);

        SECTION("and a released grant frees its position")
        {
            client.release(outcome.acquired->backendServer, outcome.acquired->grant,
                           ReleaseReason::Finished);
            REQUIRE(client.held() == 0);
            wire::StatusReply status;
            controller.fillStatus(status);
            for (const auto &server : status.servers()) {
                REQUIRE(server.running() == 0);
            }
        }
    }

    SECTION("a request that must run alone shares the engine with no other")
    {
        engines.resident[address] = {burnPlan, stock};
        controller.tick(monotonicNow());
        GrantQuery suspect = queryFor("r1", burnPlan);
        suspect.runAlone = true;
        AcquireResult alone;
        client.acquire(suspect, into(alone));
        REQUIRE(alone.acquired.has_value());
        REQUIRE(alone.acquired->suspect);
        AcquireResult concurrent;
        client.acquire(queryFor("r2", stock), into(concurrent));
        REQUIRE(concurrent.calls == 0);

        SECTION("until it is released")
        {
            client.release(alone.acquired->backendServer, alone.acquired->grant,
                           ReleaseReason::Finished);
            REQUIRE(concurrent.acquired.has_value());
        }
        SECTION("also after a change of the owner")
        {
            GrantController newOwner(VmId("vm3"), engines.orders(), network.from("vm3"));
            const std::string newEndpoint = "tcp://127.0.0.1:22003";
            network.controllers[newEndpoint] = &newOwner;
            const auto newFleet = fleetOwnedBy(*snapshot, newEndpoint);
            newOwner.update(snapshot, ownershipOf(*snapshot, OwnerAuthority::Handover), newFleet);
            client.update(snapshot, newFleet);
            newOwner.update(snapshot, ownershipOf(*snapshot, OwnerAuthority::Full), newFleet);
            newOwner.tick(monotonicNow());
            AcquireResult later;
            client.acquire(queryFor("r3", stock), into(later));
            REQUIRE(later.calls == 0);
        }
    }

    SECTION("an engine that a gateway reported as crashed gets no request before it responds again")
    {
        engines.resident[address] = {burnPlan};
        controller.tick(monotonicNow());
        AcquireResult first;
        client.acquire(queryFor("r1", burnPlan), into(first));
        REQUIRE(first.acquired.has_value());
        client.release(first.acquired->backendServer, first.acquired->grant,
                       ReleaseReason::ServerCrashed);
        GrantClient other(VmId("vm3"), DataCentreId("dc1"), network.from("vm3"));
        other.update(snapshot, fleet);
        AcquireResult refused;
        other.acquire(queryFor("r2", burnPlan), into(refused));
        REQUIRE(refused.error.has_value());
        REQUIRE(refused.error->code == ErrorCode::NoBackendServer);

        controller.tick(monotonicNow());
        AcquireResult served;
        other.acquire(queryFor("r3", burnPlan), into(served));
        REQUIRE(served.acquired.has_value());
    }

    SECTION("an adapter that is not resident is loaded once for all its requests")
    {
        controller.tick(monotonicNow());
        AcquireResult first;
        AcquireResult second;
        client.acquire(queryFor("r1", burnPlan), into(first));
        client.acquire(queryFor("r2", burnPlan), into(second));
        REQUIRE(first.calls == 0);
        REQUIRE(engines.loads.size() == 1);
        REQUIRE(engines.loads[0].order.adapter == burnPlan);
        REQUIRE(engines.loads[0].order.fencing == FencingNumber(42));
        engines.finish(0, LoadOutcome::Loaded);
        REQUIRE(first.acquired.has_value());
        REQUIRE(second.acquired.has_value());
        REQUIRE(engines.loads.size() == 1);
    }

    SECTION("a pinned adapter is never evicted")
    {
        const AdapterRef third{burnPlan.base, AdapterId("third"), AdapterVersion(1)};
        engines.resident[address] = {burnPlan, stock};
        controller.tick(monotonicNow());
        AcquireResult held;
        client.acquire(queryFor("r1", burnPlan), into(held));
        REQUIRE(held.acquired.has_value());
        AcquireResult waiting;
        client.acquire(queryFor("r2", third), into(waiting));
        REQUIRE(engines.loads.size() == 1);
        REQUIRE(engines.loads[0].order.evictionCandidate == stock);

        SECTION("and a request waits while all adapters are pinned")
        {
            engines.finish(0, LoadOutcome::Loaded);
            REQUIRE(waiting.acquired.has_value());
            AcquireResult blocked;
            client.acquire(queryFor("r3", stock), into(blocked));
            REQUIRE(engines.loads.size() == 1);
            REQUIRE(blocked.calls == 0);
            client.release(held.acquired->backendServer, held.acquired->grant,
                           ReleaseReason::Finished);
            REQUIRE(engines.loads.size() == 2);
            REQUIRE(engines.loads[1].order.evictionCandidate == burnPlan);
        }
    }

    SECTION("a cancelled request gets no grant")
    {
        controller.tick(monotonicNow());
        AcquireResult outcome;
        client.acquire(queryFor("r1", burnPlan), into(outcome));
        client.cancel(RequestId("r1"));
        REQUIRE(outcome.error->code == ErrorCode::CallerGone);
        engines.finish(0, LoadOutcome::Loaded);
        REQUIRE(outcome.calls == 1);
        REQUIRE(client.held() == 0);
    }

    SECTION("without a confirmed view only resident adapters are granted and none is loaded")
    {
        engines.resident[address] = {burnPlan};
        controller.update(snapshot, ownershipOf(*snapshot, OwnerAuthority::GrantsOnly), fleet);
        controller.tick(monotonicNow());
        AcquireResult resident;
        client.acquire(queryFor("r1", burnPlan), into(resident));
        REQUIRE(resident.acquired.has_value());
        AcquireResult cold;
        client.acquire(queryFor("r2", stock), into(cold));
        REQUIRE(engines.loads.empty());
    }

    SECTION("an expired confirmation stops loads")
    {
        auto servers = ownershipOf(*snapshot, OwnerAuthority::Full);
        for (ServerOwnership &server : servers) {
            server.confirmedUntil = monotonicNow();
        }
        controller.update(snapshot, servers, fleet);
        controller.tick(monotonicNow());
        AcquireResult cold;
        client.acquire(queryFor("r1", stock), into(cold));
        REQUIRE(engines.loads.empty());
    }

    SECTION("a new owner adopts the grants that gateways announce")
    {
        engines.resident[address] = {burnPlan, stock};
        controller.tick(monotonicNow());
        AcquireResult held;
        client.acquire(queryFor("r1", burnPlan), into(held));
        REQUIRE(held.acquired.has_value());
        GrantController newOwner(VmId("vm3"), engines.orders(), network.from("vm3"));
        const std::string newEndpoint = "tcp://127.0.0.1:22003";
        network.controllers[newEndpoint] = &newOwner;
        const auto newFleet = fleetOwnedBy(*snapshot, newEndpoint);
        newOwner.update(snapshot, ownershipOf(*snapshot, OwnerAuthority::Handover), newFleet);
        client.update(snapshot, newFleet);
        newOwner.update(snapshot, ownershipOf(*snapshot, OwnerAuthority::Full), newFleet);
        newOwner.tick(monotonicNow());
        const AdapterRef third{burnPlan.base, AdapterId("third"), AdapterVersion(1)};
        AcquireResult waiting;
        client.acquire(queryFor("r2", third), into(waiting));
        REQUIRE(engines.loads.size() == 1);
        REQUIRE(engines.loads[0].order.evictionCandidate == stock);
    }

    SECTION("grants of an earlier run of a gateway end with a message of the next run")
    {
        engines.resident[address] = {burnPlan};
        controller.tick(monotonicNow());
        AcquireResult held;
        client.acquire(queryFor("r1", burnPlan), into(held));
        network.incarnation = 6;
        GrantClient next(VmId("vm2"), DataCentreId("dc1"), network.from("vm2"));
        next.update(snapshot, fleet);
        AcquireResult second;
        next.acquire(queryFor("r2", burnPlan), into(second));
        wire::StatusReply status;
        controller.fillStatus(status);
        std::uint32_t running = 0;
        for (const auto &server : status.servers()) {
            running += server.running();
        }
        REQUIRE(running == 1);
    }

    SECTION("after an owner that does not reply, another backend server is used")
    {
        const SnapshotPtr two = makeSnapshot(2, 2);
        auto split = std::make_shared<FleetView>(*fleetOwnedBy(*two, endpoint));
        for (Owner &owner : split->owners) {
            if (owner.backendServer == BackendServerId("engine-2")) {
                owner.controllerEndpoint = "tcp://127.0.0.1:22009";
            }
        }
        client.update(two, split);
        controller.update(two, ownershipOf(*two, OwnerAuthority::Full), split);
        controller.tick(monotonicNow());
        for (int i = 0; i < 6; ++i) {
            const std::string name = "adapter-" + std::to_string(i);
            engines.resident[address] = {{burnPlan.base, AdapterId(name), AdapterVersion(1)}};
            AcquireResult outcome;
            client.acquire(queryFor(name, *engines.resident[address].begin()), into(outcome));
            if (!outcome.acquired) {
                engines.finish(engines.loads.size() - 1, LoadOutcome::Loaded);
            }
            REQUIRE(outcome.acquired->backendServer == BackendServerId("engine-1"));
            client.release(outcome.acquired->backendServer, outcome.acquired->grant,
                           ReleaseReason::Finished);
        }
        REQUIRE(network.requestsWithoutReply == 1);
    }

    SECTION("a request for a plain service gets its least loaded replica, without an owner")
    {
        GrantQuery query = queryFor("r1", {});
        query.service = ServiceId("bookings");
        AcquireResult outcome;
        client.acquire(query, into(outcome));
        REQUIRE(outcome.acquired->address == "127.0.0.1:22100");
        query.request = RequestId("r2");
        query.exclude = {outcome.acquired->backendServer};
        AcquireResult excluded;
        client.acquire(query, into(excluded));
        REQUIRE(excluded.error->code == ErrorCode::NoBackendServer);
    }
}

TEST_CASE("load reports of engines are validated")
{
    const Millis sent(10'000);

    SECTION("a complete report is parsed")
    {
        const auto report = parseLoadReport(
                R"({"fencing":9,"slots":8,"resident":["citrus-8b/burn-plan@3"],"running":1,)"
                R"("running_adapters":{"citrus-8b/burn-plan@3":2},"start":"s1","age_ms":200})",
                sent);
        REQUIRE(report.has_value());
        REQUIRE(report.value().taken == Millis(9'800));
        REQUIRE(report.value().resident == std::vector<AdapterRef>{burnPlan});
        REQUIRE(report.value().running.at(hashOf(burnPlan)) == 2);
        REQUIRE(report.value().fencing == FencingNumber(9));
    }

    SECTION("a malformed report is a BadResponse")
    {
        for (const char *body : {"", "[]", "{", R"({"resident":3})", R"({"resident":["x"]})",
                                 R"({"resident":[7]})", R"({"resident":["a/b@x"]})"}) {
            const auto report = parseLoadReport(body, sent);
            REQUIRE_FALSE(report.has_value());
            REQUIRE(report.error().code == ErrorCode::BadResponse);
        }
    }
}
