#include <balsamport/core/hash.h>
#include <balsamport/edge/crash_history.h>
#include <balsamport/edge/event_splitter.h>
#include <balsamport/edge/order_ownership.h>
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

PeerStatus news(const char *vm, const char *dataCentre, std::uint64_t run = 1)
{
    PeerStatus peer;
    peer.vm = VmId(vm);
    peer.incarnation = run;
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

EngineWish wishFor(const std::string &adapter, double perSecond,
                   const std::optional<BackendServerId> &last)
{
    return EngineWish{AdapterName{BaseModelId("base"), AdapterId(adapter)}, perSecond, last};
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

TEST_CASE("routes are found by host and longest prefix")
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

    SECTION("weights share out the requests, and a weight of 0 gets none")
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

TEST_CASE("published entries only move forward")
{
    PublishedState state;
    REQUIRE(mergeEntries(state, {{"k", "new", 7, false}}).size() == 1);
    REQUIRE(mergeEntries(state, {{"k", "old", 5, false}}).empty());
    REQUIRE(state.entries.at("k").value == "new");

    SECTION("a deleted entry is not brought back by an older copy")
    {
        REQUIRE(mergeEntries(state, {{"k", "", 9, true}}).size() == 1);
        REQUIRE(mergeEntries(state, {{"k", "new", 7, false}}).empty());
        REQUIRE(state.entries.at("k").deleted);
    }

    SECTION("a listing deletes what it lacks, unless that is newer than the listing")
    {
        (void)mergeEntries(state, {{"later", "x", 12, false}});
        const auto changed = replaceEntries(state, {}, 10);
        REQUIRE(changed.size() == 1);
        REQUIRE(changed.front().key == "k");
        REQUIRE_FALSE(state.entries.at("later").deleted);
    }

    SECTION("a peer gets what it lacks")
    {
        (void)mergeEntries(state, {{"l", "x", 9, false}});
        REQUIRE(entriesSince(state, 7).size() == 1);
        REQUIRE(state.contentRevision == 9);

        SECTION("also where a later change reaches it first")
        {
            PublishedState peer;
            (void)mergeEntries(peer, {{"k", "new", 7, false}});
            (void)mergeEntries(state, {{"m", "x", 12, false}});
            // Of the changes 9 and 12 only the second came.
            REQUIRE_FALSE(isContiguous(peer, 9));
            REQUIRE(isContiguous(peer, 7));
            const auto lacking = entriesSince(state, peer.contentRevision);
            REQUIRE(mergeEntries(peer, lacking).size() == 2);
            REQUIRE(isContiguous(peer, 12));
        }
    }
}

TEST_CASE("servers come and go")
{
    ServerCatalog catalog;
    REQUIRE(upsertServer(catalog, server("s1", "a")));
    REQUIRE_FALSE(upsertServer(catalog, server("s1", "a")));
    REQUIRE(usableServers(catalog, ServiceId("advice")).size() == 1);

    SECTION("a draining server gets no new work")
    {
        ServerEntry draining = server("s1", "a");
        draining.draining = true;
        upsertServer(catalog, draining);
        REQUIRE(usableServers(catalog, ServiceId("advice")).empty());
    }

    SECTION("while the store is well, a deleted server is gone at once")
    {
        REQUIRE(removeServer(catalog, BackendServerId("s1"), Millis(1'000)));
        REQUIRE(catalog.servers.empty());
    }

    SECTION("after trouble at the store, a lapsed server stays until it should be listed again")
    {
        noteStoreTrouble(catalog, Millis(1'000));
        REQUIRE_FALSE(removeServer(catalog, BackendServerId("s1"), Millis(1'100)));
        REQUIRE(usableServers(catalog, ServiceId("advice")).size() == 1);
        REQUIRE(expireServers(catalog, Millis(1'000) + relistTime).empty());

        SECTION("and is gone if it is not")
        {
            REQUIRE(expireServers(catalog, Millis(1'001) + relistTime).size() == 1);
        }
        SECTION("and stays if it is")
        {
            upsertServer(catalog, server("s1", "a"));
            REQUIRE(expireServers(catalog, Millis(1'001) + relistTime).empty());
        }
    }
}

TEST_CASE("daemons know each other by gossip")
{
    PeerTable table = tableOf("v1", "a");
    REQUIRE(discoverPeer(table, news("v2", "a"), Millis(0)));
    REQUIRE_FALSE(isAlive(table, table.peers.at(VmId("v2")), Millis(0)));
    REQUIRE(updatePeer(table, news("v2", "a"), Millis(100)));
    REQUIRE_FALSE(updatePeer(table, news("v2", "a"), Millis(600)));
    REQUIRE(isAlive(table, table.peers.at(VmId("v2")), Millis(700)));

    SECTION("a daemon that starts again is noticed")
    {
        REQUIRE(updatePeer(table, news("v2", "a", 2), Millis(700)));
    }

    SECTION("older word of a peer does not undo newer")
    {
        REQUIRE_FALSE(updatePeer(table, news("v2", "a", 9), Millis(500)));
        REQUIRE(table.peers.at(VmId("v2")).incarnation == 1);
    }

    SECTION("a silent peer stops being alive and is forgotten later")
    {
        REQUIRE_FALSE(isAlive(table, table.peers.at(VmId("v2")), Millis(3'000)));
        REQUIRE(removeSilentPeers(table, Millis(3'000)).empty());
        REQUIRE(removeSilentPeers(table, Millis(30'000)).size() == 1);
    }

    SECTION("only one daemon of a data centre speaks to the others")
    {
        updatePeer(table, news("v3", "b"), Millis(600));
        PeerTable other = tableOf("v2", "a");
        updatePeer(other, news("v1", "a"), Millis(600));
        updatePeer(other, news("v3", "b"), Millis(600));
        const bool own = !gossipTargets(table, false, Millis(700)).remote.empty();
        const bool others = !gossipTargets(other, false, Millis(700)).remote.empty();
        REQUIRE(own != others);
    }

    SECTION("in a large fleet the delegate tells two daemons of each data centre")
    {
        PeerTable large = tableOf("v1", "a");
        for (int i = 0; i < 100; ++i) {
            updatePeer(large, news(("b" + std::to_string(i)).c_str(), "b"), Millis(0));
            updatePeer(large, news(("c" + std::to_string(i)).c_str(), "c"), Millis(0));
        }
        const GossipTargets targets = gossipTargets(large, false, Millis(100));
        REQUIRE(targets.relayed);
        REQUIRE(targets.remote.size() == 4);

        SECTION("the likely delegate of each among them")
        {
            PeerTable there = tableOf(targets.remote.front()->vm.str().c_str(), "b");
            for (int i = 0; i < 100; ++i) {
                updatePeer(there, news(("b" + std::to_string(i)).c_str(), "b"), Millis(0));
            }
            REQUIRE(isDelegate(there, false, Millis(100)));
            REQUIRE_FALSE(isDelegate(there, true, Millis(100)));
        }

        SECTION("and where all of one fell silent, each of them in turn")
        {
            std::set<VmId> told;
            for (int round = 0; round < 2'000; ++round) {
                for (const Peer *peer : gossipTargets(large, false, Millis(60'000)).remote) {
                    told.insert(peer->vm);
                }
            }
            REQUIRE(told.size() == 200);
        }
    }

    SECTION("only a peer that knows under half of the live daemons is told of all")
    {
        for (int i = 0; i < 20; ++i) {
            updatePeer(table, news(("n" + std::to_string(i)).c_str(), "a"), Millis(600));
        }
        REQUIRE(needsMemberList(table, 0, Millis(700)));
        REQUIRE(needsMemberList(table, 9, Millis(700)));
        REQUIRE_FALSE(needsMemberList(table, 12, Millis(700)));
    }

    SECTION("load pattern: 195 daemons of six data centres. All hear of all, at a bounded rate")
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
                // Seeds have told each of all; nobody has heard anybody.
                discoverPeer(tables[i],
                             news(("d" + std::to_string(j)).c_str(), dataCentreOf(j).c_str()),
                             Millis(0));
            }
        }
        std::size_t acrossDataCentres = 0; // Members told of in messages between data centres.
        std::size_t localMessages = 0;
        constexpr int seconds = 20;
        Millis allHeardAt;
        std::size_t silent = 0; // Peers that seemed silent after all had been heard.
        for (Millis now; now < Millis(seconds * 1'000); now += Millis(500)) {
            std::size_t unheard = 0;
            for (const PeerTable &known : tables) {
                for (const auto &[vm, peer] : known.peers) {
                    unheard += isAlive(known, peer, now) ? 0 : 1;
                }
            }
            if (unheard == 0 && allHeardAt == Millis(0)) {
                allHeardAt = now;
            }
            silent += allHeardAt > Millis(0) ? unheard : 0;
            for (int i = 0; i < daemons; ++i) {
                const GossipTargets targets = gossipTargets(tables[i], false, now);
                localMessages += targets.local.size();
                for (const Peer *local : targets.local) {
                    updatePeer(tables[numberOf(local->vm)],
                               news(("d" + std::to_string(i)).c_str(), dataCentreOf(i).c_str()),
                               now);
                }
                for (const Peer *remote : targets.remote) {
                    PeerTable &relay = tables[numberOf(remote->vm)];
                    const bool relays
                            = shouldRelay(relay, DataCentreId(dataCentreOf(i)), false, now);
                    for (int member = i % dataCentres; member < daemons; member += dataCentres) {
                        const Peer known = member == i
                                ? Peer()
                                : tables[i].peers.at(VmId("d" + std::to_string(member)));
                        if (member != i && !isAlive(tables[i], known, now)) {
                            continue;
                        }
                        ++acrossDataCentres;
                        const Millis heard = member == i ? now : known.lastSeenAt;
                        const PeerStatus told = news(("d" + std::to_string(member)).c_str(),
                                                     dataCentreOf(member).c_str());
                        updatePeer(relay, told, heard);
                        for (const auto &[vm, peer] : relay.peers) {
                            if (relays && peer.dataCentre == relay.dataCentre) {
                                updatePeer(tables[numberOf(vm)], told, heard);
                            }
                        }
                    }
                }
            }
        }
        REQUIRE(allHeardAt > Millis(0));
        // Before a daemon may take over engines of a data centre that it has not heard.
        REQUIRE(allHeardAt <= OwnershipTimings().farSettle);
        REQUIRE(silent == 0);
        // Each daemon tells each other one of its data centre once a second.
        REQUIRE(localMessages / seconds <= daemons * (daemons / dataCentres));
        // Ten messages a data centre and second, each of its 32 members.
        REQUIRE(acrossDataCentres / seconds <= 10 * daemons);
    }

    SECTION("near peers are told of new members twice and of all in turn, but of no silent one")
    {
        PeerTable member = tableOf("m", "a");
        for (const char *peer : {"n1", "n2", "n3"}) {
            updatePeer(member, news(peer, "a"), Millis(1'000));
        }
        PeerStatus unheard = news("n4", "a");
        discoverPeer(member, unheard, Millis(1'000));
        REQUIRE(peersToAnnounce(member, Millis(1'100)).size() == 3);
        REQUIRE(peersToAnnounce(member, Millis(1'600)).size() == 3);
        updatePeer(member, news("n1", "a"), Millis(5'000));
        updatePeer(member, news("n2", "a"), Millis(5'000));
        std::set<VmId> told;
        for (int round = 0; round < 8; ++round) {
            (void)gossipTargets(member, false, Millis(5'100));
            for (const Peer *peer : peersToAnnounce(member, Millis(5'100))) {
                told.insert(peer->vm);
            }
        }
        REQUIRE(told == std::set<VmId>{VmId("n1"), VmId("n2")});
    }

    SECTION("one daemon of a data centre reads the store, and another when it cannot")
    {
        PeerTable other = tableOf("v2", "a");
        updatePeer(other, news("v1", "a"), Millis(600));
        REQUIRE((storeReaderRank(table, true, Millis(700)) == 0)
                != (storeReaderRank(other, true, Millis(700)) == 0));
        REQUIRE(storeReaderRank(table, false, Millis(700)) > 0);
        PeerStatus blind = news("v2", "a");
        blind.storeReachable = false;
        updatePeer(table, blind, Millis(800));
        REQUIRE(storeReaderRank(table, true, Millis(900)) == 0);
    }

    SECTION("where the reader is slow, the others do not all read at once")
    {
        constexpr int daemons = 12;
        std::set<std::size_t> ranks;
        for (int self = 0; self < daemons; ++self) {
            PeerTable member = tableOf(("m" + std::to_string(self)).c_str(), "a");
            for (int peer = 0; peer < daemons; ++peer) {
                updatePeer(member, news(("m" + std::to_string(peer)).c_str(), "a"), Millis(600));
            }
            ranks.insert(storeReaderRank(member, true, Millis(700)));
        }
        REQUIRE(ranks.size() == daemons);
        REQUIRE(*ranks.begin() == 0);

        REQUIRE(maxStaleness(1) < maxStaleness(2));
        REQUIRE(maxStaleness(2) < maxStaleness(3));

        SECTION("and the last one still keeps to 3 s")
        {
            REQUIRE(maxStaleness(1'000) < Millis(3'000));
        }
        SECTION("load pattern: all start at once. One lists, and the others leave it half a second")
        {
            REQUIRE(initialReadDelay(0) < Millis(200));
            REQUIRE(initialReadDelay(1) >= initialReadDelay(0) + Millis(500));
            REQUIRE(initialReadDelay(2) > initialReadDelay(1));
            REQUIRE(initialReadDelay(1'000) < Millis(2'000));
        }
    }
}

TEST_CASE("published entries on their way to a peer")
{
    SECTION("short ones go as they are")
    {
        const std::vector<PublishedEntry> entries{{"servers/a", "text", 7, false},
                                                  {"servers/b", "", 8, true}};
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
        const std::vector<PublishedEntry> entries{{"config", value, 15, false}};
        const wire::PublishedItems message = encodeEntries(entries);

        SECTION("takes an eighth of its size, so that eleven peers get it in half a second")
        {
            // 11 peers over a link of 10 Mbit/s, with room for other traffic.
            REQUIRE(value.size() > 200'000);
            REQUIRE(message.ByteSizeLong() * 8 < value.size());
            REQUIRE(decodeEntries(message).value() == entries);
        }

        SECTION("is refused where its stream is damaged, cut, or says a wrong or huge size")
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

TEST_CASE("one daemon gives orders to an engine")
{
    const std::vector<EngineSite> engines{{BackendServerId("e1"), DataCentreId("a")}};
    const OwnershipTimings timings;
    OrderOwnership state;
    PeerTable peers = tableOf("v1", "a");

    SECTION("nobody claims before peers could be heard")
    {
        const OwnershipChange early
                = updateOwnership(state, timings, engines, peers, false, Millis(100));
        REQUIRE(early.gained.empty());
        // Its order count is read meanwhile.
        REQUIRE(early.likely == std::vector<BackendServerId>{BackendServerId("e1")});
        REQUIRE(updateOwnership(state, timings, engines, peers, false, timings.settle).gained.size()
                == 1);
        REQUIRE(ownerOf(state, peers, engines.front(), timings.settle) == VmId("v1"));
    }

    SECTION("a peer's claim holds, also for a while after it falls silent")
    {
        PeerStatus owner = news("v2", "a");
        owner.owned = {BackendServerId("e1")};
        updatePeer(peers, owner, Millis(5'000));
        REQUIRE(updateOwnership(state, timings, engines, peers, false, Millis(5'100))
                        .gained.empty());
        REQUIRE(ownerOf(state, peers, engines.front(), Millis(5'100)) == VmId("v2"));
        REQUIRE(updateOwnership(state, timings, engines, peers, false, Millis(7'500))
                        .gained.empty());
        REQUIRE(updateOwnership(state, timings, engines, peers, false, Millis(7'700)).gained.size()
                == 1);
    }

    SECTION("of two that claim, the one that ranks lower gives up")
    {
        PeerTable other = tableOf("v2", "a");
        OrderOwnership otherState;
        PeerStatus claim1 = news("v1", "a");
        PeerStatus claim2 = news("v2", "a");
        claim1.owned = claim2.owned = {BackendServerId("e1")};
        state.owned = otherState.owned = {BackendServerId("e1")};
        updatePeer(peers, claim2, Millis(5'000));
        updatePeer(other, claim1, Millis(5'000));
        const auto lost1
                = updateOwnership(state, timings, engines, peers, false, Millis(5'100)).lost;
        const auto lost2
                = updateOwnership(otherState, timings, engines, other, false, Millis(5'100)).lost;
        REQUIRE(lost1.size() + lost2.size() == 1);
    }

    SECTION("load pattern: all daemons lost. Engines are claimed soon after the start")
    {
        REQUIRE(updateOwnership(state, timings, engines, peers, false, timings.earlyClaim)
                        .gained.size()
                == 1);
        REQUIRE(isSettling(state, timings, timings.earlyClaim));

        SECTION("but given up to whoever claims them already, whatever its rank")
        {
            for (const char *vm : {"v0", "v2", "v3", "v4"}) {
                OrderOwnership own = state;
                PeerTable table = peers;
                PeerStatus owner = news(vm, "a");
                owner.owned = {BackendServerId("e1")};
                updatePeer(table, owner, Millis(300));
                REQUIRE(updateOwnership(own, timings, engines, table, false, Millis(300))
                                .lost.size()
                        == 1);
            }
        }

        SECTION("and a daemon that has run for long keeps them from one that has just started")
        {
            for (const char *vm : {"v0", "v2", "v3", "v4"}) {
                OrderOwnership own = state;
                PeerTable table = peers;
                PeerStatus starter = news(vm, "a");
                starter.owned = {BackendServerId("e1")};
                starter.inStartupGrace = true;
                updatePeer(table, starter, Millis(9'000));
                REQUIRE(updateOwnership(own, timings, engines, table, false, Millis(9'100))
                                .lost.empty());
            }
        }
    }

    SECTION("an engine of another data centre is claimed only if nobody there lives")
    {
        const std::vector<EngineSite> far{{BackendServerId("e9"), DataCentreId("b")}};
        updatePeer(peers, news("v9", "b"), Millis(20'000));
        REQUIRE(updateOwnership(state, timings, far, peers, false, Millis(20'100)).gained.empty());
        REQUIRE(ownerOf(state, peers, far.front(), Millis(20'100)) == VmId("v9"));
        REQUIRE(updateOwnership(state, timings, far, peers, false, Millis(26'000)).gained.size()
                == 1);
    }

    SECTION("a daemon that stops owns nothing")
    {
        state.owned = {BackendServerId("e1")};
        REQUIRE(updateOwnership(state, timings, engines, peers, true, Millis(9'000)).lost.size()
                == 1);
    }

    SECTION("an owner that knows of every peer need not wait for an engine that crashed")
    {
        const Millis lease(3'300);
        const Millis span = lease + timings.unnoticed;
        const BackendServerId engine("e1");
        const auto lookUntil = [&](Millis from, Millis until, const std::vector<VmId> &heard) {
            for (Millis at = from; at <= until; at += Millis(200)) {
                for (const VmId &peer : heard) {
                    updatePeer(peers, news(peer.str().c_str(), "a"), at);
                }
                (void)updateOwnership(state, timings, engines, peers, false, at);
            }
        };
        lookUntil(Millis(0), Millis(3'000), {VmId("v2")});
        REQUIRE(state.owned.count(engine) == 1);

        SECTION("once it has been in touch with all for a lease and longer")
        {
            REQUIRE_FALSE(isUncontested(state, timings, engine, lease, Millis(3'000)));
            lookUntil(Millis(3'200), span, {VmId("v2")});
            REQUIRE(isUncontested(state, timings, engine, lease, span));
        }
        SECTION("not where a peer has been silent meanwhile, even if it is back")
        {
            lookUntil(Millis(3'200), Millis(6'000), {});
            lookUntil(Millis(6'200), span + Millis(2'000), {VmId("v2")});
            REQUIRE_FALSE(isUncontested(state, timings, engine, lease, span + Millis(2'000)));
            lookUntil(span + Millis(2'200), Millis(6'200) + span, {VmId("v2")});
            REQUIRE(isUncontested(state, timings, engine, lease, Millis(6'200) + span));
        }
        SECTION("not where it stood still itself")
        {
            lookUntil(Millis(3'200), span, {VmId("v2")});
            const Millis woken = span + Millis(60'000);
            REQUIRE_FALSE(isUncontested(state, timings, engine, lease, woken));
            lookUntil(woken, woken + Millis(1'000), {VmId("v2")});
            REQUIRE_FALSE(isUncontested(state, timings, engine, lease, woken + Millis(1'000)));
        }
        SECTION("not where a peer claimed the engine within the lease")
        {
            lookUntil(Millis(3'200), span, {VmId("v2")});
            PeerStatus claim = news("v2", "a");
            claim.owned = {engine};
            updatePeer(peers, claim, span + Millis(100));
            state.owned.clear();
            lookUntil(span + Millis(200), span + Millis(200), {});
            lookUntil(span + Millis(400), span + Millis(3'000), {VmId("v2")});
            REQUIRE(state.owned.count(engine) == 1);
            REQUIRE_FALSE(isUncontested(state, timings, engine, lease, span + Millis(3'000)));
        }
        SECTION("nor for an engine of another daemon")
        {
            lookUntil(Millis(3'200), span, {VmId("v2")});
            REQUIRE_FALSE(isUncontested(state, timings, BackendServerId("e2"), lease, span));
        }
    }

    SECTION("fencing numbers rise with each term and differ between daemons")
    {
        REQUIRE(fencingNumberFor(10, 4, VmId("v1")) > fencingNumberFor(10, 3, VmId("v2")));
        REQUIRE(fencingNumberFor(11, 3, VmId("v2")) > fencingNumberFor(10, 3, VmId("v1")));
        REQUIRE(fencingNumberFor(10, 3, VmId("v1")) != fencingNumberFor(10, 3, VmId("v2")));
    }
}

TEST_CASE("engines are chosen for an adapter")
{
    const Location location = twoRegions();
    const ServerEntry e1 = server("e1", "a");
    const ServerEntry e2 = server("e2", "b");
    const ServerEntry e3 = server("e3", "c");
    const ServerEntry e4 = server("e4", "c");
    const std::vector<const ServerEntry *> servers{&e1, &e2, &e3, &e4};
    ServerExperiences experiences;
    const Millis now(1'000);

    SECTION("load pattern: many rare adapters. Each has the same home for callers of all regions")
    {
        Location west = location;
        west.dataCentre = DataCentreId("c");
        for (int i = 0; i < 50; ++i) {
            const std::string adapter = "rare" + std::to_string(i);
            REQUIRE(rankEngines(servers, location, experiences, wishFor(adapter, 0.1, {}), 1, now)
                            .servers.front()
                    == rankEngines(servers, west, experiences, wishFor(adapter, 0.1, {}), 2, now)
                               .servers.front());
        }
    }

    SECTION("load pattern: many rare adapters. One stays where it was served last")
    {
        const BackendServerId last("e4");
        REQUIRE(rankEngines(servers, location, experiences, wishFor("rare", 0.1, last), 1, now)
                        .servers.front()
                == last);
        AdapterHomes homes;
        noteHome(homes, "rare", last, now);
        REQUIRE(lastHome(homes, "rare", now + Millis(1'000)) == last);
        REQUIRE_FALSE(lastHome(homes, "rare", now + Millis(60'000)));
    }

    SECTION("load pattern: a hot adapter. It has as many homes in the region as it needs")
    {
        const auto ranked
                = rankEngines(servers, location, experiences, wishFor("hot", 8.0, {}), 1, now)
                          .servers;
        REQUIRE((ranked[0] == BackendServerId("e1") || ranked[0] == BackendServerId("e2")));
        REQUIRE((ranked[1] == BackendServerId("e1") || ranked[1] == BackendServerId("e2")));
        experiences[ranked[0]].wait = Millis(600);
        experiences[ranked[0]].waitToldAt = now;
        REQUIRE(rankEngines(servers, location, experiences, wishFor("hot", 8.0, {}), 1, now)
                        .servers.front()
                == ranked[1]);
    }

    SECTION("load pattern: all daemons lost. Adapters are asked for where engines still hold them")
    {
        const std::string adapter = "kept";
        const auto unheld
                = rankEngines(servers, location, experiences, wishFor(adapter, 0, {}), 1, now);
        ServerEntry holder
                = **std::find_if(servers.begin(), servers.end(), [&](const ServerEntry *entry) {
                      return entry->id == unheld.servers.back();
                  });
        holder.adapters.insert(AdapterName{BaseModelId("base"), AdapterId(adapter)});
        std::vector<const ServerEntry *> listed = servers;
        std::replace_if(
                listed.begin(), listed.end(),
                [&](const ServerEntry *entry) { return entry->id == holder.id; }, &holder);

        REQUIRE(rankEngines(listed, location, experiences, wishFor(adapter, 0, {}), 1, now)
                        .servers.front()
                == holder.id);

        SECTION("but where it was served lately goes first, as lists are old")
        {
            const BackendServerId last = unheld.servers.front();
            REQUIRE(rankEngines(listed, location, experiences, wishFor(adapter, 0.1, last), 1, now)
                            .servers.front()
                    == last);
        }

        SECTION("an adapter of that name of another base model is not held")
        {
            EngineWish other = wishFor(adapter, 0, {});
            other.name.base = BaseModelId("other");
            REQUIRE(rankEngines(listed, location, experiences, other, 1, now).servers
                    == unheld.servers);
        }
    }

    SECTION("load pattern: all daemons lost. A busy adapter is spread over the near engines that "
            "hold it, before anyone has told its demand")
    {
        ServerEntry first = e1;
        ServerEntry second = e2;
        ServerEntry far = e3;
        for (ServerEntry *holder : {&first, &second, &far}) {
            holder->adapters.insert(AdapterName{BaseModelId("base"), AdapterId("hot")});
        }
        const std::vector<const ServerEntry *> listed{&first, &second, &far, &e4};
        std::map<BackendServerId, int> asked;
        for (std::uint64_t random = 0; random < 40; ++random) {
            const auto ranking = rankEngines(listed, location, experiences, wishFor("hot", 0, {}),
                                             hash64(std::to_string(random)), now);
            REQUIRE(ranking.homes.size() == 2);
            ++asked[ranking.servers.front()];
        }
        REQUIRE(asked.size() == 2);
        REQUIRE(asked.count(far.id) == 0);
    }

    SECTION("an engine that cannot be reached, or has no model, comes last")
    {
        const auto ranked
                = rankEngines(servers, location, experiences, wishFor("x", 0.1, {}), 1, now)
                          .servers;
        noteUnreachable(experiences[ranked.front()], now);
        REQUIRE(rankEngines(servers, location, experiences, wishFor("x", 0.1, ranked.front()), 1,
                            now)
                        .servers.back()
                == ranked.front());
    }

    SECTION("load pattern: a grey replica. It is left out within a few failed answers")
    {
        ServerExperience &grey = experiences[BackendServerId("e1")];
        for (int i = 0; i < 6; ++i) {
            noteAnswer(grey, true);
        }
        REQUIRE(rankReplicas(servers, location, experiences, 1, now).back()
                == BackendServerId("e1"));
    }

    SECTION("plain replicas: the near one first, until it has more in progress")
    {
        REQUIRE(rankReplicas(servers, location, experiences, 1, now).front()
                == BackendServerId("e1"));
        experiences[BackendServerId("e1")].inFlight = 1;
        REQUIRE(rankReplicas(servers, location, experiences, 1, now).front()
                == BackendServerId("e2"));
    }

    SECTION("load pattern: a hot adapter and seventy daemons. Its requests spread over its homes")
    {
        // Each daemon sends one request and knows of no waits.
        std::map<BackendServerId, int> first;
        constexpr int daemons = 70;
        for (int daemon = 0; daemon < daemons; ++daemon) {
            const auto ranking
                    = rankEngines(servers, location, experiences, wishFor("hot", 8.0, {}),
                                  hash64(std::to_string(daemon)), now);
            REQUIRE(ranking.regional);
            REQUIRE(ranking.homes.size() == 2);
            ++first[ranking.servers.front()];
        }
        REQUIRE(first.size() == 2);
        for (const auto &[id, count] : first) {
            REQUIRE(count <= daemons * 2 / 3);
        }
    }

    SECTION("load pattern: the base model. Its requests stay in the region")
    {
        for (std::uint64_t random = 0; random < 20; ++random) {
            const auto ranking
                    = rankEngines(servers, location, experiences, wishFor("", 0, {}), random, now);
            REQUIRE((ranking.servers.front() == BackendServerId("e1")
                     || ranking.servers.front() == BackendServerId("e2")));
        }
    }

    SECTION("load pattern: one of seventy daemons. A lone request does not make an adapter busy")
    {
        AdapterDemand demand;
        REQUIRE(demandFor(demand, "a", now) == 0);

        SECTION("an owner's word does, for a while")
        {
            noteDemand(demand, "a", 8.0, now);
            REQUIRE(demandFor(demand, "a", now + Millis(5'000)) == 8.0);
            REQUIRE(demandFor(demand, "a", now + Millis(60'000)) == 0);
        }
    }
}

TEST_CASE("a rate of requests")
{
    RequestRate rate;
    for (int i = 0; i < 100; ++i) {
        countRequest(rate, Millis(i * 100));
    }

    SECTION("is what came in the last seconds")
    {
        REQUIRE(rateAt(rate, Millis(10'000)) == Approx(10.0).margin(2.0));
    }

    SECTION("decays")
    {
        REQUIRE(rateAt(rate, Millis(60'000)) < 0.1);
    }
}

TEST_CASE("second sends stay within the share of this daemon")
{
    const RetryBudgetLimits limits;
    SharedRetryBudget budget;
    int taken = 0;
    while (budget.tryTake(limits, 8, Millis(0))) {
        ++taken;
    }
    REQUIRE(taken * 8 <= limits.slack);
    for (int i = 0; i < 100; ++i) {
        budget.recordRequest(limits, Millis(500));
    }
    int more = 0;
    while (budget.tryTake(limits, 8, Millis(600))) {
        ++more;
    }
    REQUIRE(more > 0);
    REQUIRE(taken + more <= limits.slack / 8 + limits.ratio * 100);
    REQUIRE(budget.tryTake(limits, 8, Millis(30'000)));
}

TEST_CASE("a request that crashes its servers is remembered")
{
    CrashHistory memory;
    const Fingerprint crasher(7);
    REQUIRE(recordCrash(memory, crasher, Millis(0)) == 1);
    REQUIRE_FALSE(isQuarantined(memory, crasher, Millis(10)));

    SECTION("two crashes are enough, also if a peer saw them")
    {
        mergeCrashCount(memory, crasher, crashLimit, Millis(20));
        REQUIRE(isQuarantined(memory, crasher, Millis(30)));
        REQUIRE_FALSE(isQuarantined(memory, crasher, Millis(30) + crashRetention));
    }

    SECTION("a request that ran to its end is cleared")
    {
        forgetCrashes(memory, crasher);
        REQUIRE(memory.entries.empty());
    }
}

TEST_CASE("a stream is cut into whole events")
{
    EventSplitter splitter;
    REQUIRE(splitEvents(splitter, "id: 1\ndata: a\n").empty());
    REQUIRE(splitEvents(splitter, "\nid: 2\nda") == "id: 1\ndata: a\n\n");
    REQUIRE(splitter.lastId == "1");
    REQUIRE(splitter.eventCount == 1);
    REQUIRE(splitEvents(splitter, "ta: b\n\nid: 3\n\n") == "id: 2\ndata: b\n\nid: 3\n\n");
    REQUIRE(splitter.lastId == "3");
    REQUIRE(splitter.eventCount == 3);

    SECTION("bytes without end are no event")
    {
        const std::string piece(16 * 1024, 'x');
        std::size_t pieces = 0;
        while (!isOverlong(splitter) && pieces < 1'000) {
            REQUIRE(splitEvents(splitter, piece).empty());
            ++pieces;
        }
        REQUIRE(pieces * piece.size() <= 2 * maxEventBytes);
    }
}
