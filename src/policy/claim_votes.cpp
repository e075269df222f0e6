#include <balsamport/policy/claim_votes.h>

#include <algorithm>

namespace balsamport {

namespace {

bool hasHolder(const std::optional<ClaimVerdict> &vote)
{
    return vote && vote->holder;
}

std::size_t votesFor(const ClaimVotes &votes, const ClaimHolder &holder)
{
    return static_cast<std::size_t>(
            std::count_if(votes.slots.begin(), votes.slots.end(), [&holder](const auto &vote) {
                return hasHolder(vote) && vote->holder->attempt == holder.attempt;
            }));
}

std::size_t undecidedSlots(const ClaimVotes &votes)
{
    return static_cast<std::size_t>(
            std::count_if(votes.slots.begin(), votes.slots.end(),
                          [](const auto &vote) { return !hasHolder(vote); }));
}

/// Returns the largest number of slots that another attempt may hold, now or later.
std::size_t maxVotesOfOther(const ClaimVotes &votes)
{
    std::size_t most = 0;
    for (const auto &vote : votes.slots) {
        if (hasHolder(vote) && !vote->holder->isClosed()
            && vote->holder->attempt != votes.attempt) {
            most = std::max(most, votesFor(votes, *vote->holder));
        }
    }
    return most + undecidedSlots(votes);
}

std::optional<ClaimHolder> anyOther(const ClaimVotes &votes)
{
    for (const auto &vote : votes.slots) {
        if (hasHolder(vote) && vote->holder->attempt != votes.attempt) {
            return vote->holder;
        }
    }
    return std::nullopt;
}

} // namespace

ClaimVotes startVotes(AttemptId attempt, Fingerprint body, std::size_t slotCount)
{
    return ClaimVotes{attempt, body, slotCount / 2 + 1,
                      std::vector<std::optional<ClaimVerdict>>(slotCount)};
}

void recordVote(ClaimVotes &votes, std::size_t slot, const ClaimVerdict &verdict)
{
    if (slot < votes.slots.size() && !hasHolder(votes.slots[slot])) {
        votes.slots[slot] = verdict;
    }
}

ClaimStanding standingOf(const ClaimVotes &votes)
{
    if (votesFor(votes, {votes.attempt, {}, {}}) >= votes.quorum) {
        return ClaimStanding::Won;
    }
    if (otherWinner(votes)) {
        return ClaimStanding::Lost;
    }
    const bool allReplied = std::all_of(votes.slots.begin(), votes.slots.end(),
                                        [](const auto &vote) { return vote.has_value(); });
    return allReplied ? ClaimStanding::Undecided : ClaimStanding::Open;
}

std::optional<ClaimHolder> otherWinner(const ClaimVotes &votes)
{
    for (const auto &vote : votes.slots) {
        if (hasHolder(vote) && !vote->holder->isClosed() && vote->holder->attempt != votes.attempt
            && votesFor(votes, *vote->holder) >= votes.quorum) {
            return vote->holder;
        }
    }
    return std::nullopt;
}

bool isProvenNotRun(const ClaimVotes &votes)
{
    return !votes.slots.empty() && maxVotesOfOther(votes) < votes.quorum;
}

ErrorCode failureOf(const ClaimVotes &votes)
{
    const std::optional<ClaimHolder> other
            = otherWinner(votes) ? otherWinner(votes) : anyOther(votes);
    if (other) {
        if (other->isClosed()) {
            return ErrorCode::KeyClosed;
        }
        return other->body == votes.body ? ErrorCode::KeyInProgress : ErrorCode::KeyBodyMismatch;
    }
    for (const ErrorCode code : {ErrorCode::KeyFromFuture, ErrorCode::KeyTooOld}) {
        const bool reported
                = std::any_of(votes.slots.begin(), votes.slots.end(),
                              [code](const auto &vote) { return vote && vote->refusal == code; });
        if (reported) {
            return code;
        }
    }
    return ErrorCode::WitnessUnavailable;
}

} // namespace balsamport
