#include <balsamport/controllers/engine_client.h>
#include <balsamport/controllers/grant_client.h>
#include <balsamport/controllers/grant_controller.h>
#include <balsamport/core/hash.h>
#include <balsamport/wire/convert.h>

#include <catch2/catch.hpp>

#include <map>
#include <set>

using namespace balsamport;

namespace {

const AdapterRef burnPlan{BaseModelId("citrus-8b"), AdapterId("burn-plan"), AdapterVersion(3)};
const AdapterRef stock{BaseModelId("citrus-8b"), AdapterId("stock"), AdapterVersion(1)};
constexpr Millis longDeadline{30'000};

/// Engines that answer when the test says so.
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
            const auto &held = this->resident[address];
            report.resident.assign(held.begin(), held.end());
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

/// Delivers messages in the same thread, so that each step is seen at once.
struct FakeNetwork
{
    std::map<std::string, GrantController *> controllers; ///< By endpoint; null: silent.
    std::uint64_t incarnation = 5;
    int unanswered = 0;

    PeerMessages from(const std::string &vm)
    {
        PeerMessages peers;
        peers.request = [this, vm](const std::string &endpoint, wire::Envelope message, Millis,
                                   const ReplyHandler &handler) {
            GrantController *controller = this->controllers[endpoint];
            if (controller == nullptr) {
                ++this->unanswered;
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

/// What a call of acquire() came to.
struct Outcome
{
    int calls = 0;
    std::optional<AcquiredGrant> place;
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

GrantHandler into(Outcome &outcome)
{
    return [&outcome](const Result<AcquiredGrant> &place, Millis) {
        ++outcome.calls;
        if (place.has_value()) {
            outcome.place = place.value();
        } else {
            outcome.error = place.error();
        }
    };
}

} // namespace

TEST_CASE("a gateway gets places from the owner of a backend server")
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

    SECTION("a resident adapter is granted at once")
    {
        engines.resident[address] = {burnPlan};
        controller.tick(monotonicNow());
        Outcome outcome;
        client.acquire(queryFor("r1", burnPlan), into(outcome));
        REQUIRE(outcome.place.has_value());
        REQUIRE(outcome.place->address == address);
        REQUIRE(outcome.place->fencing == FencingNumber(42));
        REQUIRE(outcome.calls == 1);
        REQUIRE(client.held() == 1);

        SECTION("and the place comes back")
        {
            client.release(outcome.place->backendServer, outcome.place->grant,
                           ReleaseReason::Finished);
            REQUIRE(client.held() == 0);
            wire::StatusReply status;
            controller.fillStatus(status);
            for (const auto &server : status.servers()) {
                REQUIRE(server.running() == 0);
            }
        }
    }

    SECTION("a request that must run alone shares the engine with nobody")
    {
        engines.resident[address] = {burnPlan, stock};
        controller.tick(monotonicNow());
        GrantQuery suspect = queryFor("r1", burnPlan);
        suspect.runAlone = true;
        Outcome alone;
        client.acquire(suspect, into(alone));
        REQUIRE(alone.place.has_value());
        REQUIRE(alone.place->suspect);
        Outcome beside;
        client.acquire(queryFor("r2", stock), into(beside));
        REQUIRE(beside.calls == 0);

        SECTION("until it ends")
        {
            client.release(alone.place->backendServer, alone.place->grant, ReleaseReason::Finished);
            REQUIRE(beside.place.has_value());
        }
        SECTION("also after the engine's owner has changed")
        {
            GrantController heir(VmId("vm3"), engines.orders(), network.from("vm3"));
            const std::string heirEndpoint = "tcp://127.0.0.1:22003";
            network.controllers[heirEndpoint] = &heir;
            const auto moved = fleetOwnedBy(*snapshot, heirEndpoint);
            heir.update(snapshot, ownershipOf(*snapshot, OwnerAuthority::Handover), moved);
            client.update(snapshot, moved);
            heir.update(snapshot, ownershipOf(*snapshot, OwnerAuthority::Full), moved);
            heir.tick(monotonicNow());
            Outcome later;
            client.acquire(queryFor("r3", stock), into(later));
            REQUIRE(later.calls == 0);
        }
    }

    SECTION("an engine that a gateway saw die gets nobody before it answers again")
    {
        engines.resident[address] = {burnPlan};
        controller.tick(monotonicNow());
        Outcome first;
        client.acquire(queryFor("r1", burnPlan), into(first));
        REQUIRE(first.place.has_value());
        client.release(first.place->backendServer, first.place->grant,
                       ReleaseReason::ServerCrashed);
        GrantClient other(VmId("vm3"), DataCentreId("dc1"), network.from("vm3"));
        other.update(snapshot, fleet);
        Outcome refused;
        other.acquire(queryFor("r2", burnPlan), into(refused));
        REQUIRE(refused.error.has_value());
        REQUIRE(refused.error->code == ErrorCode::NoBackendServer);

        controller.tick(monotonicNow());
        Outcome served;
        other.acquire(queryFor("r3", burnPlan), into(served));
        REQUIRE(served.place.has_value());
    }

    SECTION("an adapter that is not resident is loaded, and its callers wait for one load")
    {
        controller.tick(monotonicNow());
        Outcome first;
        Outcome second;
        client.acquire(queryFor("r1", burnPlan), into(first));
        client.acquire(queryFor("r2", burnPlan), into(second));
        REQUIRE(first.calls == 0);
        REQUIRE(engines.loads.size() == 1);
        REQUIRE(engines.loads[0].order.adapter == burnPlan);
        REQUIRE(engines.loads[0].order.fencing == FencingNumber(42));
        engines.finish(0, LoadOutcome::Loaded);
        REQUIRE(first.place.has_value());
        REQUIRE(second.place.has_value());
        REQUIRE(engines.loads.size() == 1);
    }

    SECTION("a pinned adapter is never the victim")
    {
        const AdapterRef third{burnPlan.base, AdapterId("third"), AdapterVersion(1)};
        engines.resident[address] = {burnPlan, stock};
        controller.tick(monotonicNow());
        Outcome held;
        client.acquire(queryFor("r1", burnPlan), into(held));
        REQUIRE(held.place.has_value());
        Outcome waiting;
        client.acquire(queryFor("r2", third), into(waiting));
        REQUIRE(engines.loads.size() == 1);
        REQUIRE(engines.loads[0].order.evictionCandidate == stock);

        SECTION("and where all are pinned the request waits")
        {
            engines.finish(0, LoadOutcome::Loaded);
            REQUIRE(waiting.place.has_value());
            Outcome blocked;
            client.acquire(queryFor("r3", stock), into(blocked));
            REQUIRE(engines.loads.size() == 1);
            REQUIRE(blocked.calls == 0);
            client.release(held.place->backendServer, held.place->grant, ReleaseReason::Finished);
            REQUIRE(engines.loads.size() == 2);
            REQUIRE(engines.loads[1].order.evictionCandidate == burnPlan);
        }
    }

    SECTION("a caller that leaves the queue gets no place")
    {
        controller.tick(monotonicNow());
        Outcome outcome;
        client.acquire(queryFor("r1", burnPlan), into(outcome));
        client.cancel(RequestId("r1"));
        REQUIRE(outcome.error->code == ErrorCode::CallerGone);
        engines.finish(0, LoadOutcome::Loaded);
        REQUIRE(outcome.calls == 1);
        REQUIRE(client.held() == 0);
    }

    SECTION("without a confirmed view resident adapters are granted and nothing is loaded")
    {
        engines.resident[address] = {burnPlan};
        controller.update(snapshot, ownershipOf(*snapshot, OwnerAuthority::GrantsOnly), fleet);
        controller.tick(monotonicNow());
        Outcome resident;
        client.acquire(queryFor("r1", burnPlan), into(resident));
        REQUIRE(resident.place.has_value());
        Outcome cold;
        client.acquire(queryFor("r2", stock), into(cold));
        REQUIRE(engines.loads.empty());
    }

    SECTION("a confirmation that has run out stops loads")
    {
        auto servers = ownershipOf(*snapshot, OwnerAuthority::Full);
        for (ServerOwnership &server : servers) {
            server.confirmedUntil = monotonicNow();
        }
        controller.update(snapshot, servers, fleet);
        controller.tick(monotonicNow());
        Outcome cold;
        client.acquire(queryFor("r1", stock), into(cold));
        REQUIRE(engines.loads.empty());
    }

    SECTION("a new owner learns of the grants that gateways hold")
    {
        engines.resident[address] = {burnPlan, stock};
        controller.tick(monotonicNow());
        Outcome held;
        client.acquire(queryFor("r1", burnPlan), into(held));
        REQUIRE(held.place.has_value());
        GrantController heir(VmId("vm3"), engines.orders(), network.from("vm3"));
        const std::string heirEndpoint = "tcp://127.0.0.1:22003";
        network.controllers[heirEndpoint] = &heir;
        const auto moved = fleetOwnedBy(*snapshot, heirEndpoint);
        heir.update(snapshot, ownershipOf(*snapshot, OwnerAuthority::Handover), moved);
        client.update(snapshot, moved);
        heir.update(snapshot, ownershipOf(*snapshot, OwnerAuthority::Full), moved);
        heir.tick(monotonicNow());
        const AdapterRef third{burnPlan.base, AdapterId("third"), AdapterVersion(1)};
        Outcome waiting;
        client.acquire(queryFor("r2", third), into(waiting));
        REQUIRE(engines.loads.size() == 1);
        REQUIRE(engines.loads[0].order.evictionCandidate == stock);
    }

    SECTION("grants of a gateway's earlier run end when the next one speaks")
    {
        engines.resident[address] = {burnPlan};
        controller.tick(monotonicNow());
        Outcome held;
        client.acquire(queryFor("r1", burnPlan), into(held));
        network.incarnation = 6;
        GrantClient next(VmId("vm2"), DataCentreId("dc1"), network.from("vm2"));
        next.update(snapshot, fleet);
        Outcome second;
        next.acquire(queryFor("r2", burnPlan), into(second));
        wire::StatusReply status;
        controller.fillStatus(status);
        std::uint32_t running = 0;
        for (const auto &server : status.servers()) {
            running += server.running();
        }
        REQUIRE(running == 1);
    }

    SECTION("a silent owner costs a try, and another backend server is used")
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
            Outcome outcome;
            client.acquire(queryFor(name, *engines.resident[address].begin()), into(outcome));
            if (!outcome.place) {
                engines.finish(engines.loads.size() - 1, LoadOutcome::Loaded);
            }
            REQUIRE(outcome.place->backendServer == BackendServerId("engine-1"));
            client.release(outcome.place->backendServer, outcome.place->grant,
                           ReleaseReason::Finished);
        }
        REQUIRE(network.unanswered == 1);
    }

    SECTION("a plain service gets its least loaded replica, without an owner")
    {
        GrantQuery query = queryFor("r1", {});
        query.service = ServiceId("bookings");
        Outcome outcome;
        client.acquire(query, into(outcome));
        REQUIRE(outcome.place->address == "127.0.0.1:22100");
        query.request = RequestId("r2");
        query.exclude = {outcome.place->backendServer};
        Outcome excluded;
        client.acquire(query, into(excluded));
        REQUIRE(excluded.error->code == ErrorCode::NoBackendServer);
    }
}

TEST_CASE("load reports of engines are read with care")
{
    const Millis sent(10'000);

    SECTION("a whole report")
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

    SECTION("anything else is a typed failure")
    {
        for (const char *body : {"", "[]", "{", R"({"resident":3})", R"({"resident":["x"]})",
                                 R"({"resident":[7]})", R"({"resident":["a/b@x"]})"}) {
            const auto report = parseLoadReport(body, sent);
            REQUIRE_FALSE(report.has_value());
            REQUIRE(report.error().code == ErrorCode::BadResponse);
        }
    }
}
