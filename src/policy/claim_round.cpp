#include <balsamport/policy/claim_round.h>

#include <algorithm>

namespace balsamport {

namespace {

ClaimStep stepWhileClaiming(ClaimRound &round)
{
    const ClaimStanding standing = standingOf(round.votes);
    if (standing == ClaimStanding::Won || standing == ClaimStanding::Lost) {
        round.done = true;
        return ClaimStep::Finish;
    }
    if (round.claimReplies < round.votes.slots.size()) {
        return ClaimStep::Wait;
    }
    // The attempt is abandoned from here on, so that its own votes count as closed.
    round.closing = true;
    if (isProvenNotRun(round.votes)) {
        round.done = true;
        return ClaimStep::Finish;
    }
    return ClaimStep::CloseAll;
}

ClaimStep stepWhileClosing(ClaimRound &round)
{
    if (round.closeReplies < round.votes.slots.size() && !isProvenNotRun(round.votes)) {
        return ClaimStep::Wait;
    }
    round.done = true;
    return ClaimStep::Finish;
}

} // namespace

ClaimRound startRound(AttemptId attempt, Fingerprint body, std::size_t slotCount, bool ageKnown,
                      bool closeOnly)
{
    ClaimRound round;
    round.votes = startVotes(attempt, body, slotCount);
    round.ageKnown = ageKnown;
    round.closing = closeOnly;
    round.done = slotCount == 0;
    return round;
}

ClaimStep applyReply(ClaimRound &round, std::size_t slot, bool close, const ClaimVerdict &verdict)
{
    if (round.done) {
        return ClaimStep::Wait;
    }
    // A vote is final, whether the slot replies to a claim or to a request to close.
    recordVote(round.votes, slot, verdict);
    if (close) {
        ++round.closeReplies;
    } else {
        ++round.claimReplies;
    }
    return round.closing ? stepWhileClosing(round) : stepWhileClaiming(round);
}

ClaimOutcome roundOutcome(const ClaimRound &round, Millis arrivedAt, Millis deadline, Millis now)
{
    ClaimOutcome outcome;
    outcome.standing = standingOf(round.votes);
    if (round.closing && outcome.standing == ClaimStanding::Won) {
        outcome.standing = ClaimStanding::Undecided;
    }
    outcome.dispatchDeadline = std::min(deadline, arrivedAt + dispatchWindow);
    const bool keyRetained = round.ageKnown || now < arrivedAt + dispatchWindow;
    outcome.provenNotRun = keyRetained && isProvenNotRun(round.votes);
    if (outcome.standing != ClaimStanding::Won) {
        outcome.failure = failureOf(round.votes);
    }
    if (const auto winner = otherWinner(round.votes)) {
        outcome.winnerGateway = winner->gateway;
    }
    return outcome;
}

} // namespace balsamport
