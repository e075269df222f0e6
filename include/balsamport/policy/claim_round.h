#ifndef BALSAMPORT_POLICY_CLAIM_ROUND_H
#define BALSAMPORT_POLICY_CLAIM_ROUND_H

#include <balsamport/policy/claim_votes.h>

#include <cstddef>
#include <cstdint>
#include <optional>

namespace balsamport {

/// @brief What came of a claim.
struct ClaimOutcome
{
    ClaimStanding standing = ClaimStanding::Undecided;
    /// Where Won: the first byte must be sent before it, else the attempt is abandoned. Monotonic.
    Millis dispatchDeadline;
    /// No attempt with this key ran or will run, given that the gateway abandons its own.
    bool provenNotRun = false;
    std::optional<ErrorCode> failure; ///< Where not Won.
    std::optional<VmInstance> winnerGateway; ///< Where Lost: it may still hold the answer.

    bool operator==(const ClaimOutcome &) const = default;
};

/// @brief One claim under way: first every slot is asked to grant the key, and where none wins,
/// every slot is asked to close it.
struct ClaimRound
{
    ClaimVotes votes;
    bool ageKnown = true; ///< The key has a first-sent time, or is a ticket.
    std::size_t claimReplies = 0;
    std::size_t closeReplies = 0;
    bool closing = false; ///< The attempt is given up, whatever votes still come.
    bool done = false;

    bool operator==(const ClaimRound &) const = default;
};

/// @brief What to do after a reply.
enum class ClaimStep : std::uint8_t {
    Wait,
    CloseAll, ///< Ask every slot to close the key.
    Finish, ///< roundOutcome() is final.
};

/// @brief Starts a round that claims a key, or one that only closes it.
[[nodiscard]] ClaimRound startRound(AttemptId attempt, Fingerprint body, std::size_t slotCount,
                                    bool ageKnown, bool closeOnly);

/// @brief Takes the last reply of a slot to a claim, or to a request to close.
/// @param close which of the two it answers
[[nodiscard]] ClaimStep applyReply(ClaimRound &round, std::size_t slot, bool close,
                                   const ClaimVerdict &verdict);

/// @brief Gives the outcome of a round that is done.
///
/// Witnesses let keys of unknown age go once no attempt can be under way any more. A round on such
/// a key that ends after its dispatch window may have asked witnesses that let it go, and proves
/// nothing.
/// @param arrivedAt when the request came to the gateway; monotonic
/// @param deadline of the request; monotonic
/// @param now monotonic
[[nodiscard]] ClaimOutcome roundOutcome(const ClaimRound &round, Millis arrivedAt, Millis deadline,
                                        Millis now);

} // namespace balsamport

#endif
