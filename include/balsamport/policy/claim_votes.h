#ifndef BALSAMPORT_POLICY_CLAIM_VOTES_H
#define BALSAMPORT_POLICY_CLAIM_VOTES_H

#include <balsamport/policy/claim_table.h>
#include <balsamport/policy/outcome.h>

#include <cstdint>
#include <optional>
#include <vector>

namespace balsamport {

/// @brief The votes of the witness slots for one key, as one gateway knows them.
struct ClaimVotes
{
    AttemptId attempt; ///< The gateway's own attempt.
    Fingerprint body;
    std::size_t quorum = 2;
    std::vector<std::optional<ClaimVerdict>> slots; ///< std::nullopt until the slot has replied.

    bool operator==(const ClaimVotes &) const = default;
};

/// @brief The state of a claim.
enum class ClaimStanding : std::uint8_t {
    Open, ///< Outstanding replies may still decide it.
    Won, ///< Only this attempt may be dispatched.
    Lost, ///< Another attempt holds the key.
    Undecided, ///< No quorum, and every slot has replied.
};

/// @brief Creates the empty votes of one attempt.
/// @param slotCount number of witnesses that are queried: three slots, or the one of a ticket
[[nodiscard]] ClaimVotes startVotes(AttemptId attempt, Fingerprint body, std::size_t slotCount);

/// @brief Records the reply of a witness slot. A vote that names a holder is never replaced.
void recordVote(ClaimVotes &votes, std::size_t slot, const ClaimVerdict &verdict);

/// @brief Returns the state of a claim.
/// @complexity quadratic in the number of slots
[[nodiscard]] ClaimStanding standingOf(const ClaimVotes &votes);

/// @brief Finds the other attempt that holds a quorum, if there is one.
[[nodiscard]] std::optional<ClaimHolder> otherWinner(const ClaimVotes &votes);

/// @brief Returns whether it is certain that no attempt with this key has been or will be
/// dispatched, given that this gateway has abandoned its own attempt without dispatching it.
///
/// A slot without a vote may have evicted one, so each counts as a vote for another attempt.
[[nodiscard]] bool isProvenNotRun(const ClaimVotes &votes);

/// @brief Chooses the error for a caller whose claim was not won.
[[nodiscard]] ErrorCode failureOf(const ClaimVotes &votes);

} // namespace balsamport

#endif
