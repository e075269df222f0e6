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

/// @brief Times of probing and suspicion.
struct MembershipTimings
{
    Millis probePeriod{500}; ///< One member is probed in each period.
    Millis probeTimeout{200}; ///< Then other members are asked to probe it.
    Millis suspectTime{1'500}; ///< A suspect that stays silent is then dead.
    Millis forgetTime{60'000}; ///< A dead member that is not listed is then forgotten.
    std::uint32_t relays = 2; ///< Members asked for an indirect probe.
    std::uint32_t deadProbeEvery = 8; ///< Each n-th probe goes to a dead member that is listed.
    std::uint32_t remoteProbeEvery = 4; ///< Each n-th probe of a watcher leaves the data centre.
    std::uint32_t newsPerMessage = 6;

    bool operator==(const MembershipTimings &) const = default;
};

/// @brief What is known of one other member.
struct MemberRecord
{
    Member member;
    Millis since; ///< When its state last changed.
    std::uint32_t newsLeft = 0; ///< How many more messages carry its state.
    bool greeted = false; ///< It has answered, so it knows this VM.

    bool operator==(const MemberRecord &) const = default;
};

/// @brief A probe that waits for its answer.
struct PendingProbe
{
    VmId target;
    Millis sentAt;
    bool relayed = false;
    bool maySuspect = true; ///< Only a member of the same data centre is suspected.

    bool operator==(const PendingProbe &) const = default;
};

/// @brief The membership as one VM keeps it. Use the functions below.
struct MembershipState
{
    Member self;
    MembershipTimings timings;
    std::map<VmId, MemberRecord> others;
    PlatformList list;
    std::uint32_t selfNewsLeft = 0;
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

/// @brief Starts with no other member.
[[nodiscard]] MembershipState startMembership(Member self, MembershipTimings timings,
                                              std::uint64_t seed);

/// @brief Takes a list that was read from the platform, here or by a peer.
/// @return true where the list's content changed. A list read earlier than the one held is
/// ignored.
bool applyList(MembershipState &state, PlatformList list, Millis now);

/// @brief Takes news of a member. Higher incarnation, then higher refutation, then the graver
/// state win. News that this VM is suspect or dead is refuted.
/// @return true where anything changed
/// @complexity O(log n)
bool applyNews(MembershipState &state, const Member &news, Millis now);

/// @brief Chooses news to send along with a message.
/// @param receiver gets this VM's own state as long as it has not answered, and its own state as
/// this VM believes it where that is not Alive
/// @complexity O(n)
[[nodiscard]] std::vector<Member> takeNews(MembershipState &state, const VmId &receiver);

/// @brief Goes on with probing: starts a probe, asks for relays, or suspects the silent.
/// @return at most one action
/// @complexity O(n) once a round, else O(1)
[[nodiscard]] std::optional<ProbeAction> nextProbe(MembershipState &state, Millis now);

/// @brief Takes the answer of a member, direct or through a relay.
void takeAnswer(MembershipState &state, const VmId &from, Millis now);

/// @brief Turns suspects that stayed silent into dead members and forgets old ones.
/// @return true where anything changed
/// @complexity O(n)
bool expireMembers(MembershipState &state, Millis now);

/// @brief Marks this VM as leaving and spreads it.
void startDraining(MembershipState &state);

/// @return this VM and all others, ordered by VM id
[[nodiscard]] std::vector<Member> allMembers(const MembershipState &state);

/// @return true where a member is neither dead nor leaving
[[nodiscard]] constexpr bool isPresent(MemberState state) noexcept
{
    return state == MemberState::Alive || state == MemberState::Suspect;
}

/// Watchers of the platform in each data centre.
constexpr std::size_t watchersPerDataCentre = 2;

/// @brief Chooses the VMs of a data centre that watch the platform: the first two by rendezvous
/// over its listed members that are not dead; over all its members where none is listed.
/// @complexity O(n log n)
[[nodiscard]] std::vector<VmId> watchersOf(const MembershipState &state,
                                           const DataCentreId &dataCentre);

/// Members that each member passes a change on to.
constexpr std::size_t treeWidth = 4;

/// @brief Chooses whom to tell of a change: the children of this VM in a tree over its data centre
/// that differs from change to change, so that every VM sends and receives alike in the long run.
/// @param change hash that names the change
/// @param atRoot this VM learnt it from the platform: it tells the root as well
/// @complexity O(n log n)
[[nodiscard]] std::vector<VmId> receiversOf(const MembershipState &state, std::uint64_t change,
                                            bool atRoot);

} // namespace balsamport

#endif
