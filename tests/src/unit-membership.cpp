#include <balsamport/policy/membership.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <deque>
#include <map>
#include <set>

using namespace balsamport;

namespace {

Member memberNamed(const std::string &vm, const std::string &dataCentre = "a")
{
    Member member;
    member.instance = VmInstance{VmId(vm), Incarnation(1)};
    member.dataCentre = DataCentreId(dataCentre);
    member.controllerEndpoint = "tcp://" + vm;
    return member;
}

ListedVm listedNamed(const std::string &vm, const std::string &dataCentre = "a")
{
    return ListedVm{VmId(vm), DataCentreId(dataCentre), "tcp://" + vm, "", false};
}

/// Members that probe each other in virtual time; a silent member neither replies nor ticks.
struct SimulatedFleet
{
    explicit SimulatedFleet(const std::vector<std::string> &vms)
    {
        std::vector<ListedVm> list;
        for (const std::string &vm : vms) {
            list.push_back(listedNamed(vm));
        }
        std::uint64_t seed = 1;
        for (const std::string &vm : vms) {
            this->nodes[VmId(vm)] = startMembership(memberNamed(vm), {}, seed++);
            applyList(this->nodes[VmId(vm)], makePlatformList(list, Millis(1)), Millis(1));
        }
    }

    bool canReach(const VmId &from, const VmId &to) const
    {
        return !this->silent.count(from) && !this->silent.count(to)
                && !this->cutLinks.count({from, to}) && !this->cutLinks.count({to, from});
    }

    void exchange(const VmId &from, const VmId &to)
    {
        for (const Member &update : selectGossip(this->nodes[from], to)) {
            applyGossip(this->nodes[to], update, this->now);
        }
        recordMessageFrom(this->nodes[to], from, this->now);
        for (const Member &update : selectGossip(this->nodes[to], from)) {
            applyGossip(this->nodes[from], update, this->now);
        }
        recordMessageFrom(this->nodes[from], to, this->now);
    }

    void probe(const VmId &from, const ProbeAction &action)
    {
        if (action.relayEndpoints.empty() && this->canReach(from, action.target)) {
            this->exchange(from, action.target);
        }
        for (const std::string &endpoint : action.relayEndpoints) {
            const VmId relay(endpoint.substr(std::string("tcp://").size()));
            if (this->canReach(from, relay) && this->canReach(relay, action.target)) {
                recordMessageFrom(this->nodes[from], action.target, this->now);
            }
        }
    }

    void run(Millis time)
    {
        const Millis end = this->now + time;
        for (; this->now < end; this->now += Millis(20)) {
            for (auto &[vm, state] : this->nodes) {
                if (this->silent.count(vm) != 0) {
                    continue;
                }
                expireMembers(state, this->now);
                const auto action = nextProbe(state, this->now);
                if (action) {
                    this->probe(vm, *action);
                }
            }
        }
    }

    MemberState stateOf(const std::string &vm, const std::string &seenBy)
    {
        return this->nodes[VmId(seenBy)].others.at(VmId(vm)).member.state;
    }

    std::map<VmId, MembershipState> nodes;
    std::set<VmId> silent;
    std::set<std::pair<VmId, VmId>> cutLinks;
    Millis now{1};
};

} // namespace

