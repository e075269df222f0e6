#ifndef BALSAMPORT_POLICY_LOAD_BUDGET_H
#define BALSAMPORT_POLICY_LOAD_BUDGET_H

#include <balsamport/config/snapshot.h>
#include <balsamport/core/clock.h>
#include <balsamport/core/ids.h>

#include <cstdint>
#include <optional>
#include <vector>

namespace balsamport {

/// @brief A permit for one load at a time from the weight store, once per interval.
///
/// The fleet has as many tokens as loads may be in flight; each token represents an equal share of
/// the store's rate. A token is used by the VM that holds it, or lent to a peer for one load.
struct LoadToken
{
    std::uint32_t index = 0;
    Millis readyAt; ///< The store's rate allows the next load from this time.
    Millis busyUntil; ///< A load or a lease may be in flight until this time.
    Millis heldSince; ///< When this VM began to hold the token.
    std::uint64_t loan = 0; ///< Number of the current loan of the token; 0 for none.

    bool operator==(const LoadToken &) const = default;
};

/// @brief A token lent by a peer, valid for one load that must end before the lease does.
struct BorrowedToken
{
    std::uint64_t loan = 0; ///< Number of the loan, assigned by the lender.
    std::uint64_t lender = 0; ///< Identifies the lending peer; assigned by the calling controller.
    Millis startBy; ///< The load must start before this time.
    Millis until; ///< The load must have ended by this time.

    bool operator==(const BorrowedToken &) const = default;
};

/// @brief A request of a peer that waits for a token.
struct LoanRequest
{
    std::uint64_t number = 0; ///< Identifies the request; assigned by the calling controller.
    Millis since; ///< Arrival of the oldest inference request that waits for the load.
    Millis receivedAt; ///< When this VM received the request.
    Millis refuseAt; ///< The request is refused if no token is ready by this time.

    bool operator==(const LoanRequest &) const = default;
};

/// @brief A borrowed token that is to be returned to its lender.
struct LoanReturn
{
    std::uint64_t loan = 0;
    std::uint64_t lender = 0;
    bool used = false; ///< A load was started with the token.
    Millis started; ///< When that load started; meaningless unless used.

    bool operator==(const LoanReturn &) const = default;
};

/// @brief The load tokens of one VM: held, borrowed and lent.
struct LoadBudget
{
    Millis interval{1}; ///< Shortest time between two loads with one token.
    std::vector<LoadToken> tokens; ///< Held by this VM, ordered by index.
    /// Held before; stored so that a token that comes back is not treated as unused.
    std::vector<LoadToken> retired;
    std::vector<BorrowedToken> borrowed;
    std::vector<LoanRequest> loanRequests; ///< Of peers that wait for a token of this VM.
    std::vector<LoanReturn> returns; ///< To be sent to the lenders.
    std::uint64_t nextLoan = 1;

    bool operator==(const LoadBudget &) const = default;
};

/// @brief The token that a load uses, to be released when the load ends.
struct LoadPermit
{
    /// Index of the held token; std::nullopt if it is borrowed.
    std::optional<std::uint32_t> token;
    BorrowedToken borrowed; ///< Set if `token` is not.
    Millis deadline; ///< The load must have ended by this time.
    Millis started;

    bool operator==(const LoadPermit &) const = default;
};

/// Longest time that one load may take; a load command carries it as its deadline.
constexpr Millis maxLoadDuration{3'000};
/// Time that a lender waits beyond the lease it gave, to allow for drift between two clocks.
constexpr Millis leaseMargin{200};
/// Time that a load waits for tokens of its own region before one of the other region is requested.
constexpr Millis crossRegionBorrowDelay{0};
/// Time within which a borrowed token must be used, counted from the sending of the request.
constexpr Millis borrowedTokenStartWindow{100};

/// @return the time between two loads with one token at which all tokens use the store's full rate
[[nodiscard]] Millis tokenInterval(const LimitsConfig &limits) noexcept;

/// @brief Returns the backend servers whose owners hold the tokens. Each token goes to its first
/// choice by rendezvous hashing among the servers with the fewest tokens, so that the tokens are
/// spread evenly.
/// @param engines all configured engines
/// @return one server for each token; empty if there are no engines
/// @complexity O(t * n) for t tokens and n engines
[[nodiscard]] std::vector<BackendServerId>
tokenServers(std::uint32_t tokens, const std::vector<BackendServerId> &engines);

/// @brief A token that this VM holds, and the time from which it holds it.
struct HeldToken
{
    std::uint32_t index = 0;
    Millis since;

    bool operator==(const HeldToken &) const = default;
};

/// @brief Sets the tokens that this VM holds. A token that is new here, or held since another time,
/// becomes ready only after a full interval and after the longest load that an earlier holder may
/// have started.
/// @complexity O(n * m) for n tokens now and m before
void setTokens(LoadBudget &budget, const std::vector<HeldToken> &held, Millis interval);

/// @brief Acquires a token for a load that starts now. Peers with an older request have priority.
/// @param since arrival of the oldest inference request that waits for the load
/// @return std::nullopt if no token is ready
/// @complexity linear in the numbers of tokens and of waiting peers
[[nodiscard]] std::optional<LoadPermit> acquireToken(LoadBudget &budget, Millis since, Millis now);

/// @brief Releases the token of a load that has ended. Its interval is not refunded.
void releasePermit(LoadBudget &budget, const LoadPermit &permit, Millis now);

/// @brief Adds the request of a peer to the queue for a token.
void queueLoanRequest(LoadBudget &budget, const LoanRequest &request);

/// @brief The reply to a peer in the queue.
struct LoanReply
{
    std::uint64_t number = 0; ///< Of the request.
    std::uint64_t loan = 0; ///< Number of the loan; 0 if it was refused.
    Millis retryAfter; ///< If refused: the delay before the next request.
    Millis queuedFor; ///< Time that the request waited in the queue.

    bool operator==(const LoanReply &) const = default;
};

/// @brief Lends ready tokens, the oldest request first, and refuses the requests that have waited
/// until LoanRequest::refuseAt.
/// @param mayLend whether the ownership of the tokens is confirmed
[[nodiscard]] std::vector<LoanReply> processLoanRequests(LoadBudget &budget, bool mayLend,
                                                         Millis now);

/// @brief Ends the loan of a token. A loan that is not the latest of its token is ignored.
/// @param started the latest time at which a load can have started with the token; std::nullopt if
/// none was started, in which case the interval is refunded
void returnLoan(LoadBudget &budget, std::uint64_t loan, std::optional<Millis> started,
                Millis now) noexcept;

/// @brief Adds a token that a peer has lent for maxLoadDuration.
/// @param lent the earliest time at which it can have been lent: when the request for it was sent,
/// plus the time that the request waited at the lender
void addBorrowed(LoadBudget &budget, std::uint64_t loan, std::uint64_t lender, Millis lent);

/// @brief Moves all borrowed tokens to the returns, for when no load needs them.
void returnUnusedLoans(LoadBudget &budget);

/// @return when the next token becomes ready, `now` if one is ready; std::nullopt if there is none
[[nodiscard]] std::optional<Millis> nextTokenReady(const LoadBudget &budget, Millis now) noexcept;

} // namespace balsamport

#endif
