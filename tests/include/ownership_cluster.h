#ifndef BALSAMPORT_TESTS_OWNERSHIP_CLUSTER_H
#define BALSAMPORT_TESTS_OWNERSHIP_CLUSTER_H

#include <balsamport/policy/membership.h>
#include <balsamport/policy/ownership.h>

#include <algorithm>
#include <array>
#include <cstdint>
#include <optional>
#include <ostream>
#include <random>
#include <string>
#include <vector>

/// Simulates the VMs of one data centre that vote on the owner of a backend server, in virtual
/// time. Each VM's view of the others is set at random: safety must not depend on membership views.
namespace balsamport::testing {

/// @brief A seeded defect, to prove that the check finds it.
///
/// While VMs hold the same list, the votes and the handover wait each prevent two owners, so that
/// defects of the votes are seeded together with a missing handover wait.
enum class OwnershipDefect : std::uint8_t {
    None,
    NoClockCheck, ///< An owner relies on its last confirmation without an end.
    DepartedByOneVote, ///< One vote is enough to confirm a member as departed.
    NoHandoverWait, ///< A new owner sends commands at once; shows while lists differ for a time.
    NoAbstention, ///< Without the wait, a restarted voter votes at once.
    ShortPromise, ///< Without the wait, a voter's promise ends too early.
    Count,
};

/// @brief One event.
struct ClusterStep
{
    enum class Kind : std::uint8_t {
        Advance, ///< Time advances by `value` x 10 ms.
        SetState, ///< The membership of `node` has `other` in state `value`.
        Round, ///< `node` evaluates and requests votes; `value` is a mask of lost messages.
        Pause,
        Resume,
        Restart,
        ListChange, ///< The platform lists `node` as live or draining, or drops it.
        Count,
    };
    Kind kind = Kind::Advance;
    std::uint8_t node = 0;
    std::uint8_t other = 0;
    std::uint16_t value = 0;

