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

/// The VMs of one data centre that vote on who owns a backend server, in virtual time. What each VM
/// believes of the others is set at random: safety must not depend on beliefs.
namespace balsamport::testing {

/// @brief A fault that is planted to prove that the check finds it.
///
/// The votes and the handover wait each keep two owners apart while VMs hold the same list, so that
/// faults of the votes are planted together with the missing wait.
enum class PlantedFault : std::uint8_t {
    None,
    NoClockCheck, ///< An owner trusts its last confirmation for ever.
    GoneByOne, ///< One vote is enough to hold a member gone.
    NoHandoverWait, ///< A new owner gives orders at once: lists that differ for a time show it.
    NoAbstention, ///< Without the wait, a voter that starts anew votes at once.
    ShortPromise, ///< Without the wait, a voter keeps its promise too short a time.
    Count,
};

/// @brief One event.
struct ClusterStep
{
    enum class Kind : std::uint8_t {
        Advance, ///< Time passes: `value` x 10 ms.
        Believe, ///< `node` believes `other` to be in state `value`.
        Round, ///< `node` evaluates and asks voters; `value` is a mask of lost messages.
        Pause,
        Wake,
        Restart,
        ListChange, ///< The platform lists `node` as live, leaving, or no longer.
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
    /// Longest time after which an awake VM has the platform's list of now.
    static constexpr Millis listLag{1'200};

    OwnershipCluster(std::size_t size, PlantedFault plantedFault)
        : fault(plantedFault)
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
        case ClusterStep::Kind::Believe:
            this->nodes[node].states[vmOf(other)] = static_cast<MemberState>(step.value % 4);
            break;
        case ClusterStep::Kind::Round:
            this->round(node, step.value);
            break;
        case ClusterStep::Kind::Pause:
            this->nodes[node].paused = true;
            break;
        case ClusterStep::Kind::Wake:
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

    /// @return VMs that would send an order now
    [[nodiscard]] std::vector<std::size_t> effectiveOwners() const
    {
        std::vector<std::size_t> owners;
        for (std::size_t i = 0; i < this->nodes.size(); ++i) {
            const Node &node = this->nodes[i];
            if (node.paused) {
                continue;
            }
            const bool waits = this->fault < PlantedFault::NoHandoverWait;
            const bool full = authorityOf(node.tenure, this->now, waits ? handoverWait : Millis())
                    == OwnerAuthority::Full;
            const bool trusts = this->fault == PlantedFault::NoClockCheck && node.wasFull;
            if (full || trusts) {
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
        Ballots ballots;
        MemberStates states;
        PlatformList list;
        Tenure tenure;
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
        if (this->fault != PlantedFault::NoAbstention) {
            node.voter.abstainUntil = this->now + promiseTime(viewLifetime);
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
                if (!node.paused && this->now >= node.list.readAt + listLag) {
                    node.list = makePlatformList(this->listed, this->now);
                }
            }
            this->check();
        }
    }

    [[nodiscard]] Millis promised() const
    {
        return this->fault == PlantedFault::ShortPromise ? viewLifetime / 4 : viewLifetime;
    }

    bool vote(std::size_t voterIndex, const VmId &subject, bool gone, std::uint64_t listDigest)
    {
        Node &voter = this->nodes[voterIndex];
        if (voter.paused || voter.list.digest != listDigest) {
            return false;
        }
        if (!gone) {
            return votePresent(voter.voter, subject, this->now, this->promised());
        }
        const ListedVm *entry = findListed(voter.list, subject);
        const bool believesGone
                = (entry != nullptr && entry->draining) || !isPresent(voter.states[subject]);
        return voteGone(voter.voter, subject, believesGone, this->now, this->promised());
    }

    /// One evaluation as the ownership controller does it, with messages that arrive at once or
    /// never.
    void round(std::size_t index, std::uint16_t lost)
    {
        Node &node = this->nodes[index];
        if (node.paused) {
            return;
        }
        if (this->now > node.lastRound + viewLifetime / 2
            && this->fault != PlantedFault::NoAbstention) {
            node.voter.abstainUntil = this->now + promiseTime(viewLifetime);
        }
        node.lastRound = this->now;
        const Succession succession
                = successionOf(ownerOrder(this->server, node.list, {}), node.list, node.states);
        const bool believed = succession.holder == vmOf(index);
        if (believed) {
            this->gather(index, succession.claim.present, false, lost);
            this->gather(index, succession.claim.gone, true, lost);
        }
        const Millis confirmation = believed ? this->confirm(node, succession.claim) : Millis();
        node.tenure = updateTenure(node.tenure, believed, confirmation, this->now);
        node.wasFull = node.wasFull
                || authorityOf(node.tenure, this->now, handoverWait) == OwnerAuthority::Full;
        node.wasFull = node.wasFull && believed;
    }

    [[nodiscard]] Millis confirm(const Node &node, const OwnershipClaim &claim) const
    {
        if (this->fault != PlantedFault::GoneByOne) {
            return confirmedUntil(claim, node.ballots, node.list, viewLifetime);
        }
        OwnershipClaim weak = claim;
        for (const VmId &subject : claim.gone) {
            if (node.ballots.gone.count(subject) != 0) {
                weak.gone.erase(subject);
            }
        }
        return confirmedUntil(weak, node.ballots, node.list, viewLifetime);
    }

    void gather(std::size_t index, const std::set<VmId> &subjects, bool gone, std::uint16_t lost)
    {
        Node &node = this->nodes[index];
        for (const VmId &subject : subjects) {
            for (const VmId &voterVm : votersOn(subject, node.list)) {
                const std::size_t voter = std::stoul(voterVm.str().substr(2));
                const bool requestLost = ((lost >> voter) & 1U) != 0 && voter != index;
                const bool replyLost = ((lost >> (voter + 8)) & 1U) != 0 && voter != index;
                if (requestLost || !this->vote(voter, subject, gone, node.list.digest)
                    || replyLost) {
                    continue;
                }
                auto &ballots = gone ? node.ballots.gone : node.ballots.present;
                ballots[subject][voterVm] = this->now + viewLifetime;
            }
        }
    }

    void check()
    {
        const std::vector<std::size_t> owners = this->effectiveOwners();
        this->everOwned = this->everOwned || !owners.empty();
        this->twoOwners = this->twoOwners || owners.size() > 1;
    }

    PlantedFault fault;
    BackendServerConfig server;
    std::vector<ListedVm> all;
    std::vector<ListedVm> listed;
    std::vector<Node> nodes;
    Millis now{100'000};
    bool everOwned = false;
    bool twoOwners = false;
};

/// @brief Makes one random step; rounds and short waits are the most frequent.
template<typename Random>
ClusterStep randomStep(Random &random)
{
    using Kind = ClusterStep::Kind;
    constexpr std::array<Kind, 20> kinds
            = {Kind::Advance, Kind::Advance, Kind::Advance, Kind::Advance, Kind::Round,
               Kind::Round,   Kind::Round,   Kind::Round,   Kind::Round,   Kind::Round,
               Kind::Round,   Kind::Round,   Kind::Round,   Kind::Round,   Kind::Believe,
               Kind::Believe, Kind::Pause,   Kind::Wake,    Kind::Restart, Kind::ListChange};
    ClusterStep step;
    step.kind = kinds[random() % kinds.size()];
    step.node = static_cast<std::uint8_t>(random() % 8);
    step.other = static_cast<std::uint8_t>(random() % 8);
    const bool lossy = random() % 3 == 0;
    const bool isRound = step.kind == Kind::Round;
    step.value = static_cast<std::uint16_t>(isRound && !lossy ? 0 : random());
    return step;
}

/// @brief Runs a random history in which beliefs settle now and then, so that owners come and go.
/// @return true where two owners were effective at once
template<typename Random>
bool randomHistoryHasTwoOwners(Random &random, PlantedFault fault, std::size_t steps,
                               bool *everOwned = nullptr)
{
    OwnershipCluster cluster(1 + random() % 5, fault);
    const auto settle = [&cluster](std::uint16_t seconds) {
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
            settle(static_cast<std::uint16_t>(random() % 8));
        }
    }
    if (everOwned != nullptr) {
        *everOwned = cluster.wasEverOwned();
    }
    return cluster.hadTwoOwners();
}

} // namespace balsamport::testing

#endif
