#ifndef BALSAMPORT_POLICY_CLAIM_VOTES_H
#define BALSAMPORT_POLICY_CLAIM_VOTES_H

#include <balsamport/policy/claim_table.h>
#include <balsamport/policy/outcome.h>

#include <cstdint>
#include <optional>
#include <vector>

namespace balsamport {

/// @brief What a gateway knows of the vote of each slot for one key.
struct ClaimVotes
{
    AttemptId attempt; ///< The gateway's own attempt.
    Fingerprint body;
    std::size_t majority = 2;
    std::vector<std::optional<ClaimVerdict>> slots; ///< Nothing until a slot answered.

    bool operator==(const ClaimVotes &) const = default;
};

/// @brief Where a claim stands.
enum class ClaimStanding : std::uint8_t {
    Open, ///< More answers may still decide it.
    Won, ///< This attempt, and no other, may be dispatched.
    Lost, ///< Another attempt holds the key.
    Undecided, ///< No majority, and every answer is in.
};

/// @brief Starts the votes of one attempt.
/// @param slotCount witnesses that are asked: three slots, or the one of a ticket
[[nodiscard]] ClaimVotes startVotes(AttemptId attempt, Fingerprint body, std::size_t slotCount);

/// @brief Takes the answer of a slot. A vote that names a holder is never replaced.
void recordVote(ClaimVotes &votes, std::size_t slot, const ClaimVerdict &verdict);

/// @brief Tells where a claim stands. Linear in the number of slots squared.
[[nodiscard]] ClaimStanding standingOf(const ClaimVotes &votes);

/// @brief Finds the attempt that holds a majority, other than this one.
[[nodiscard]] std::optional<ClaimHolder> otherWinner(const ClaimVotes &votes);

/// @brief Tells whether no attempt with this key can have been dispatched or ever will be, given
/// that this gateway has abandoned its own attempt and never dispatched it.
///
/// Slots without a vote may have forgotten one, so they count for the worst.
[[nodiscard]] bool isProvenNotRun(const ClaimVotes &votes);

/// @brief Chooses the failure to tell a caller whose claim was not won.
[[nodiscard]] ErrorCode failureOf(const ClaimVotes &votes);

} // namespace balsamport

#endif