    bool operator==(const ClusterStep &) const = default;
    friend std::ostream &operator<<(std::ostream &out, const ClusterStep &step)
    {
        return out << "{kind " << static_cast<int>(step.kind) << " node "
                   << static_cast<int>(step.node) << " other " << static_cast<int>(step.other)
                   << " value " << step.value << "}";
    }
};

class OwnershipCluster
{
public:
    static constexpr Millis viewLifetime{2'000};
    static constexpr Millis handoverWait{3'000};
    /// Longest age of the platform's list on a VM that runs.
    static constexpr Millis maxListAge{1'200};

    OwnershipCluster(std::size_t size, OwnershipDefect seededDefect)
        : defect(seededDefect)
        , nodes(size)
    {
        this->server.id = BackendServerId("e1");
        this->server.dataCentre = DataCentreId("a");
        for (std::size_t i = 0; i < size; ++i) {
            this->all.push_back(ListedVm{vmOf(i), DataCentreId("a"), "tcp://x", "", false});
        }
        this->listed = this->all;
        for (std::size_t i = 0; i < size; ++i) {
            this->start(i);
        }
    }

    void apply(const ClusterStep &step)
    {
        const std::size_t node = step.node % this->nodes.size();
        const std::size_t other = step.other % this->nodes.size();
        switch (step.kind) {
        case ClusterStep::Kind::Advance:
            this->advance(Millis(step.value % 100 * 10));
            break;
        case ClusterStep::Kind::SetState:
            this->nodes[node].states[vmOf(other)] = static_cast<MemberState>(step.value % 4);
            break;
        case ClusterStep::Kind::Round:
            this->round(node, step.value);
            break;
        case ClusterStep::Kind::Pause:
            this->nodes[node].paused = true;
            break;
        case ClusterStep::Kind::Resume:
            this->nodes[node].paused = false;
            break;
        case ClusterStep::Kind::Restart:
            this->start(node);
            break;
        case ClusterStep::Kind::ListChange:
            this->changeList(node, step.value % 4);
            break;
        case ClusterStep::Kind::Count:
            break;
        }
        this->check();
    }

    /// @return VMs that would send a command now
    [[nodiscard]] std::vector<std::size_t> effectiveOwners() const
    {
        std::vector<std::size_t> owners;
        for (std::size_t i = 0; i < this->nodes.size(); ++i) {
            const Node &node = this->nodes[i];
            if (node.paused) {
                continue;
            }
            const bool waitsForHandover = this->defect < OwnershipDefect::NoHandoverWait;
            const bool full
                    = authorityOf(node.term, this->now, waitsForHandover ? handoverWait : Millis())
                    == OwnerAuthority::Full;
            const bool ignoresExpiry
                    = this->defect == OwnershipDefect::NoClockCheck && node.wasFull;
            if (full || ignoresExpiry) {
                owners.push_back(i);
            }
        }
        return owners;
    }

    [[nodiscard]] bool wasEverOwned() const noexcept { return this->everOwned; }
    [[nodiscard]] bool hadTwoOwners() const noexcept { return this->twoOwners; }

private:
    struct Node
    {
        VoterState voter;
        CollectedVotes collectedVotes;
        MemberStates states;
        PlatformList list;
        OwnershipTerm term;
        Millis lastRound;
        bool paused = false;
        bool wasFull = false;
    };

    static VmId vmOf(std::size_t node) { return VmId("vm" + std::to_string(node)); }

    void start(std::size_t index)
    {
        Node node;
        for (std::size_t i = 0; i < this->nodes.size(); ++i) {
            node.states[vmOf(i)] = MemberState::Alive;
        }
        node.list = makePlatformList(this->listed, this->now);
        if (this->defect != OwnershipDefect::NoAbstention) {
            node.voter.abstainUntil = this->now + promiseDuration(viewLifetime);
        }
        node.lastRound = this->now;
        this->nodes[index] = node;
    }

    void changeList(std::size_t node, int kind)
    {
        std::erase_if(this->listed, [&](const ListedVm &vm) { return vm.vm == vmOf(node); });
        constexpr int dropped = 3;
        if (kind != dropped) {
            ListedVm vm = this->all[node];
            vm.draining = kind == dropped - 1;
            this->listed.push_back(vm);
        }
    }

    void advance(Millis time)
    {
        const Millis end = this->now + time;
        while (this->now < end) {
            this->now += Millis(10);
            for (Node &node : this->nodes) {
                if (!node.paused && this->now >= node.list.readAt + maxListAge) {
                    node.list = makePlatformList(this->listed, this->now);
                }
            }
            this->check();
        }
    }

    [[nodiscard]] Millis promiseLifetime() const
    {
        return this->defect == OwnershipDefect::ShortPromise ? viewLifetime / 4 : viewLifetime;
    }

    bool vote(std::size_t voterIndex, const VmId &subject, bool departed, std::uint64_t listDigest)
    {
        Node &voter = this->nodes[voterIndex];
        if (voter.paused || voter.list.digest != listDigest) {
            return false;
        }
        if (!departed) {
            return votePresent(voter.voter, subject, this->now, this->promiseLifetime());
        }
        const ListedVm *entry = findListed(voter.list, subject);
        const bool assumesDeparted
                = (entry != nullptr && entry->draining) || !isPresent(voter.states[subject]);
        return voteDeparted(voter.voter, subject, assumesDeparted, this->now,
                            this->promiseLifetime());
    }

    /// One evaluation like that of the ownership controller; each message arrives without delay or
    /// is lost.
    void round(std::size_t index, std::uint16_t lost)
    {
        Node &node = this->nodes[index];
        if (node.paused) {
            return;
        }
        if (this->now > node.lastRound + viewLifetime / 2
            && this->defect != OwnershipDefect::NoAbstention) {
            node.voter.abstainUntil = this->now + promiseDuration(viewLifetime);
        }
        node.lastRound = this->now;
        const SuccessorRanking ranking = rankSuccessors(
                ownerCandidates(this->server, node.list, {}), node.list, node.states);
        const bool assumed = ranking.holder == vmOf(index);
        if (assumed) {
            this->collectVotes(index, ranking.conditions.present, false, lost);
            this->collectVotes(index, ranking.conditions.departed, true, lost);
        }
        const Millis confirmation = assumed ? this->confirm(node, ranking.conditions) : Millis();
        node.term = updateTerm(node.term, assumed, confirmation, this->now);
        node.wasFull = node.wasFull
                || authorityOf(node.term, this->now, handoverWait) == OwnerAuthority::Full;
        node.wasFull = node.wasFull && assumed;
    }

    [[nodiscard]] Millis confirm(const Node &node, const OwnershipConditions &conditions) const
    {
        if (this->defect != OwnershipDefect::DepartedByOneVote) {
            return confirmedUntil(conditions, node.collectedVotes, node.list, viewLifetime);
        }
        OwnershipConditions weakened = conditions;
        for (const VmId &subject : conditions.departed) {
            if (node.collectedVotes.departed.count(subject) != 0) {
                weakened.departed.erase(subject);
            }
        }
        return confirmedUntil(weakened, node.collectedVotes, node.list, viewLifetime);
    }

    void collectVotes(std::size_t index, const std::set<VmId> &subjects, bool departed,
                      std::uint16_t lost)
    {
        Node &node = this->nodes[index];
        for (const VmId &subject : subjects) {
            for (const VmId &voterVm : votersFor(subject, node.list)) {
                const std::size_t voter = std::stoul(voterVm.str().substr(2));
                const bool requestLost = ((lost >> voter) & 1U) != 0 && voter != index;
                const bool replyLost = ((lost >> (voter + 8)) & 1U) != 0 && voter != index;
                if (requestLost || !this->vote(voter, subject, departed, node.list.digest)
                    || replyLost) {
                    continue;
                }
                auto &collectedVotes
                        = departed ? node.collectedVotes.departed : node.collectedVotes.present;
                collectedVotes[subject][voterVm] = this->now + viewLifetime;
            }
        }
    }

    void check()
    {
        const std::vector<std::size_t> owners = this->effectiveOwners();
        this->everOwned = this->everOwned || !owners.empty();
        this->twoOwners = this->twoOwners || owners.size() > 1;
    }

    OwnershipDefect defect;
    BackendServerConfig server;
    std::vector<ListedVm> all;
    std::vector<ListedVm> listed;
    std::vector<Node> nodes;
    Millis now{100'000};
    bool everOwned = false;
    bool twoOwners = false;
};

/// @brief Creates a random step; rounds and short waits are the most frequent.
template<typename Random>
ClusterStep randomStep(Random &random)
{
    using Kind = ClusterStep::Kind;
    constexpr std::array<Kind, 20> kinds
            = {Kind::Advance,  Kind::Advance, Kind::Advance, Kind::Advance, Kind::Round,
               Kind::Round,    Kind::Round,   Kind::Round,   Kind::Round,   Kind::Round,
               Kind::Round,    Kind::Round,   Kind::Round,   Kind::Round,   Kind::SetState,
               Kind::SetState, Kind::Pause,   Kind::Resume,  Kind::Restart, Kind::ListChange};
    ClusterStep step;
    step.kind = kinds[random() % kinds.size()];
    step.node = static_cast<std::uint8_t>(random() % 8);
    step.other = static_cast<std::uint8_t>(random() % 8);
    const bool lossy = random() % 3 == 0;
    const bool isRound = step.kind == Kind::Round;
    step.value = static_cast<std::uint16_t>(isRound && !lossy ? 0 : random());
    return step;
}

/// @brief Runs a random history with periods without faults now and then, so that ownership is
/// acquired and released.
/// @param everOwned set to whether there was an owner at any time
/// @return true where two owners were effective at the same time
template<typename Random>
bool randomHistoryHasTwoOwners(Random &random, OwnershipDefect defect, std::size_t steps,
                               bool *everOwned = nullptr)
{
    OwnershipCluster cluster(1 + random() % 5, defect);
    const auto runWithoutFaults = [&cluster](std::uint16_t seconds) {
        for (int i = 0; i < seconds * 4; ++i) {
            for (std::uint8_t node = 0; node < 5; ++node) {
                cluster.apply({ClusterStep::Kind::Round, node, 0, 0});
            }
            cluster.apply({ClusterStep::Kind::Advance, 0, 0, 25});
        }
    };
    for (std::size_t i = 0; i < steps; ++i) {
        cluster.apply(randomStep(random));
        if (random() % 16 == 0) {
            runWithoutFaults(static_cast<std::uint16_t>(random() % 8));
        }
    }
    if (everOwned != nullptr) {
        *everOwned = cluster.wasEverOwned();
    }
    return cluster.hadTwoOwners();
}

} // namespace balsamport::testing

#endif
