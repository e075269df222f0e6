// Guards against a daemon that is cut off from the fleet and commands engines that others command,
// too (docs/incidents/unarbitrated-engines.md).
#include <balsamport/edge/fleet_contact.h>

#include <catch2/catch.hpp>

using namespace balsamport;

namespace {

constexpr Millis start{1'000};
constexpr ContactEvidence storeReached{true, true, Millis(500)};
constexpr ContactEvidence storeLost{true, false, Millis(5'000)};

/// A daemon and the others of its data centre.
struct Fleet
{
    explicit Fleet(std::size_t others)
    {
        this->peers.self = VmId("v0");
        this->peers.dataCentre = DataCentreId("a");
        for (std::size_t i = 1; i <= others; ++i) {
            this->receiveFrom(i, start);
        }
    }

    void receiveFrom(std::size_t number, Millis at, bool draining = false,
                     std::uint32_t knownMembers = 0)
    {
        PeerStatus status;
        status.vm = VmId("v" + std::to_string(number));
        status.incarnation = 1;
        status.dataCentre = DataCentreId("a");
        status.draining = draining;
        status.knownMembers = knownMembers;
        updatePeer(this->peers, status, at);
    }

    [[nodiscard]] FleetContact assess(const ContactEvidence &evidence, Millis now) const
    {
        return assessContact(this->peers, evidence, start, now);
    }

    PeerTable peers;
};

} // namespace

TEST_CASE("a daemon assesses how much of the fleet it is in contact with")
{
    SECTION("one to which more than half of the others are alive has a majority")
    {
        Fleet fleet(7);
        const Millis now = start + Millis(4'000);
        for (std::size_t i = 1; i <= 4; ++i) {
            fleet.receiveFrom(i, now);
        }
        REQUIRE(fleet.assess(storeReached, now) == FleetContact::Majority);
        SECTION("also while the store is down")
        {
            REQUIRE(fleet.assess(storeLost, now) == FleetContact::Majority);
        }
    }
    SECTION("one that is cut off in a group")
    {
        Fleet fleet(7);
        const Millis now = start + Millis(4'000);
        for (std::size_t i = 1; i <= 2; ++i) {
            fleet.receiveFrom(i, now);
        }
        SECTION("is isolated without the store")
        {
            REQUIRE(fleet.assess(storeLost, now) == FleetContact::Isolated);
        }
        SECTION("is in a minority with the store, as the others may have ended")
        {
            REQUIRE(fleet.assess(storeReached, now) == FleetContact::Minority);
        }
        SECTION("doesn't reach the store if its last confirmation is old")
        {
            const ContactEvidence stale{true, true, Millis(6'000)};
            REQUIRE(fleet.assess(stale, now) == FleetContact::Isolated);
        }
    }
    SECTION("half of the fleet is no majority")
    {
        Fleet fleet(3);
        const Millis now = start + Millis(4'000);
        fleet.receiveFrom(1, now);
        REQUIRE(fleet.assess(storeReached, now) == FleetContact::Minority);
    }
    SECTION("daemons that announced their end don't count once they are silent")
    {
        Fleet fleet(3);
        fleet.receiveFrom(2, start + Millis(1), true);
        fleet.receiveFrom(3, start + Millis(1), true);
        const Millis now = start + Millis(4'000);
        fleet.receiveFrom(1, now);
        REQUIRE(fleet.assess(storeLost, now) == FleetContact::Majority);
    }
    SECTION("daemons that were removed as silent in a minority count for two minutes")
    {
        Fleet fleet(3);
        const Millis removedAt = start + Millis(20'100);
        REQUIRE(removeSilentPeers(fleet.peers, false, removedAt).size() == 3);
        REQUIRE(fleet.assess(storeReached, removedAt) == FleetContact::Minority);
        SECTION("unless they send again")
        {
            fleet.receiveFrom(1, removedAt);
            fleet.receiveFrom(2, removedAt);
            REQUIRE(knownMembers(fleet.peers, removedAt) == 3);
            REQUIRE(fleet.assess(storeReached, removedAt) == FleetContact::Majority);
        }
        SECTION("and no longer")
        {
            const Millis later = removedAt + Millis(120'001);
            REQUIRE(removeSilentPeers(fleet.peers, false, later).empty());
            REQUIRE(fleet.assess(storeReached, later) == FleetContact::Majority);
        }
    }
    SECTION("daemons that were removed in a majority don't")
    {
        Fleet fleet(3);
        REQUIRE(removeSilentPeers(fleet.peers, true, start + Millis(20'100)).size() == 3);
        REQUIRE(knownMembers(fleet.peers, start + Millis(20'100)) == 0);
    }
    SECTION("one that restarted inside a cut goes by what the others beside it know")
    {
        Fleet fleet(0);
        fleet.receiveFrom(1, start, false, 7);
        fleet.receiveFrom(2, start, false, 7);
        REQUIRE(fleet.assess(storeLost, start) == FleetContact::Isolated);
    }
    SECTION("one that has received nothing since its start")
    {
        const Fleet fleet(0);
        SECTION("is no majority while its seed nodes may live")
        {
            REQUIRE(fleet.assess(storeReached, start) == FleetContact::Minority);
            REQUIRE(fleet.assess(storeLost, start) == FleetContact::Isolated);
        }
        SECTION("is the whole fleet once they were silent for long, or where there are none")
        {
            const Millis later = start + fleet.peers.timings.silentPeerRetention;
            REQUIRE(fleet.assess(storeReached, later) == FleetContact::Majority);
            REQUIRE(fleet.assess(ContactEvidence{false, true, Millis(0)}, start)
                    == FleetContact::Majority);
        }
    }
}

TEST_CASE("a daemon becomes a holder of engines only in contact with the fleet")
{
    const CommandLeaseTimings timings;
    const Millis leaseAndMargin = timings.lease + timings.margin;
    ContactState state;
    state.startedAt = start;
    SECTION("never while it is isolated")
    {
        REQUIRE(acquirableFrom(state, timings) == ContactState::never);
        REQUIRE(unarbitratedFrom(state, timings) == ContactState::never);
    }
    SECTION("at once after its start")
    {
        const Millis reached = start + Millis(400);
        REQUIRE(updateContact(state, FleetContact::Majority, reached));
        REQUIRE(acquirableFrom(state, timings) == reached);
        SECTION("but an engine without reservations only a lease later")
        {
            REQUIRE(unarbitratedFrom(state, timings) == reached + leaseAndMargin);
        }
        SECTION("and a lease after a pause, in which peers' messages wait and seem new")
        {
            const Millis awake = reached + Millis(9'000);
            restartMajority(state, awake);
            REQUIRE(unarbitratedFrom(state, timings) == awake + leaseAndMargin);
            REQUIRE(acquirableFrom(state, timings) == reached);
        }
        SECTION("a lease after an isolation, as others took over meanwhile")
        {
            const Millis healed = reached + Millis(12'000);
            updateContact(state, FleetContact::Isolated, reached + Millis(5'000));
            REQUIRE(acquirableFrom(state, timings) == ContactState::never);
            updateContact(state, FleetContact::Minority, healed);
            REQUIRE(acquirableFrom(state, timings) == healed + leaseAndMargin);
            SECTION("which doesn't begin anew when more daemons are alive")
            {
                REQUIRE(updateContact(state, FleetContact::Majority, healed + Millis(500)));
                REQUIRE_FALSE(updateContact(state, FleetContact::Majority, healed + Millis(600)));
                REQUIRE(acquirableFrom(state, timings) == healed + leaseAndMargin);
                REQUIRE(unarbitratedFrom(state, timings) == healed + Millis(500) + leaseAndMargin);
            }
        }
        SECTION("in a minority that reaches the store, where the engine arbitrates")
        {
            updateContact(state, FleetContact::Minority, reached + Millis(5'000));
            REQUIRE(acquirableFrom(state, timings) == reached);
            REQUIRE(unarbitratedFrom(state, timings) == ContactState::never);
        }
    }
    SECTION("a claim outlasts the majority of an owner behind a cut and its last command")
    {
        const PeerTimings peers;
        REQUIRE(peers.localPeerTimeout + claimSettlingTime >= peers.remotePeerTimeout
                        + reservationUse(timings) + CommandLeaseTimings::deliveryTime);
    }
    SECTION("a lease can't be acquired before, however long the count is unchanged")
    {
        CommandLease lease;
        CommandLeaseTimings isolated;
        isolated.acquirableFrom = ContactState::never;
        const ObservedCommandCount count{1, 0};
        REQUIRE(observeCommandCount(lease, isolated, count, start) == CountObservation::Changed);
        REQUIRE(observeCommandCount(lease, isolated, count, start + Millis(60'000))
                == CountObservation::Unchanged);
        REQUIRE_FALSE(lease.held);
        CommandLeaseTimings inContact;
        inContact.acquirableFrom = start + Millis(70'000);
        REQUIRE(expectedAcquisition(lease, inContact) == start + Millis(70'000));
        REQUIRE(observeCommandCount(lease, inContact, count, start + Millis(70'000))
                == CountObservation::Acquired);
    }
}
