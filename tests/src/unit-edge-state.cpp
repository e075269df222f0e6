#include <balsamport/core/hash.h>
#include <balsamport/edge/engine_ownership.h>
#include <balsamport/edge/event_splitter.h>
#include <balsamport/edge/peers.h>
#include <balsamport/edge/published.h>
#include <balsamport/edge/published_message.h>
#include <balsamport/edge/request_rate.h>
#include <balsamport/edge/server_catalog.h>
#include <balsamport/edge/server_choice.h>
#include <balsamport/edge/service_config.h>
#include <balsamport/edge/shared_retry_budget.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <set>
#include <string>

using namespace balsamport;

namespace {

ServerEntry server(const char *id, const char *dataCentre)
{
    ServerEntry entry;
    entry.id = BackendServerId(id);
    entry.service = ServiceId("advice");
    entry.address = "10.0.0.1:80";
    entry.dataCentre = DataCentreId(dataCentre);
    entry.slots = 6;
    return entry;
}

PeerStatus statusOf(const char *vm, const char *dataCentre, std::uint64_t incarnation = 1)
{
    PeerStatus peer;
    peer.vm = VmId(vm);
    peer.incarnation = incarnation;
    peer.endpoint = std::string("tcp://") + vm;
    peer.dataCentre = DataCentreId(dataCentre);
    peer.storeReachable = true;
    return peer;
}

PeerTable tableOf(const char *self, const char *dataCentre)
{
    PeerTable table;
    table.self = VmId(self);
    table.dataCentre = DataCentreId(dataCentre);
    return table;
}

EngineQuery queryFor(const std::string &adapter, double perSecond,
                     const std::optional<BackendServerId> &last)
{
    return EngineQuery{AdapterName{BaseModelId("base"), AdapterId(adapter)}, perSecond, last};
}

Location twoRegions()
{
    Location location;
    location.dataCentre = DataCentreId("a");
    location.regions = {{DataCentreId("a"), RegionId("east")},
                        {DataCentreId("b"), RegionId("east")},
                        {DataCentreId("c"), RegionId("west")}};
    return location;
}

} // namespace

TEST_CASE("findRoute chooses the host's longest matching prefix")
{
    EdgeConfig config;
    EdgeRoute wide;
    wide.host = "Shop.Example";
    wide.prefix = "/a/";
    wide.name = "wide";
    EdgeRoute narrow = wide;
    narrow.prefix = "/a/b/";
    narrow.name = "narrow";
    narrow.targets = {{ServiceId("s1"), 90}, {ServiceId("s2"), 10}, {ServiceId("s3"), 0}};
    addRoute(config, wide);
    addRoute(config, narrow);

    REQUIRE(findRoute(config, "shop.example:8080", "/a/b/c")->name == "narrow");
    REQUIRE(findRoute(config, "shop.example", "/a/c")->name == "wide");
    REQUIRE(findRoute(config, "shop.example", "/a") == nullptr);
    REQUIRE(findRoute(config, "other.example", "/a/b/c") == nullptr);

    SECTION("requests are distributed by weight, and a weight of 0 gets none")
    {
        std::map<ServiceId, int> counts;
        for (std::uint64_t hash = 0; hash < 1'000; ++hash) {
            ++counts[*chooseService(narrow, hash)];
        }
        REQUIRE(counts[ServiceId("s1")] == 900);
        REQUIRE(counts[ServiceId("s2")] == 100);
        REQUIRE(counts.count(ServiceId("s3")) == 0);
        REQUIRE(chooseService(wide, 1) == nullptr);
    }
}

TEST_CASE("published entries never revert to an older revision")
{
    PublishedState state;
    REQUIRE(mergeEntries(state, {{"k", "new", StoreRevision(7), false}}, {}).size() == 1);
    REQUIRE(mergeEntries(state, {{"k", "old", StoreRevision(5), false}}, {}).empty());
    REQUIRE(state.entries.at("k").value == "new");

    SECTION("an older copy does not restore a deleted entry")
    {
        REQUIRE(mergeEntries(state, {{"k", "", StoreRevision(9), true}}, {}).size() == 1);
        REQUIRE(mergeEntries(state, {{"k", "new", StoreRevision(7), false}}, {}).empty());
        REQUIRE(state.entries.at("k").deleted);
    }

    SECTION("a listing deletes the entries it lacks, except those newer than the listing")
    {
        (void)mergeEntries(state, {{"later", "x", StoreRevision(12), false}}, {});
        const auto changed = replaceEntries(state, {}, StoreRevision(10), {});
        REQUIRE(changed.size() == 1);
        REQUIRE(changed.front().key == "k");
        REQUIRE_FALSE(state.entries.at("later").deleted);
    }

    SECTION("a peer gets the entries that it lacks")
    {
        (void)mergeEntries(state, {{"l", "x", StoreRevision(9), false}}, {});
        REQUIRE(entriesSince(state, StoreRevision(7)).size() == 1);
        REQUIRE(state.contentRevision == StoreRevision(9));

        SECTION("also if a later change reaches it before an earlier one")
        {
            PublishedState peer;
            (void)mergeEntries(peer, {{"k", "new", StoreRevision(7), false}}, {});
            (void)mergeEntries(state, {{"m", "x", StoreRevision(12), false}}, {});
            // Of the changes 9 and 12 only the second arrived.
            REQUIRE_FALSE(isContiguous(peer, StoreRevision(9)));
            REQUIRE(isContiguous(peer, StoreRevision(7)));
            const auto lacking = entriesSince(state, peer.contentRevision);
            REQUIRE(mergeEntries(peer, lacking, {}).size() == 2);
            REQUIRE(isContiguous(peer, StoreRevision(12)));
        }
    }
}

