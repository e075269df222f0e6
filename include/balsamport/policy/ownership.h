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

/// @brief An ordered list of VMs and who of them comes first, as one VM believes.
struct Succession
{
    std::optional<VmId> holder; ///< Nothing where no VM is present.
    OwnershipClaim claim; ///< What must be so for the holder to be the only one.

    bool operator==(const Succession &) const = default;
};

/// @brief States of all members by VM id.
using MemberStates = std::map<VmId, MemberState>;

/// @return states of the members of a view
[[nodiscard]] MemberStates statesOf(const std::vector<Member> &members);

/// @brief Finds the holder of the rank-th place of an order.
/// @param order VMs, first choice first; those that the list calls leaving are passed over
/// @param rank 0 for the first VM that is present, 1 for the second, and so on
/// @complexity O(n log n)
[[nodiscard]] Succession successionOf(const std::vector<VmId> &order, const PlatformList &list,
                                      const MemberStates &states, std::size_t rank = 0);

/// @brief Gives the order of owners of a backend server: rendezvous over the VMs of its own data
/// centre, listed ones if there are any.
/// @complexity O(n log n)
[[nodiscard]] std::vector<VmId> ownerOrder(const BackendServerConfig &server,
                                           const PlatformList &list,
                                           const std::vector<Member> &members);

/// @brief Names the owner of each backend server as this view has it.
/// @return ordered by backend server; those without any VM are left out
/// @complexity O(servers x n log n)
[[nodiscard]] std::vector<Owner> ownersOf(const Snapshot &snapshot, const PlatformList &list,
                                          const std::vector<Member> &members);

/// @brief Something that this VM believes to hold, and since when.
struct Tenure
{
    bool believed = false;
    Millis believedSince;
    Millis confirmedSince; ///< Start of the current unbroken confirmation.
    Millis confirmedUntil; ///< Millis() before the first confirmation.

    bool operator==(const Tenure &) const = default;
};

/// @brief Carries a tenure on. After any time without confirmation another VM may have held it,
/// so that confirmation starts anew.
/// @param confirmation result of confirmedUntil()
[[nodiscard]] Tenure updateTenure(const Tenure &previous, bool believed, Millis confirmation,
                                  Millis now);

/// @brief Decides what the holder of a tenure may do now.
[[nodiscard]] OwnerAuthority authorityOf(const Tenure &tenure, Millis now,
                                         Millis handoverWait) noexcept;

/// @return true where the seat of a tenure is held: it is confirmed, and any other holder's view
/// has run out since
[[nodiscard]] bool isSeatHeld(const Tenure &tenure, Millis now, Millis handoverWait) noexcept;

} // namespace balsamport

#endif
