#include <balsamport/policy/claim_votes.h>

#include <algorithm>

namespace balsamport {

namespace {

bool hasHolder(const std::optional<ClaimVerdict> &vote)
{
    return vote && vote->holder;
}

std::size_t countOf(const ClaimVotes &votes, const ClaimHolder &holder)
{
    return static_cast<std::size_t>(
            std::count_if(votes.seats.begin(), votes.seats.end(), [&holder](const auto &vote) {
                return hasHolder(vote) && vote->holder->attempt == holder.attempt;
            }));
}

std::size_t unknownSeats(const ClaimVotes &votes)
{
    return static_cast<std::size_t>(
            std::count_if(votes.seats.begin(), votes.seats.end(),
                          [](const auto &vote) { return !hasHolder(vote); }));
}

/// The largest number of seats that an attempt other than this one may hold, now or later.
std::size_t worstOther(const ClaimVotes &votes)
{
    std::size_t worst = 0;
    for (const auto &vote : votes.seats) {
        if (hasHolder(vote) && !vote->holder->isClosed()
            && vote->holder->attempt != votes.attempt) {
            worst = std::max(worst, countOf(votes, *vote->holder));
        }
    }
    return worst + unknownSeats(votes);
}

std::optional<ClaimHolder> anyOther(const ClaimVotes &votes)
{
    for (const auto &vote : votes.seats) {
        if (hasHolder(vote) && vote->holder->attempt != votes.attempt) {
            return vote->holder;
        }
    }
    return std::nullopt;
}

} // namespace

ClaimVotes startVotes(AttemptId attempt, Fingerprint body, std::size_t seatCount)
{
    return ClaimVotes{attempt, body, seatCount / 2 + 1,
                      std::vector<std::optional<ClaimVerdict>>(seatCount)};
}

void takeVote(ClaimVotes &votes, std::size_t seat, const ClaimVerdict &verdict)
{
    if (seat < votes.seats.size() && !hasHolder(votes.seats[seat])) {
        votes.seats[seat] = verdict;
    }
}

ClaimStanding standingOf(const ClaimVotes &votes)
{
    if (countOf(votes, {votes.attempt, {}, {}}) >= votes.majority) {
        return ClaimStanding::Won;
    }
    if (otherWinner(votes)) {
        return ClaimStanding::Lost;
    }
    const bool allIn = std::all_of(votes.seats.begin(), votes.seats.end(),
                                   [](const auto &vote) { return vote.has_value(); });
    return allIn ? ClaimStanding::Undecided : ClaimStanding::Open;
}

std::optional<ClaimHolder> otherWinner(const ClaimVotes &votes)
{
    for (const auto &vote : votes.seats) {
        if (hasHolder(vote) && !vote->holder->isClosed() && vote->holder->attempt != votes.attempt
            && countOf(votes, *vote->holder) >= votes.majority) {
            return vote->holder;
        }
    }
    return std::nullopt;
}

bool isProvenNotRun(const ClaimVotes &votes)
{
    return !votes.seats.empty() && worstOther(votes) < votes.majority;
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
        const bool named
                = std::any_of(votes.seats.begin(), votes.seats.end(),
                              [code](const auto &vote) { return vote && vote->refusal == code; });
        if (named) {
            return code;
        }
    }
    return ErrorCode::WitnessUnavailable;
}

} // namespace balsamport
