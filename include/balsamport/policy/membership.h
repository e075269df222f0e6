#ifndef BALSAMPORT_POLICY_MEMBERSHIP_H
#define BALSAMPORT_POLICY_MEMBERSHIP_H

#include <balsamport/core/clock.h>
#include <balsamport/policy/members.h>
#include <balsamport/policy/platform_list.h>

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace balsamport {

/// @brief Timings and limits of probes, suspicion and gossip.
struct MembershipTimings
{
    Millis probeInterval{500}; ///< One member is probed in each interval.
    Millis probeTimeout{200}; ///< After it, other members are requested to probe the target.
    Millis suspicionTimeout{1'500}; ///< After it, a suspect that did not refute is dead.
    Millis removalDelay{60'000}; ///< After it, a dead member that is not listed is removed.
    std::uint32_t relays = 2; ///< Members that are requested to relay a probe.
    std::uint32_t deadProbeEvery = 8; ///< Each n-th probe goes to a dead member that is listed.
    std::uint32_t remoteProbeEvery = 4; ///< Each n-th probe of a watcher goes to a remote member.
    std::uint32_t gossipPerMessage = 6; ///< Members in the gossip of one message.

    bool operator==(const MembershipTimings &) const = default;
};

/// @brief The state of one other member.
struct MemberRecord
{
    Member member;
    Millis since; ///< When its state last changed.
    std::uint32_t gossipSendsLeft = 0; ///< Messages that have yet to carry its state.
    bool introduced = false; ///< It has sent a probe or reply, so it knows this VM.

    bool operator==(const MemberRecord &) const = default;
};

/// @brief A probe that waits for its acknowledgement.
struct PendingProbe
{
    VmId target;
    Millis sentAt;
    bool relayed = false;
    bool canSuspect = true; ///< Only a member of the same data centre is suspected.

    bool operator==(const PendingProbe &) const = default;
};

/// @brief The membership as seen by one VM. Use the functions below.
struct MembershipState
{
    Member self;
    MembershipTimings timings;
    std::map<VmId, MemberRecord> others;
    PlatformList list;
    std::uint32_t selfGossipSendsLeft = 0;
    std::vector<VmId> probeOrder;
    std::uint64_t probeCount = 0;
    Millis nextProbe;
    std::optional<PendingProbe> pending;
    std::mt19937_64 random;
};

/// @brief A probe to send now.
struct ProbeAction
{
    VmId target;
    std::string targetEndpoint;
    std::vector<std::string> relayEndpoints; ///< Empty for a direct probe.

    bool operator==(const ProbeAction &) const = default;
};

/// @brief Creates a membership without other members.
/// @param seed of the random choice of probe targets and relays
[[nodiscard]] MembershipState startMembership(Member self, MembershipTimings timings,
                                              std::uint64_t seed);

/// @brief Applies a list that was read from the platform, by this VM or by a peer.
/// @return true where the list's content changed. A list that was read earlier than the current one
/// is ignored.
bool applyList(MembershipState &state, PlatformList list, Millis now);

/// @brief Applies gossip about a member. The higher incarnation wins, then the higher refutation,
/// then the state of higher rank: alive, draining, suspect, dead. Gossip that this VM is suspect or
/// dead is refuted.
/// @return true where anything changed
/// @complexity O(log n)
bool applyGossip(MembershipState &state, const Member &update, Millis now);

/// @brief Selects the gossip to send along with a message.
/// @param receiver member that the message goes to. The gossip includes this VM's own state until
/// the receiver has sent a message, and the receiver's state where this VM has it as not Alive.
/// @complexity O(n)
[[nodiscard]] std::vector<Member> selectGossip(MembershipState &state, const VmId &receiver);

/// @brief Continues probing: starts a probe, requests relays, or suspects an unresponsive member.
/// @return at most one action
/// @complexity O(n) once a round, else O(1)
[[nodiscard]] std::optional<ProbeAction> nextProbe(MembershipState &state, Millis now);

/// @brief Records a probe or acknowledgement from a member, received directly or through a relay.
void recordMessageFrom(MembershipState &state, const VmId &from, Millis now);

/// @brief Declares suspects dead that did not refute in time, and removes members that are not
/// listed once the removal delay is over.
/// @return true where anything changed
/// @complexity O(n)
bool expireMembers(MembershipState &state, Millis now);

/// @brief Marks this VM as draining, which the next gossip carries.
void startDraining(MembershipState &state);

/// @return this VM and all others, ordered by VM id
[[nodiscard]] std::vector<Member> allMembers(const MembershipState &state);

/// @return true where a member is neither dead nor draining
[[nodiscard]] constexpr bool isPresent(MemberState state) noexcept
{
    return state == MemberState::Alive || state == MemberState::Suspect;
}

/// Number of VMs in each data centre that watch the platform.
constexpr std::size_t watchersPerDataCentre = 2;

/// @brief Chooses the VMs of a data centre that watch the platform: the first two by rendezvous
/// hashing of its listed members that are not dead; of all its members that are not dead where none
/// is listed.
/// @complexity O(n log n)
[[nodiscard]] std::vector<VmId> watchersOf(const MembershipState &state,
                                           const DataCentreId &dataCentre);

/// Number of members to which each member forwards a change.
constexpr std::size_t broadcastFanout = 4;

/// @brief Chooses the members that this VM sends a change to: its children in a tree over its data
/// centre. The tree differs from change to change, so that the load of all VMs is alike over time.
/// @param change hash that identifies the change
/// @param sendToRoot this VM is the origin of the change: it sends it to the root as well
/// @complexity O(n log n)
[[nodiscard]] std::vector<VmId> broadcastTargets(const MembershipState &state, std::uint64_t change,
                                                 bool sendToRoot);

} // namespace balsamport

#endif
