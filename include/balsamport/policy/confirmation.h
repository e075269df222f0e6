#ifndef BALSAMPORT_POLICY_CONFIRMATION_H
#define BALSAMPORT_POLICY_CONFIRMATION_H

#include <balsamport/core/clock.h>
#include <balsamport/core/ids.h>
#include <balsamport/policy/platform_list.h>

#include <cstddef>
#include <map>
#include <set>
#include <vector>

namespace balsamport {

/// VMs that vote on whether a member is present: the member itself and others of its data centre.
constexpr std::size_t maxVoters = 5;

/// @return votes that a member needs to be held present
[[nodiscard]] constexpr std::size_t presentQuorum(std::size_t voters) noexcept
{
    return (voters + 1) / 2;
}

/// @return votes that are needed to hold a member gone: a majority
[[nodiscard]] constexpr std::size_t goneQuorum(std::size_t voters) noexcept
{
    return voters / 2 + 1;
}

// No voter set can hold a member present and gone at once: the two quorums share a voter.
static_assert(presentQuorum(1) + goneQuorum(1) > 1);
static_assert(presentQuorum(2) + goneQuorum(2) > 2);
static_assert(presentQuorum(3) + goneQuorum(3) > 3);
static_assert(presentQuorum(4) + goneQuorum(4) > 4);
static_assert(presentQuorum(5) + goneQuorum(5) > 5);

/// @brief Chooses the voters on a member by rendezvous over the listed VMs of its data centre.
/// @return the member first; empty where it is not listed
/// @complexity O(n log n)
[[nodiscard]] std::vector<VmId> votersOn(const VmId &member, const PlatformList &list);

/// @brief What a VM has promised as a voter.
struct VoterState
{
    std::map<VmId, Millis> presentUntil; ///< It does not agree before that the member is gone.
    std::map<VmId, Millis> goneUntil; ///< It does not vote before that the member is present.
    Millis abstainUntil; ///< Promises of an earlier run may hold until then.

    bool operator==(const VoterState &) const = default;
};

/// @brief Gives how long a voter keeps its promise: longer than the asker relies on it, to allow
/// for clocks that run at different rates.
[[nodiscard]] constexpr Millis promiseTime(Millis viewLifetime) noexcept
{
    return viewLifetime + viewLifetime / 4;
}

/// @brief Votes that a member is present, and promises to hold it so.
/// @return false where the voter has agreed that the member is gone, or abstains
bool votePresent(VoterState &state, const VmId &member, Millis now, Millis viewLifetime);

/// @brief Agrees that a member is gone, and promises to hold it so.
/// @param believesGone the voter's own membership holds it dead or leaving
/// @return false where it does not, where a lease of the member still runs, or while abstaining
bool voteGone(VoterState &state, const VmId &member, bool believesGone, Millis now,
              Millis viewLifetime);

/// @brief Votes that a VM has gathered: subject, voter, and how long the vote may be relied on.
struct Ballots
{
    std::map<VmId, std::map<VmId, Millis>> present;
    std::map<VmId, std::map<VmId, Millis>> gone;

    bool operator==(const Ballots &) const = default;
};

/// @brief What must be so for a VM to own something.
struct OwnershipClaim
{
    std::set<VmId> present; ///< The claimant, and those that keep its place in the order.
    std::set<VmId> gone; ///< Those that would go before it.

    bool operator==(const OwnershipClaim &) const = default;
};

/// @brief Gives the time until which a claim is confirmed.
///
/// A member is held present by a majority of its voters, or, while the platform's list is fresh,
/// by presentQuorum of them. It is held gone by a majority only.
/// @return Millis() where a subject has too few votes
/// @complexity O(subjects x n log n)
[[nodiscard]] Millis confirmedUntil(const OwnershipClaim &claim, const Ballots &ballots,
                                    const PlatformList &list, Millis viewLifetime);

/// @brief Removes votes and promises that have ended.
void expireVotes(VoterState &voter, Ballots &ballots, Millis now);

} // namespace balsamport

#endif
