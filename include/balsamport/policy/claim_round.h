#ifndef BALSAMPORT_POLICY_CLAIM_ROUND_H
#define BALSAMPORT_POLICY_CLAIM_ROUND_H

#include <balsamport/policy/claim_votes.h>

#include <cstddef>
#include <cstdint>
#include <optional>

namespace balsamport {

/// @brief The result of a claim.
struct ClaimOutcome
{
    ClaimStanding standing = ClaimStanding::Undecided;
    /// If Won: the first byte must be sent before this time, else the attempt is abandoned.
    /// Monotonic.
    Millis dispatchDeadline;
    /// No attempt with this key ran or will run, provided that the gateway abandons its own.
    bool provenNotRun = false;
    std::optional<ErrorCode> failure; ///< Set unless Won.
    std::optional<VmInstance> winnerGateway; ///< Set if Lost: it may still have the response.

    bool operator==(const ClaimOutcome &) const = default;
};

/// @brief The state of one claim: a request to every slot to grant the key and, if no attempt wins,
/// a request to every slot to close it.
struct ClaimRound
{
    ClaimVotes votes;
    bool ageKnown = true; ///< The key has a first-sent time, or is a ticket.
    std::size_t claimReplies = 0;
    std::size_t closeReplies = 0;
    bool closing = false; ///< The attempt is abandoned, whatever votes still arrive.
    bool done = false;

    bool operator==(const ClaimRound &) const = default;
};

/// @brief The next action after a reply.
enum class ClaimStep : std::uint8_t {
    Wait,
    CloseAll, ///< Request that every slot close the key.
    Finish, ///< roundOutcome() is final.
};

/// @brief Starts a round that claims a key, or, with `closeOnly`, one that only closes it.
[[nodiscard]] ClaimRound startRound(AttemptId attempt, Fingerprint body, std::size_t slotCount,
                                    bool ageKnown, bool closeOnly);

/// @brief Applies the final reply of a slot to a claim or to a request to close the key.
/// @param close whether the reply is to a request to close
[[nodiscard]] ClaimStep applyReply(ClaimRound &round, std::size_t slot, bool close,
                                   const ClaimVerdict &verdict);

/// @brief Returns the outcome of a round that is done.
///
/// Witnesses evict a key of unknown age once no attempt with it can be in progress any more. A
/// round on such a key that ends after its dispatch window may have queried witnesses that had
/// evicted the key, so it does not prove that nothing ran.
/// @param arrivedAt when the request arrived at the gateway; monotonic
/// @param deadline of the request; monotonic
/// @param now monotonic
[[nodiscard]] ClaimOutcome roundOutcome(const ClaimRound &round, Millis arrivedAt, Millis deadline,
                                        Millis now);

} // namespace balsamport

#endif