// Guards against members that are declared dead by mistake or stay dead after they are reachable.
TEST_CASE("members probe each other")
{
    SimulatedFleet fleet({"a1", "a2", "a3", "a4"});
    fleet.run(Millis(5'000));
    REQUIRE(fleet.stateOf("a1", "a2") == MemberState::Alive);

    SECTION("a silent member is suspected, then dead, at all other members")
    {
        fleet.silent.insert(VmId("a1"));
        fleet.run(Millis(6'000));
        for (const char *vm : {"a2", "a3", "a4"}) {
            REQUIRE(fleet.stateOf("a1", vm) == MemberState::Dead);
        }

        SECTION("and refutes its death once it resumes")
        {
            fleet.silent.clear();
            fleet.run(Millis(8'000));
            for (const char *vm : {"a2", "a3", "a4"}) {
                REQUIRE(fleet.stateOf("a1", vm) == MemberState::Alive);
            }
        }
    }

    SECTION("with one broken link relays keep every member alive")
    {
        fleet.cutLinks.insert({VmId("a1"), VmId("a2")});
        fleet.run(Millis(10'000));
        for (const char *vm : {"a2", "a3", "a4"}) {
            REQUIRE(fleet.stateOf("a1", vm) != MemberState::Dead);
        }
    }

    SECTION("after a partition both sides see each other alive again")
    {
        for (const char *left : {"a1", "a2"}) {
            for (const char *right : {"a3", "a4"}) {
                fleet.cutLinks.insert({VmId(left), VmId(right)});
            }
        }
        fleet.run(Millis(8'000));
        REQUIRE(fleet.stateOf("a3", "a1") == MemberState::Dead);
        REQUIRE(fleet.stateOf("a1", "a3") == MemberState::Dead);
        fleet.cutLinks.clear();
        fleet.run(Millis(20'000));
        REQUIRE(fleet.stateOf("a3", "a1") == MemberState::Alive);
        REQUIRE(fleet.stateOf("a2", "a4") == MemberState::Alive);
    }

    SECTION("draining spreads and is not overruled by a suspicion that ended")
    {
        startDraining(fleet.nodes[VmId("a1")]);
        fleet.run(Millis(4'000));
        for (const char *vm : {"a2", "a3", "a4"}) {
            REQUIRE(fleet.stateOf("a1", vm) == MemberState::Draining);
        }
    }
}

// Guards against gossip that arrives late or is lost and reverts the state of a member.
TEST_CASE("gossip has an order of precedence")
{
    MembershipState state = startMembership(memberNamed("a1"), {}, 1);
    Member other = memberNamed("a2");
    REQUIRE(applyGossip(state, other, Millis(1)));

    SECTION("the state of higher rank wins at the same refutation, a higher refutation over it")
    {
        Member suspect = other;
        suspect.state = MemberState::Suspect;
        REQUIRE(applyGossip(state, suspect, Millis(2)));
        REQUIRE_FALSE(applyGossip(state, other, Millis(3)));
        other.refutation = 1;
        REQUIRE(applyGossip(state, other, Millis(4)));
    }

    SECTION("a lower incarnation never replaces a higher one")
    {
        Member restarted = other;
        restarted.instance.incarnation = Incarnation(2);
        REQUIRE(applyGossip(state, restarted, Millis(2)));
        Member dead = other;
        dead.state = MemberState::Dead;
        dead.refutation = 100;
        REQUIRE_FALSE(applyGossip(state, dead, Millis(3)));
    }

    SECTION("a refutation whose copies were all lost is sent again to a member that missed it")
    {
        MembershipState state = startMembership(memberNamed("vm1"), {}, 1);
        Member dead = memberNamed("vm1");
        dead.state = MemberState::Dead;
        REQUIRE(applyGossip(state, dead, Millis(1)));
        const Millis now(2);
        const VmId peer("vm2");
        applyGossip(state, memberNamed("vm2"), now);
        recordMessageFrom(state, peer, now);
        const auto announcesSelf = [&] {
            const std::vector<Member> gossip = selectGossip(state, peer);
            return std::any_of(gossip.begin(), gossip.end(),
                               [&](const Member &member) { return member == state.self; });
        };
        int lost = 0;
        while (announcesSelf()) {
            ++lost;
            REQUIRE(lost < 100);
        }
        REQUIRE(lost > 0);
        applyGossip(state, dead, Millis(3));
        REQUIRE(announcesSelf());
        REQUIRE(state.self.refutation == 1);
    }

    SECTION("a draining member refutes its death and stays draining")
    {
        startDraining(state);
        Member dead = state.self;
        dead.state = MemberState::Dead;
        REQUIRE(applyGossip(state, dead, Millis(2)));
        REQUIRE(state.self.state == MemberState::Draining);
        REQUIRE(state.self.refutation > dead.refutation);
    }

    SECTION("a list that was read earlier is ignored")
    {
        REQUIRE(applyList(state, makePlatformList({listedNamed("a1")}, Millis(10)), Millis(10)));
        REQUIRE_FALSE(
                applyList(state, makePlatformList({listedNamed("a9")}, Millis(5)), Millis(11)));
        REQUIRE(findListed(state.list, VmId("a9")) == nullptr);
    }
}

// Guards against gossip that grows with the fleet.
TEST_CASE("the gossip of a message is bounded in a fleet of any size")
{
    for (const int size : {8, 40, 340}) {
        MembershipState state = startMembership(memberNamed("vm0"), {}, 1);
        for (int i = 1; i < size; ++i) {
            applyGossip(state, memberNamed("vm" + std::to_string(i)), Millis(1));
        }
        REQUIRE(selectGossip(state, VmId("vm1")).size() <= state.timings.gossipPerMessage);
    }
}

// Guards against members that a change does not reach, and against members that send to too many.
TEST_CASE("a change reaches every member of the data centre, each sends to at most five")
{
    constexpr int size = 57;
    std::map<VmId, MembershipState> nodes;
    for (int i = 0; i < size; ++i) {
        const std::string vm = "vm" + std::to_string(i);
        nodes[VmId(vm)] = startMembership(memberNamed(vm), {}, 1);
        for (int j = 0; j < size; ++j) {
            applyGossip(nodes[VmId(vm)], memberNamed("vm" + std::to_string(j)), Millis(1));
        }
    }
    for (std::uint64_t change = 1; change <= 50; ++change) {
        std::set<VmId> reached = {VmId("vm7")};
        std::deque<VmId> queue = {VmId("vm7")};
        bool first = true;
        while (!queue.empty()) {
            const std::vector<VmId> next = broadcastTargets(nodes[queue.front()], change, first);
            first = false;
            queue.pop_front();
            REQUIRE(next.size() <= broadcastFanout + 1);
            for (const VmId &vm : next) {
                if (reached.insert(vm).second) {
                    queue.push_back(vm);
                }
            }
        }
        REQUIRE(reached.size() == size);
    }
}

// Guards against a data centre without a watcher of the platform after a watcher died.
TEST_CASE("two VMs of a data centre watch the platform")
{
    MembershipState state = startMembership(memberNamed("a1"), {}, 1);
    std::vector<ListedVm> list;
    for (const char *vm : {"a1", "a2", "a3", "a4", "a5"}) {
        list.push_back(listedNamed(vm));
    }
    applyList(state, makePlatformList(list, Millis(1)), Millis(1));
    const std::vector<VmId> watchers = watchersOf(state, DataCentreId("a"));
    REQUIRE(watchers.size() == 2);

    SECTION("another VM replaces a dead watcher")
    {
        Member dead = memberNamed(watchers.front().str());
        if (dead.instance.vm == VmId("a1")) {
            dead = memberNamed(watchers.back().str());
        }
        dead.state = MemberState::Dead;
        applyGossip(state, dead, Millis(2));
        const std::vector<VmId> next = watchersOf(state, DataCentreId("a"));
        REQUIRE(next.size() == 2);
        REQUIRE(std::find(next.begin(), next.end(), dead.instance.vm) == next.end());
    }
}
