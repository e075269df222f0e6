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

/// Largest number of VMs that vote on the presence of a member: the member itself and others of
/// its data centre.
constexpr std::size_t maxVoters = 5;

/// @return votes that confirm a member as present while the platform's list is fresh
[[nodiscard]] constexpr std::size_t presentQuorum(std::size_t voters) noexcept
{
    return (voters + 1) / 2;
}

/// @return votes that confirm a member as departed: a majority
[[nodiscard]] constexpr std::size_t departedQuorum(std::size_t voters) noexcept
{
    return voters / 2 + 1;
}

// A set of voters can't confirm a member as present and as departed: the two quorums share a voter.
static_assert(presentQuorum(1) + departedQuorum(1) > 1);
static_assert(presentQuorum(2) + departedQuorum(2) > 2);
static_assert(presentQuorum(3) + departedQuorum(3) > 3);
static_assert(presentQuorum(4) + departedQuorum(4) > 4);
static_assert(presentQuorum(5) + departedQuorum(5) > 5);

/// @brief Chooses the voters for a member by rendezvous hashing of the listed VMs of its data
/// centre.
/// @return the member itself first; empty where the member is not listed
/// @complexity O(n log n)
[[nodiscard]] std::vector<VmId> votersFor(const VmId &member, const PlatformList &list);

/// @brief The promises that a VM has made as a voter. All times are monotonic.
struct VoterState
{
    std::map<VmId, Millis> presentUntil; ///< No vote before then that the member has departed.
    std::map<VmId, Millis> departedUntil; ///< No vote before then that the member is present.
    Millis abstainUntil; ///< No votes before then: promises of an earlier run may still hold.

    bool operator==(const VoterState &) const = default;
};

/// @brief Computes how long a voter keeps a promise: a quarter longer than the requesting VM relies
/// on the vote, to allow for clocks that run at different rates.
/// @param viewLifetime how long the requesting VM relies on a vote
[[nodiscard]] constexpr Millis promiseDuration(Millis viewLifetime) noexcept
{
    return viewLifetime + viewLifetime / 4;
}

/// @brief Votes that a member is present and records the promise not to vote otherwise.
/// @return false where a vote that the member has departed still binds the voter, or while the
/// voter abstains
bool votePresent(VoterState &state, const VmId &member, Millis now, Millis viewLifetime);

/// @brief Votes that a member has departed and records the promise not to vote otherwise.
/// @param assumesDeparted the voter's own membership has the member as dead or draining
/// @return false where it has not, where a vote that the member is present still binds the voter,
/// or while the voter abstains
bool voteDeparted(VoterState &state, const VmId &member, bool assumesDeparted, Millis now,
                  Millis viewLifetime);

/// @brief Votes that a VM has received: for each subject, the voters and the monotonic time until
/// which each vote may be relied on.
struct CollectedVotes
{
    std::map<VmId, std::map<VmId, Millis>> present;
    std::map<VmId, std::map<VmId, Millis>> departed;

    bool operator==(const CollectedVotes &) const = default;
};

/// @brief Conditions on the membership under which a VM owns a backend server or a witness slot.
struct OwnershipConditions
{
    std::set<VmId> present; ///< The VM itself and the present ones that rank before it.
    std::set<VmId> departed; ///< VMs that would take precedence.

    bool operator==(const OwnershipConditions &) const = default;
};

/// @brief Computes the time until which votes confirm ownership conditions.
///
/// A member is confirmed as present by a majority of its voters or, while the platform's list is
/// fresh, by presentQuorum() of them. It is confirmed as departed by a majority only.
/// @param viewLifetime how long a copy of the list may be relied on after it was read
/// @return monotonic; Millis() where a subject has too few votes
/// @complexity O(subjects x n log n)
[[nodiscard]] Millis confirmedUntil(const OwnershipConditions &conditions,
                                    const CollectedVotes &collectedVotes, const PlatformList &list,
                                    Millis viewLifetime);

/// @brief Removes votes and promises that have expired.
void expireVotes(VoterState &voter, CollectedVotes &collectedVotes, Millis now);

} // namespace balsamport

#endif