TEST_CASE("the server catalog follows the published servers")
{
    ServerCatalog catalog;
    REQUIRE(upsertServer(catalog, server("s1", "a")));
    REQUIRE_FALSE(upsertServer(catalog, server("s1", "a")));
    REQUIRE(usableServers(catalog, ServiceId("advice")).size() == 1);

    SECTION("a draining server is not usable for new requests")
    {
        ServerEntry draining = server("s1", "a");
        draining.draining = true;
        upsertServer(catalog, draining);
        REQUIRE(usableServers(catalog, ServiceId("advice")).empty());
    }

    SECTION("while the store is reachable, a deleted server is removed immediately")
    {
        REQUIRE(removeServer(catalog, BackendServerId("s1"), Millis(1'000)));
        REQUIRE(catalog.servers.empty());
    }

    SECTION("after a store outage, a deleted server is kept until it should be listed again")
    {
        recordStoreOutage(catalog, Millis(1'000));
        REQUIRE_FALSE(removeServer(catalog, BackendServerId("s1"), Millis(1'100)));
        REQUIRE(usableServers(catalog, ServiceId("advice")).size() == 1);
        REQUIRE(expireServers(catalog, Millis(1'000) + relistDelay).empty());

        SECTION("and is removed if it is not listed again")
        {
            REQUIRE(expireServers(catalog, Millis(1'001) + relistDelay).size() == 1);
        }
        SECTION("and is kept if it is listed again")
        {
            upsertServer(catalog, server("s1", "a"));
            REQUIRE(expireServers(catalog, Millis(1'001) + relistDelay).empty());
        }
    }
}

TEST_CASE("gossip keeps the peer table current")
{
    PeerTable table = tableOf("v1", "a");
    REQUIRE(discoverPeer(table, statusOf("v2", "a"), Millis(0)));
    REQUIRE_FALSE(isAlive(table, table.peers.at(VmId("v2")), Millis(0)));
    REQUIRE(updatePeer(table, statusOf("v2", "a"), Millis(100)));
    REQUIRE_FALSE(updatePeer(table, statusOf("v2", "a"), Millis(600)));
    REQUIRE(isAlive(table, table.peers.at(VmId("v2")), Millis(700)));

    SECTION("a restarted daemon is reported as new")
    {
        REQUIRE(updatePeer(table, statusOf("v2", "a", 2), Millis(700)));
    }

    SECTION("an older status of a peer does not replace a newer one")
    {
        REQUIRE_FALSE(updatePeer(table, statusOf("v2", "a", 9), Millis(500)));
        REQUIRE(table.peers.at(VmId("v2")).incarnation == 1);
    }

    SECTION("a silent peer is no longer alive, and is removed later")
    {
        REQUIRE_FALSE(isAlive(table, table.peers.at(VmId("v2")), Millis(3'000)));
        REQUIRE(removeSilentPeers(table, true, Millis(3'000)).empty());
        REQUIRE(removeSilentPeers(table, true, Millis(30'000)).size() == 1);
    }

    SECTION("only one daemon of a data centre sends gossip to other data centres")
    {
        updatePeer(table, statusOf("v3", "b"), Millis(600));
        PeerTable other = tableOf("v2", "a");
        updatePeer(other, statusOf("v1", "a"), Millis(600));
        updatePeer(other, statusOf("v3", "b"), Millis(600));
        const bool own = !gossipTargets(table, false, Millis(700)).remote.empty();
        const bool others = !gossipTargets(other, false, Millis(700)).remote.empty();
        REQUIRE(own != others);
    }

    SECTION("in a large fleet the delegate sends gossip to two daemons of each data centre")
    {
        PeerTable large = tableOf("v1", "a");
        for (int i = 0; i < 100; ++i) {
            updatePeer(large, statusOf(("b" + std::to_string(i)).c_str(), "b"), Millis(0));
            updatePeer(large, statusOf(("c" + std::to_string(i)).c_str(), "c"), Millis(0));
        }
        const GossipTargets targets = gossipTargets(large, false, Millis(100));
        REQUIRE(targets.relayed);
        REQUIRE(targets.remote.size() == 4);

        SECTION("the probable delegate of each data centre is among them")
        {
            PeerTable there = tableOf(targets.remote.front()->vm.str().c_str(), "b");
            for (int i = 0; i < 100; ++i) {
                updatePeer(there, statusOf(("b" + std::to_string(i)).c_str(), "b"), Millis(0));
            }
            REQUIRE(isDelegate(there, false, Millis(100)));
            REQUIRE_FALSE(isDelegate(there, true, Millis(100)));
        }

        SECTION("if all daemons of a data centre are silent, each is contacted in turn")
        {
            std::set<VmId> contacted;
            for (int round = 0; round < 2'000; ++round) {
                for (const Peer *peer : gossipTargets(large, false, Millis(60'000)).remote) {
                    contacted.insert(peer->vm);
                }
            }
            REQUIRE(contacted.size() == 200);
        }
    }

    SECTION("only a peer that knows less than half of the live daemons gets the member list")
    {
        for (int i = 0; i < 20; ++i) {
            updatePeer(table, statusOf(("n" + std::to_string(i)).c_str(), "a"), Millis(600));
        }
        REQUIRE(needsMemberList(table, 0, Millis(700)));
        REQUIRE(needsMemberList(table, 9, Millis(700)));
        REQUIRE_FALSE(needsMemberList(table, 12, Millis(700)));
    }

    SECTION("load pattern: 195 daemons in six data centres. Each sees all others, at a bounded "
            "message rate")
    {
        constexpr int dataCentres = 6;
        constexpr int daemons = 195;
        std::vector<PeerTable> tables;
        const auto dataCentreOf = [](int daemon) {
            return std::string(1, static_cast<char>('a' + daemon % dataCentres));
        };
        for (int i = 0; i < daemons; ++i) {
            tables.push_back(tableOf(("d" + std::to_string(i)).c_str(), dataCentreOf(i).c_str()));
        }
        const auto numberOf = [](const VmId &vm) { return std::stoul(vm.str().substr(1)); };
        for (int i = 0; i < daemons; ++i) {
            for (int j = 0; j < daemons; ++j) {
                // The seed nodes have announced all daemons to each; no gossip has arrived yet.
                discoverPeer(tables[i],
                             statusOf(("d" + std::to_string(j)).c_str(), dataCentreOf(j).c_str()),
                             Millis(0));
            }
        }
        std::size_t crossDataCentreMembers = 0; // Statuses in messages between data centres.
        std::size_t localMessages = 0;
        constexpr int seconds = 20;
        Millis allSeenAt;
        std::size_t falselySilent = 0; // Peers that seemed silent after all had been seen.
        for (Millis now; now < Millis(seconds * 1'000); now += Millis(500)) {
            std::size_t unseen = 0;
            for (const PeerTable &known : tables) {
                for (const auto &[vm, peer] : known.peers) {
                    unseen += isAlive(known, peer, now) ? 0 : 1;
                }
            }
            if (unseen == 0 && allSeenAt == Millis(0)) {
                allSeenAt = now;
            }
            falselySilent += allSeenAt > Millis(0) ? unseen : 0;
            for (int i = 0; i < daemons; ++i) {
                const GossipTargets targets = gossipTargets(tables[i], false, now);
                localMessages += targets.local.size();
                for (const Peer *local : targets.local) {
                    updatePeer(tables[numberOf(local->vm)],
                               statusOf(("d" + std::to_string(i)).c_str(), dataCentreOf(i).c_str()),
                               now);
                }
                for (const Peer *remote : targets.remote) {
                    PeerTable &relay = tables[numberOf(remote->vm)];
                    const bool mustRelay
                            = shouldRelay(relay, DataCentreId(dataCentreOf(i)), false, now);
                    for (int member = i % dataCentres; member < daemons; member += dataCentres) {
                        const Peer known = member == i
                                ? Peer()
                                : tables[i].peers.at(VmId("d" + std::to_string(member)));
                        if (member != i && !isAlive(tables[i], known, now)) {
                            continue;
                        }
                        ++crossDataCentreMembers;
                        const Millis seenAt = member == i ? now : known.lastSeenAt;
                        const PeerStatus status = statusOf(("d" + std::to_string(member)).c_str(),
                                                           dataCentreOf(member).c_str());
                        updatePeer(relay, status, seenAt);
                        for (const auto &[vm, peer] : relay.peers) {
                            if (mustRelay && peer.dataCentre == relay.dataCentre) {
                                updatePeer(tables[numberOf(vm)], status, seenAt);
                            }
                        }
                    }
                }
            }
        }
        REQUIRE(allSeenAt > Millis(0));
        // Before a daemon may acquire engines of a data centre from which it got no gossip.
        REQUIRE(allSeenAt <= OwnershipTimings().remoteClaimDelay);
        REQUIRE(falselySilent == 0);
        // Each daemon sends one message a second to each other daemon of its data centre.
        REQUIRE(localMessages / seconds <= daemons * (daemons / dataCentres));
        // Ten messages a second from each data centre, each about its 32 members.
        REQUIRE(crossDataCentreMembers / seconds <= 10 * daemons);
    }

    SECTION("new members are announced twice, all others in turn, and silent ones never")
    {
        PeerTable member = tableOf("m", "a");
        for (const char *peer : {"n1", "n2", "n3"}) {
            updatePeer(member, statusOf(peer, "a"), Millis(1'000));
        }
        PeerStatus unseen = statusOf("n4", "a");
        discoverPeer(member, unseen, Millis(1'000));
        REQUIRE(peersToAnnounce(member, Millis(1'100)).size() == 3);
        REQUIRE(peersToAnnounce(member, Millis(1'600)).size() == 3);
        updatePeer(member, statusOf("n1", "a"), Millis(5'000));
        updatePeer(member, statusOf("n2", "a"), Millis(5'000));
        std::set<VmId> announced;
        for (int round = 0; round < 8; ++round) {
            (void)gossipTargets(member, false, Millis(5'100));
            for (const Peer *peer : peersToAnnounce(member, Millis(5'100))) {
                announced.insert(peer->vm);
            }
        }
        REQUIRE(announced == std::set<VmId>{VmId("n1"), VmId("n2")});
    }

    SECTION("one daemon of a data centre reads the store, and another one if it cannot")
    {
        PeerTable other = tableOf("v2", "a");
        updatePeer(other, statusOf("v1", "a"), Millis(600));
        REQUIRE((storeReaderRank(table, true, Millis(700)) == 0)
                != (storeReaderRank(other, true, Millis(700)) == 0));
        REQUIRE(storeReaderRank(table, false, Millis(700)) > 0);
        PeerStatus withoutStore = statusOf("v2", "a");
        withoutStore.storeReachable = false;
        updatePeer(table, withoutStore, Millis(800));
        REQUIRE(storeReaderRank(table, true, Millis(900)) == 0);
    }

    SECTION("if the reader is slow, the others do not read simultaneously")
    {
        constexpr int daemons = 12;
        std::set<std::size_t> ranks;
        for (int self = 0; self < daemons; ++self) {
            PeerTable member = tableOf(("m" + std::to_string(self)).c_str(), "a");
            for (int peer = 0; peer < daemons; ++peer) {
                updatePeer(member, statusOf(("m" + std::to_string(peer)).c_str(), "a"),
                           Millis(600));
            }
            ranks.insert(storeReaderRank(member, true, Millis(700)));
        }
        REQUIRE(ranks.size() == daemons);
        REQUIRE(*ranks.begin() == 0);

        REQUIRE(maxStaleness(1) < maxStaleness(2));
        REQUIRE(maxStaleness(2) < maxStaleness(3));

        SECTION("the last rank still reads within 3 s")
        {
            REQUIRE(maxStaleness(1'000) < Millis(3'000));
        }
        SECTION("load pattern: all start at once. One lists the store, and the others wait half a "
                "second longer")
        {
            REQUIRE(initialReadDelay(0) < Millis(200));
            REQUIRE(initialReadDelay(1) >= initialReadDelay(0) + Millis(500));
            REQUIRE(initialReadDelay(2) > initialReadDelay(1));
            REQUIRE(initialReadDelay(1'000) < Millis(2'000));
        }
    }
}

TEST_CASE("published entries are encoded for a peer")
{
    SECTION("short entries are sent uncompressed")
    {
        const std::vector<PublishedEntry> entries{{"servers/a", "text", StoreRevision(7, 2), false},
                                                  {"servers/b", "", StoreRevision(8), true}};
        const wire::PublishedItems message = encodeEntries(entries);
        REQUIRE(message.items_size() == 2);
        REQUIRE(decodeEntries(message).value() == entries);
    }

    SECTION("a configuration that grew by 1,900 routes")
    {
        std::string value;
        for (int i = 0; i < 1'900; ++i) {
            value += R"({"name":"added-)" + std::to_string(i * 7'919) + R"(","host":"h)"
                    + std::to_string(i % 97) + R"(.example","prefix":"/p)" + std::to_string(i * 31)
                    + R"(/","kind":"safe","timeout_ms":2000,"service":"app","max_attempts":2},)";
        }
        const std::vector<PublishedEntry> entries{{"config", value, StoreRevision(15), false}};
        const wire::PublishedItems message = encodeEntries(entries);

        SECTION("is compressed to an eighth, so that eleven peers receive it within half a second")
        {
            // 11 peers over a link of 10 Mbit/s, with capacity left for other traffic.
            REQUIRE(value.size() > 200'000);
            REQUIRE(message.ByteSizeLong() * 8 < value.size());
            REQUIRE(decodeEntries(message).value() == entries);
        }

        SECTION("is rejected if its compressed data is damaged, truncated, or has a wrong or huge "
                "size")
        {
            std::vector<wire::PublishedItems> damaged(4, message);
            damaged[0].mutable_packed_items()->at(message.packed_items().size() / 2) ^= 0x55;
            damaged[1].mutable_packed_items()->resize(message.packed_items().size() / 2);
            damaged[2].set_unpacked_bytes(message.unpacked_bytes() - 1);
            damaged[3].set_unpacked_bytes(4'000'000'000);
            for (const wire::PublishedItems &items : damaged) {
                REQUIRE(decodeEntries(items).has_error());
                REQUIRE(decodeEntries(items).error().code == ErrorCode::MessageInvalid);
            }
        }
    }
}

TEST_CASE("each engine has one owner")
{
    const std::vector<EngineSite> engines{{BackendServerId("e1"), DataCentreId("a")}};
    const OwnershipTimings timings;
    EngineOwnership state;
    PeerTable peers = tableOf("v1", "a");

    SECTION("no engine is claimed before gossip of peers could arrive")
    {
        const OwnershipChange early
                = updateOwnership(state, timings, engines, peers, false, Millis(100));
        REQUIRE(early.acquired.empty());
        // Its command count is read in the meantime.
        REQUIRE(early.likely == std::vector<BackendServerId>{BackendServerId("e1")});
        REQUIRE(updateOwnership(state, timings, engines, peers, false, timings.startupGrace)
                        .acquired.size()
                == 1);
        REQUIRE(ownerOf(state, peers, engines.front(), timings.startupGrace) == VmId("v1"));
    }

    SECTION("the claim of a peer holds, also for a while after the peer falls silent")
    {
        PeerStatus owner = statusOf("v2", "a");
        owner.owned = {BackendServerId("e1")};
        updatePeer(peers, owner, Millis(5'000));
        REQUIRE(updateOwnership(state, timings, engines, peers, false, Millis(5'100))
                        .acquired.empty());
        REQUIRE(ownerOf(state, peers, engines.front(), Millis(5'100)) == VmId("v2"));
        REQUIRE(updateOwnership(state, timings, engines, peers, false, Millis(7'500))
                        .acquired.empty());
        REQUIRE(updateOwnership(state, timings, engines, peers, false, Millis(7'700))
                        .acquired.size()
                == 1);
    }

    SECTION("of two daemons that claim an engine, the lower ranked one releases it")
    {
        PeerTable other = tableOf("v2", "a");
        EngineOwnership otherState;
        PeerStatus claim1 = statusOf("v1", "a");
        PeerStatus claim2 = statusOf("v2", "a");
        claim1.owned = claim2.owned = {BackendServerId("e1")};
        state.owned = otherState.owned = {BackendServerId("e1")};
        updatePeer(peers, claim2, Millis(5'000));
        updatePeer(other, claim1, Millis(5'000));
        const auto lost1
                = updateOwnership(state, timings, engines, peers, false, Millis(5'100)).released;
        const auto lost2
                = updateOwnership(otherState, timings, engines, other, false, Millis(5'100))
                          .released;
        REQUIRE(lost1.size() + lost2.size() == 1);
    }

    SECTION("load pattern: all daemons lost. Engines are claimed soon after the restart")
    {
        REQUIRE(updateOwnership(state, timings, engines, peers, false, timings.localClaimDelay)
                        .acquired.size()
                == 1);
        REQUIRE(isInStartupGrace(state, timings, timings.localClaimDelay));

        SECTION("but released to a daemon that already claims them, whatever its rank")
        {
            for (const char *vm : {"v0", "v2", "v3", "v4"}) {
                EngineOwnership own = state;
                PeerTable table = peers;
                PeerStatus owner = statusOf(vm, "a");
                owner.owned = {BackendServerId("e1")};
                updatePeer(table, owner, Millis(300));
                REQUIRE(updateOwnership(own, timings, engines, table, false, Millis(300))
                                .released.size()
                        == 1);
            }
        }

        SECTION("and a daemon past its grace period does not release them to one that has just "
                "started")
        {
            for (const char *vm : {"v0", "v2", "v3", "v4"}) {
                EngineOwnership own = state;
                PeerTable table = peers;
                PeerStatus restarted = statusOf(vm, "a");
                restarted.owned = {BackendServerId("e1")};
                restarted.inStartupGrace = true;
                updatePeer(table, restarted, Millis(9'000));
                REQUIRE(updateOwnership(own, timings, engines, table, false, Millis(9'100))
                                .released.empty());
            }
        }
    }

    SECTION("an engine of another data centre is claimed only if no daemon there is alive")
    {
        const std::vector<EngineSite> remote{{BackendServerId("e9"), DataCentreId("b")}};
        updatePeer(peers, statusOf("v9", "b"), Millis(20'000));
        REQUIRE(updateOwnership(state, timings, remote, peers, false, Millis(20'100))
                        .acquired.empty());
        REQUIRE(ownerOf(state, peers, remote.front(), Millis(20'100)) == VmId("v9"));
        REQUIRE(updateOwnership(state, timings, remote, peers, false, Millis(26'000))
                        .acquired.size()
                == 1);
    }

    SECTION("a draining daemon releases all engines")
    {
        state.owned = {BackendServerId("e1")};
        REQUIRE(updateOwnership(state, timings, engines, peers, true, Millis(9'000)).released.size()
                == 1);
    }
}

TEST_CASE("servers are ranked for a request")
{
    const Location location = twoRegions();
    const ServerEntry e1 = server("e1", "a");
    const ServerEntry e2 = server("e2", "b");
    const ServerEntry e3 = server("e3", "c");
    const ServerEntry e4 = server("e4", "c");
    const std::vector<const ServerEntry *> servers{&e1, &e2, &e3, &e4};
    ServerStatsMap serverStats;
    const Millis now(1'000);

    SECTION("load pattern: many rare adapters. Each has the same preferred engine in all regions")
    {
        Location west = location;
        west.dataCentre = DataCentreId("c");
        for (int i = 0; i < 50; ++i) {
            const std::string adapter = "rare" + std::to_string(i);
            REQUIRE(rankEngines(servers, location, serverStats, queryFor(adapter, 0.1, {}), 1, now)
                            .servers.front()
                    == rankEngines(servers, west, serverStats, queryFor(adapter, 0.1, {}), 2, now)
                               .servers.front());
        }
    }

    SECTION("load pattern: many rare adapters. Each stays on the engine that served it last")
    {
        const BackendServerId last("e4");
        REQUIRE(rankEngines(servers, location, serverStats, queryFor("rare", 0.1, last), 1, now)
                        .servers.front()
                == last);
        AdapterAffinity affinity;
        recordServedBy(affinity, "rare", last, now);
        REQUIRE(lastEngine(affinity, "rare", now + Millis(1'000)) == last);
        REQUIRE_FALSE(lastEngine(affinity, "rare", now + Millis(60'000)));
    }

    SECTION("load pattern: a hot adapter. It has as many preferred engines in the region as its "
            "demand needs")
    {
        const auto ranked
                = rankEngines(servers, location, serverStats, queryFor("hot", 8.0, {}), 1, now)
                          .servers;
        REQUIRE((ranked[0] == BackendServerId("e1") || ranked[0] == BackendServerId("e2")));
        REQUIRE((ranked[1] == BackendServerId("e1") || ranked[1] == BackendServerId("e2")));
        serverStats[ranked[0]].expectedWait = Millis(600);
        serverStats[ranked[0]].waitReportedAt = now;
        REQUIRE(rankEngines(servers, location, serverStats, queryFor("hot", 8.0, {}), 1, now)
                        .servers.front()
                == ranked[1]);
    }

    SECTION("load pattern: all daemons lost. The engines that still hold an adapter come first")
    {
        const std::string adapter = "kept";
        const auto unheld
                = rankEngines(servers, location, serverStats, queryFor(adapter, 0, {}), 1, now);
        ServerEntry holder
                = **std::find_if(servers.begin(), servers.end(), [&](const ServerEntry *entry) {
                      return entry->id == unheld.servers.back();
                  });
        holder.adapters.insert(AdapterName{BaseModelId("base"), AdapterId(adapter)});
        std::vector<const ServerEntry *> listed = servers;
        std::replace_if(
                listed.begin(), listed.end(),
                [&](const ServerEntry *entry) { return entry->id == holder.id; }, &holder);

        REQUIRE(rankEngines(listed, location, serverStats, queryFor(adapter, 0, {}), 1, now)
                        .servers.front()
                == holder.id);

        SECTION("except for the engine that served it last, as the listed adapters may be outdated")
        {
            const BackendServerId last = unheld.servers.front();
            REQUIRE(rankEngines(listed, location, serverStats, queryFor(adapter, 0.1, last), 1, now)
                            .servers.front()
                    == last);
        }

        SECTION("an adapter with the same name for another base model does not count as held")
        {
            EngineQuery other = queryFor(adapter, 0, {});
            other.name.base = BaseModelId("other");
            REQUIRE(rankEngines(listed, location, serverStats, other, 1, now).servers
                    == unheld.servers);
        }
    }

    SECTION("load pattern: all daemons lost. A busy adapter is spread over the engines of the "
            "region "
            "that hold it, before an owner has reported its demand")
    {
        ServerEntry first = e1;
        ServerEntry second = e2;
        ServerEntry remote = e3;
        for (ServerEntry *holder : {&first, &second, &remote}) {
            holder->adapters.insert(AdapterName{BaseModelId("base"), AdapterId("hot")});
        }
        const std::vector<const ServerEntry *> listed{&first, &second, &remote, &e4};
        std::map<BackendServerId, int> firstChoices;
        for (std::uint64_t random = 0; random < 40; ++random) {
            const auto ranking = rankEngines(listed, location, serverStats, queryFor("hot", 0, {}),
                                             hash64(std::to_string(random)), now);
            REQUIRE(ranking.preferred.size() == 2);
            ++firstChoices[ranking.servers.front()];
        }
        REQUIRE(firstChoices.size() == 2);
        REQUIRE(firstChoices.count(remote.id) == 0);
    }

    SECTION("an unreachable engine is ranked last")
    {
        const auto ranked
                = rankEngines(servers, location, serverStats, queryFor("x", 0.1, {}), 1, now)
                          .servers;
        recordUnreachable(serverStats[ranked.front()], now);
        REQUIRE(rankEngines(servers, location, serverStats, queryFor("x", 0.1, ranked.front()), 1,
                            now)
                        .servers.back()
                == ranked.front());
    }

    SECTION("load pattern: a grey replica. It is ranked last after a few failed responses")
    {
        ServerStats &grey = serverStats[BackendServerId("e1")];
        for (int i = 0; i < 6; ++i) {
            recordResponse(grey, true);
        }
        REQUIRE(rankReplicas(servers, location, serverStats, 1, now).back()
                == BackendServerId("e1"));
    }

    SECTION("of plain replicas the local one comes first, until it has more requests in progress")
    {
        REQUIRE(rankReplicas(servers, location, serverStats, 1, now).front()
                == BackendServerId("e1"));
        serverStats[BackendServerId("e1")].inFlight = 1;
        REQUIRE(rankReplicas(servers, location, serverStats, 1, now).front()
                == BackendServerId("e2"));
    }

    SECTION("load pattern: a hot adapter and seventy daemons. Its requests spread over its "
            "preferred "
            "engines")
    {
        // Each daemon sends one request and has no wait times of the engines.
        std::map<BackendServerId, int> requestCounts;
        constexpr int daemons = 70;
        for (int daemon = 0; daemon < daemons; ++daemon) {
            const auto ranking
                    = rankEngines(servers, location, serverStats, queryFor("hot", 8.0, {}),
                                  hash64(std::to_string(daemon)), now);
            REQUIRE(ranking.regional);
            REQUIRE(ranking.preferred.size() == 2);
            ++requestCounts[ranking.servers.front()];
        }
        REQUIRE(requestCounts.size() == 2);
        for (const auto &[id, count] : requestCounts) {
            REQUIRE(count <= daemons * 2 / 3);
        }
    }

    SECTION("load pattern: requests for the base model. They stay in the region")
    {
        for (std::uint64_t random = 0; random < 20; ++random) {
            const auto ranking
                    = rankEngines(servers, location, serverStats, queryFor("", 0, {}), random, now);
            REQUIRE((ranking.servers.front() == BackendServerId("e1")
                     || ranking.servers.front() == BackendServerId("e2")));
        }
    }

    SECTION("load pattern: one of seventy daemons. Its own requests do not count as demand")
    {
        AdapterDemand demand;
        REQUIRE(demandFor(demand, "a", now) == 0);

        SECTION("the demand that an owner reports counts for a while")
        {
            recordDemand(demand, "a", 8.0, now);
            REQUIRE(demandFor(demand, "a", now + Millis(5'000)) == 8.0);
            REQUIRE(demandFor(demand, "a", now + Millis(60'000)) == 0);
        }
    }
}

TEST_CASE("the request rate")
{
    RequestRate rate;
    for (int i = 0; i < 100; ++i) {
        countRequest(rate, Millis(i * 100));
    }

    SECTION("reflects the requests of the last seconds")
    {
        REQUIRE(rateAt(rate, Millis(10'000)) == Approx(10.0).margin(2.0));
    }

    SECTION("decays")
    {
        REQUIRE(rateAt(rate, Millis(60'000)) < 0.1);
    }
}

TEST_CASE("retries stay within this daemon's share of the budget")
{
    const RetryBudgetLimits limits;
    SharedRetryBudget budget;
    int retries = 0;
    while (budget.tryTake(limits, 8, Millis(0))) {
        ++retries;
    }
    REQUIRE(retries * 8 <= limits.slack);
    for (int i = 0; i < 100; ++i) {
        budget.recordRequest(limits, Millis(500));
    }
    int moreRetries = 0;
    while (budget.tryTake(limits, 8, Millis(600))) {
        ++moreRetries;
    }
    REQUIRE(moreRetries > 0);
    REQUIRE(retries + moreRetries <= limits.slack / 8 + limits.ratio * 100);
    REQUIRE(budget.tryTake(limits, 8, Millis(30'000)));
}

TEST_CASE("a stream is split into complete events")
{
    EventSplitter splitter;
    REQUIRE(splitEvents(splitter, "id: 1\ndata: a\n").empty());
    REQUIRE(splitEvents(splitter, "\nid: 2\nda") == "id: 1\ndata: a\n\n");
    REQUIRE(splitter.lastId == "1");
    REQUIRE(splitter.eventCount == 1);
    REQUIRE(splitEvents(splitter, "ta: b\n\nid: 3\n\n") == "id: 2\ndata: b\n\nid: 3\n\n");
    REQUIRE(splitter.lastId == "3");
    REQUIRE(splitter.eventCount == 3);

    SECTION("an event that repeats an id, or has a lower one, is dropped with all after it")
    {
        REQUIRE(splitEvents(splitter, "id: 4\n\nid: 4\ndata: again\n\nid: 5\n\n") == "id: 4\n\n");
        REQUIRE(splitter.outOfOrder);
        REQUIRE(splitter.lastId == "4");
        REQUIRE(splitter.eventCount == 4);
        EventSplitter other;
        REQUIRE(splitEvents(other, "id: 10\n\nid: 9\n\n") == "id: 10\n\n");
        REQUIRE(other.outOfOrder);
    }

    SECTION("ids are compared as numbers where they are numbers, and may leave gaps")
    {
        EventSplitter other;
        REQUIRE(splitEvents(other, "id: 9\n\nid: 10\n\nid: 12\n\n").size() == 23);
        REQUIRE(splitEvents(other, "id: b\n\nid: a\n\n").size() == 14);
        REQUIRE_FALSE(other.outOfOrder);
        REQUIRE(splitEvents(other, "id: a\n\n").empty());
        REQUIRE(other.outOfOrder);
    }

    SECTION("ids of any length are compared as numbers")
    {
        EventSplitter other;
        REQUIRE_FALSE(splitEvents(other, "id: 18446744073709551617\n\n").empty());
        REQUIRE_FALSE(splitEvents(other, "id: 0018446744073709551618\n\n").empty());
        REQUIRE(splitEvents(other, "id: 18446744073709551617\n\n").empty());
        REQUIRE(other.outOfOrder);
    }

    SECTION("an event with an empty id cannot be resumed after")
    {
        EventSplitter other;
        REQUIRE_FALSE(splitEvents(other, "id: 1\n\nid:\ndata: a\n\n").empty());
        REQUIRE_FALSE(isResumable(other));
        REQUIRE(splitEvents(other, "id: 1\n\n").empty());
        REQUIRE(other.outOfOrder);
    }

    SECTION("a resumed stream does not go on with an event without an id")
    {
        splitter.resumed = true;
        REQUIRE(splitEvents(splitter, "data: again\n\n").empty());
        REQUIRE(splitter.outOfOrder);
        splitter.outOfOrder = false;
        REQUIRE_FALSE(splitEvents(splitter, ": keep-alive\n\nid: 4\n\ndata: a\n\n").empty());
        REQUIRE_FALSE(splitter.outOfOrder);
    }

    SECTION("a stream can be resumed after an event with an id, wherever the id stands in it")
    {
        EventSplitter other;
        REQUIRE(isResumable(other));
        REQUIRE_FALSE(splitEvents(other, ": keep-alive\n\n").empty());
        REQUIRE(isResumable(other));
        REQUIRE_FALSE(
                splitEvents(other, "x-version: 2\nid: 1\ndata: a\n\n: keep-alive\n\n").empty());
        REQUIRE(isResumable(other));
        REQUIRE(other.lastId == "1");
        REQUIRE_FALSE(splitEvents(other, "data: without\n\n: keep-alive\n\n").empty());
        REQUIRE_FALSE(isResumable(other));
        REQUIRE_FALSE(splitEvents(other, "id: 2\n\n").empty());
        REQUIRE(isResumable(other));
    }

    SECTION("further blank lines are passed on and are no events")
    {
        REQUIRE(splitEvents(splitter, "id: 4\n\n\n") == "id: 4\n\n\n");
        REQUIRE(splitter.eventCount == 4);
        REQUIRE_FALSE(splitter.outOfOrder);
    }

    SECTION("an event without an end is reported as overlong")
    {
        const std::string chunk(16 * 1024, 'x');
        std::size_t chunks = 0;
        while (!isOverlong(splitter) && chunks < 1'000) {
            REQUIRE(splitEvents(splitter, chunk).empty());
            ++chunks;
        }
        REQUIRE(chunks * chunk.size() <= 2 * maxEventBytes);
    }
}
