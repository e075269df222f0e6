#ifndef BALSAMPORT_POLICY_OWNERSHIP_H
#define BALSAMPORT_POLICY_OWNERSHIP_H

#include <balsamport/config/snapshot.h>
#include <balsamport/policy/confirmation.h>
#include <balsamport/policy/members.h>
#include <balsamport/policy/ownership_view.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace balsamport {

/// @brief The VM that holds a rank among candidates, according to one VM's view of the membership.
struct SuccessorRanking
{
    std::optional<VmId> holder; ///< Empty where too few VMs are present.
    OwnershipConditions conditions; ///< While these hold, no other VM holds the rank.

    bool operator==(const SuccessorRanking &) const = default;
};

/// @brief States of all members by VM id.
using MemberStates = std::map<VmId, MemberState>;

/// @return the members' states by VM id
[[nodiscard]] MemberStates statesOf(const std::vector<Member> &members);

/// @brief Finds the VM that holds a rank among candidates.
/// @param candidates VMs, first choice first; those that the list marks as draining are skipped
/// @param rank 0 for the first VM that is present, 1 for the second, and so on
/// @complexity O(n log n)
[[nodiscard]] SuccessorRanking rankSuccessors(const std::vector<VmId> &candidates,
                                              const PlatformList &list, const MemberStates &states,
                                              std::size_t rank = 0);

/// @brief Ranks the VMs that may own a backend server: rendezvous hashing of the VMs of its own
/// data centre; of the listed ones where there are any.
/// @return first choice first
/// @complexity O(n log n)
[[nodiscard]] std::vector<VmId> ownerCandidates(const BackendServerConfig &server,
                                                const PlatformList &list,
                                                const std::vector<Member> &members);

/// @brief Determines the owner of each backend server from this VM's view of the membership.
/// @return ordered by backend server; servers without a present VM are left out
/// @complexity O(servers x n log n)
[[nodiscard]] std::vector<Owner> ownersOf(const Snapshot &snapshot, const PlatformList &list,
                                          const std::vector<Member> &members);

/// @brief The time for which a VM assumes, by its own membership, that it holds a backend server or
/// a witness slot. All times are monotonic.
struct OwnershipTerm
{
    bool assumed = false;
    Millis assumedSince;
    Millis confirmedSince; ///< Start of the current uninterrupted confirmation.
    Millis confirmedUntil; ///< Millis() before the first confirmation.

    bool operator==(const OwnershipTerm &) const = default;
};

/// @brief Updates an ownership term. Confirmation starts anew after any time without it, because
/// another VM may have held the server or slot in between.
/// @param confirmation result of confirmedUntil()
[[nodiscard]] OwnershipTerm updateTerm(const OwnershipTerm &previous, bool assumed,
                                       Millis confirmation, Millis now);

/// @brief Decides what the holder of an ownership term may do now.
/// @param handoverWait time for which a new owner waits for gateways to announce their grants
[[nodiscard]] OwnerAuthority authorityOf(const OwnershipTerm &term, Millis now,
                                         Millis handoverWait) noexcept;

/// @return true where the term of a witness slot is confirmed and the view of any earlier holder
/// has expired since
[[nodiscard]] bool isWitnessSlotHeld(const OwnershipTerm &term, Millis now,
                                     Millis handoverWait) noexcept;

} // namespace balsamport

#endif
