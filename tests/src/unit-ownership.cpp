#include <balsamport/policy/ownership.h>

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/state.h>

#include <fixed_seed.h>
#include <ownership_cluster.h>
#include <random>

using namespace balsamport;
using namespace balsamport::testing;

namespace {

constexpr Millis viewLifetime{2'000};
constexpr Millis handoverWait{3'000};

PlatformList listOf(const std::vector<std::string> &vms, Millis readAt)
{
    std::vector<ListedVm> list;
    for (const std::string &vm : vms) {
        list.push_back(ListedVm{VmId(vm), DataCentreId("a"), "tcp://" + vm, "", false});
    }
    return makePlatformList(std::move(list), readAt);
}

struct ClusterModel
{
    std::uint64_t steps = 0;
};

/// The owner among three VMs gets no messages while the two others restart, have it as dead and
/// vote.
bool restartedVotersGiveTwoOwners(OwnershipDefect defect)
{
    using Kind = ClusterStep::Kind;
    constexpr std::uint8_t size = 3;
    OwnershipCluster cluster(size, defect);
    for (int i = 0; i < 40; ++i) {
        for (std::uint8_t node = 0; node < size; ++node) {
            cluster.apply({Kind::Round, node, 0, 0});
        }
        cluster.apply({Kind::Advance, 0, 0, 25});
    }
    const std::vector<std::size_t> owners = cluster.effectiveOwners();
    REQUIRE(owners.size() == 1);
    const auto owner = static_cast<std::uint8_t>(owners.front());
    const auto dead = static_cast<std::uint16_t>(MemberState::Dead);
    for (std::uint8_t node = 0; node < size; ++node) {
        if (node != owner) {
            cluster.apply({Kind::Restart, node, 0, 0});
            cluster.apply({Kind::SetState, node, owner, dead});
        }
    }
    for (std::uint8_t node = 0; node < size; ++node) {
        if (node != owner) {
            cluster.apply({Kind::Round, node, 0, 0});
        }
    }
    return cluster.hadTwoOwners();
}

/// Applies one random event and asserts that there are never two effective owners.
struct StepCommand : rc::state::Command<ClusterModel, OwnershipCluster>
{
    ClusterStep step;

    StepCommand()
    {
        const auto seed = *rc::gen::arbitrary<std::uint32_t>();
        std::mt19937_64 random(seed);
        this->step = randomStep(random);
    }
    void apply(ClusterModel &model) const override { ++model.steps; }
    void run(const ClusterModel & /*model*/, OwnershipCluster &cluster) const override
    {
        cluster.apply(this->step);
        RC_ASSERT(!cluster.hadTwoOwners());
    }
    void show(std::ostream &out) const override { out << this->step; }
};

} // namespace

// Guards against two owners that rely on contradicting votes of the same voter.
TEST_CASE("a voter keeps its promises")
{
    VoterState voter;
    const VmId member("a1");

    SECTION("no vote that a member has departed while a vote for its presence is valid")
    {
        REQUIRE(votePresent(voter, member, Millis(1'000), viewLifetime));
        REQUIRE_FALSE(voteDeparted(voter, member, true, Millis(3'400), viewLifetime));
        REQUIRE(voteDeparted(voter, member, true, Millis(3'500), viewLifetime));

        SECTION("then no vote for its presence while the vote that it has departed is valid")
        {
            REQUIRE_FALSE(votePresent(voter, member, Millis(5'900), viewLifetime));
            REQUIRE(votePresent(voter, member, Millis(6'000), viewLifetime));
        }
    }

    SECTION("no vote that a member has departed while the own membership has it as present")
    {
        REQUIRE_FALSE(voteDeparted(voter, member, false, Millis(1'000), viewLifetime));
    }

    SECTION("after a start the voter abstains while promises of an earlier run may hold")
    {
        voter.abstainUntil = Millis(1'000) + promiseDuration(viewLifetime);
        REQUIRE_FALSE(votePresent(voter, member, Millis(3'400), viewLifetime));
        REQUIRE(votePresent(voter, member, Millis(3'500), viewLifetime));
    }
}

// Guards against ownership that is confirmed by too few votes or for too long.
TEST_CASE("ownership conditions are confirmed by votes")
{
    const PlatformList three = listOf({"a1", "a2", "a3"}, Millis(0));
    const VmId a1("a1");
    const VmId a2("a2");
    const VmId a3("a3");
    CollectedVotes collectedVotes;
    const OwnershipConditions self{{a1}, {}};

    SECTION("two of three voters confirm a member as present until the earlier vote expires")
    {
        collectedVotes.present[a1] = {{a1, Millis(100)}};
        REQUIRE(confirmedUntil(self, collectedVotes, three, viewLifetime) == Millis());
        collectedVotes.present[a1][a2] = Millis(90);
        REQUIRE(confirmedUntil(self, collectedVotes, three, viewLifetime) == Millis(90));
    }

    SECTION("a majority must confirm every skipped member as departed")
    {
        collectedVotes.present[a1] = {{a1, Millis(100)}, {a2, Millis(100)}};
        const OwnershipConditions takeover{{a1}, {a3}};
        collectedVotes.departed[a3] = {{a1, Millis(80)}};
        REQUIRE(confirmedUntil(takeover, collectedVotes, three, viewLifetime) == Millis());
        collectedVotes.departed[a3][a2] = Millis(70);
        REQUIRE(confirmedUntil(takeover, collectedVotes, three, viewLifetime) == Millis(70));
    }

    SECTION("of two VMs one vote is enough only while the list is fresh")
    {
        const PlatformList two = listOf({"a1", "a2"}, Millis(1'000));
        collectedVotes.present[a1] = {{a1, Millis(9'000)}};
        REQUIRE(confirmedUntil(self, collectedVotes, two, viewLifetime) == Millis(3'000));
        collectedVotes.present[a1][a2] = Millis(8'000);
        REQUIRE(confirmedUntil(self, collectedVotes, two, viewLifetime) == Millis(8'000));
    }

    SECTION("a VM that is not listed is never confirmed")
    {
        collectedVotes.present[VmId("x")] = {{VmId("x"), Millis(100)}};
        REQUIRE(confirmedUntil({{VmId("x")}, {}}, collectedVotes, three, viewLifetime) == Millis());
    }
}

// Guards against an owner that sends commands before or after its confirmed term.
TEST_CASE("the authority of an owner follows its term")
{
    OwnershipTerm term = updateTerm(OwnershipTerm{}, true, Millis(), Millis(1'000));
    REQUIRE(authorityOf(OwnershipTerm{}, Millis(1'000), handoverWait) == OwnerAuthority::None);
    REQUIRE(authorityOf(term, Millis(1'000), handoverWait) == OwnerAuthority::Handover);

    SECTION("an unconfirmed owner only grants")
    {
        REQUIRE(authorityOf(term, Millis(4'000), handoverWait) == OwnerAuthority::GrantsOnly);
    }

    SECTION("a confirmed owner has full authority from the handover wait to the end of "
            "confirmation")
    {
        for (Millis now(1'500); now < Millis(6'000); now += Millis(500)) {
            term = updateTerm(term, true, now + viewLifetime, now);
        }
        REQUIRE(authorityOf(term, Millis(4'400), handoverWait) == OwnerAuthority::GrantsOnly);
        REQUIRE(authorityOf(term, Millis(4'500), handoverWait) == OwnerAuthority::Full);
        REQUIRE(authorityOf(term, Millis(7'499), handoverWait) == OwnerAuthority::Full);
        REQUIRE(authorityOf(term, Millis(7'500), handoverWait) == OwnerAuthority::GrantsOnly);

        SECTION("after a gap in confirmation the owner waits again")
        {
            term = updateTerm(term, true, Millis(12'000), Millis(10'000));
            REQUIRE(authorityOf(term, Millis(10'000), handoverWait) == OwnerAuthority::GrantsOnly);
            term = updateTerm(term, true, Millis(13'500), Millis(11'500));
            term = updateTerm(term, true, Millis(15'000), Millis(13'000));
            REQUIRE(authorityOf(term, Millis(13'000), handoverWait) == OwnerAuthority::Full);
        }
    }
}

TEST_CASE("ranks among candidates")
{
    const PlatformList list = listOf({"a1", "a2", "a3"}, Millis(0));
    const std::vector<VmId> candidates = {VmId("a1"), VmId("a2"), VmId("a3")};
    MemberStates states = {{VmId("a1"), MemberState::Alive},
                           {VmId("a2"), MemberState::Alive},
                           {VmId("a3"), MemberState::Alive}};

    SECTION("the first present VM holds rank 0")
    {
        states[VmId("a1")] = MemberState::Dead;
        const SuccessorRanking first = rankSuccessors(candidates, list, states);
        REQUIRE(first.holder == VmId("a2"));
        REQUIRE(first.conditions == OwnershipConditions{{VmId("a2")}, {VmId("a1")}});
    }

    SECTION("a later rank depends on the VMs before it")
    {
        const SuccessorRanking second = rankSuccessors(candidates, list, states, 1);
        REQUIRE(second.holder == VmId("a2"));
        REQUIRE(second.conditions == OwnershipConditions{{VmId("a1"), VmId("a2")}, {}});
    }

    SECTION("no holder where too few VMs are present")
    {
        REQUIRE_FALSE(rankSuccessors(candidates, list, states, 3).holder.has_value());
        REQUIRE_FALSE(rankSuccessors({}, list, states).holder.has_value());
    }
}

// Guards against a departure that moves backend servers of other VMs.
TEST_CASE("a departed VM moves only its own backend servers")
{
    BackendServerConfig server;
    server.dataCentre = DataCentreId("a");
    const PlatformList all = listOf({"a1", "a2", "a3", "a4"}, Millis(0));
    const PlatformList fewer = listOf({"a1", "a2", "a3"}, Millis(0));
    for (int i = 0; i < 200; ++i) {
        server.id = BackendServerId("e" + std::to_string(i));
        const VmId before = ownerCandidates(server, all, {}).front();
        const VmId after = ownerCandidates(server, fewer, {}).front();
        REQUIRE((before == after || before == VmId("a4")));
    }
}

// Guards against two VMs that send commands to one backend server, after any sequence of lost
// messages, pauses, restarts, and differing membership views and lists.
TEST_CASE("never two effective owners")
{
    SECTION("after any sequence of events")
    {
        const bool safe = rc::check("any event at any time", [] {
            const auto size = *rc::gen::inRange<std::size_t>(1, 6);
            OwnershipCluster cluster(size, OwnershipDefect::None);
            rc::state::check(ClusterModel{}, cluster, [](const ClusterModel & /*model*/) {
                return rc::gen::exec([] {
                    return std::shared_ptr<
                            const rc::state::Command<ClusterModel, OwnershipCluster>>(
                            std::make_shared<const StepCommand>());
                });
            });
        });
        REQUIRE(safe);
    }

    SECTION("in long histories in which ownership changes hands")
    {
        int ownedHistories = 0;
        for (std::uint64_t seed = 1; seed <= 300; ++seed) {
            std::mt19937_64 random(seed);
            bool everOwned = false;
            INFO("seed " << seed);
            REQUIRE_FALSE(
                    randomHistoryHasTwoOwners(random, OwnershipDefect::None, 150, &everOwned));
            ownedHistories += everOwned ? 1 : 0;
        }
        REQUIRE(ownedHistories > 200);
    }

    SECTION("each seeded defect is found")
    {
        for (const OwnershipDefect defect :
             {OwnershipDefect::NoClockCheck, OwnershipDefect::DepartedByOneVote,
              OwnershipDefect::NoHandoverWait, OwnershipDefect::ShortPromise}) {
            bool found = false;
            for (std::uint64_t seed = 1; seed <= 600 && !found; ++seed) {
                std::mt19937_64 random(seed);
                found = randomHistoryHasTwoOwners(random, defect, 150);
            }
            INFO("fault " << static_cast<int>(defect));
            REQUIRE(found);
        }
    }

    SECTION("both voters restart and lose their promises: two owners only without abstention")
    {
        REQUIRE(restartedVotersGiveTwoOwners(OwnershipDefect::NoAbstention));
        REQUIRE_FALSE(restartedVotersGiveTwoOwners(OwnershipDefect::NoHandoverWait));
        REQUIRE_FALSE(restartedVotersGiveTwoOwners(OwnershipDefect::None));
    }
}
