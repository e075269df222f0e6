#ifndef BALSAMPORT_POLICY_LOAD_BUDGET_H
#define BALSAMPORT_POLICY_LOAD_BUDGET_H

#include <balsamport/config/snapshot.h>
#include <balsamport/core/clock.h>
#include <balsamport/core/ids.h>

#include <cstdint>
#include <optional>
#include <vector>

namespace balsamport {

/// @brief The right to one load at a time from the weight store, once an interval.
///
/// The fleet has as many tokens as loads may be in flight; each carries an equal part of the
/// store's rate. A token is spent by the VM that holds it, or lent for one load.
struct LoadToken
{
    std::uint32_t index = 0;
    Millis readyAt; ///< The store's rate allows the next load from here on.
    Millis busyUntil; ///< A load or a lease may be in flight until here.
    Millis heldSince; ///< When this VM's right to the token began.
    std::uint64_t loan = 0; ///< Number of the loan that it is out on; 0 for none.

    bool operator==(const LoadToken &) const = default;
};

/// @brief A token lent by a peer, good for one load that ends before the lease does.
struct BorrowedToken
{
    std::uint64_t loan = 0; ///< The lender's number.
    std::uint64_t lender = 0; ///< Chosen by the caller of the policy.
    Millis startBy; ///< The load must start before.
    Millis until; ///< The load must have ended by then.

    bool operator==(const BorrowedToken &) const = default;
};

/// @brief A peer that waits for a token.
struct LoanRequest
{
    std::uint64_t number = 0; ///< Chosen by the caller of the policy.
    Millis since; ///< When the oldest request behind it came.
    Millis receivedAt; ///< When this VM got the request.
    Millis refuseAt;

    bool operator==(const LoanRequest &) const = default;
};

/// @brief A borrowed token that goes back to its lender.
struct LoanReturn
{
    std::uint64_t loan = 0;
    std::uint64_t lender = 0;
    bool used = false; ///< A load was made on it.
    Millis started; ///< When that load started.

    bool operator==(const LoanReturn &) const = default;
};

/// @brief The tokens of one VM.
struct LoadBudget
{
    Millis interval{1}; ///< Shortest time between two loads on one token.
    std::vector<LoadToken> tokens; ///< Held by this VM, ordered by index.
    std::vector<LoadToken> retired; ///< Once held; kept so that a token that returns is not fresh.
    std::vector<BorrowedToken> borrowed;
    std::vector<LoanRequest> loanRequests; ///< Peers that wait for a token of this VM.
    std::vector<LoanReturn> returns; ///< To be sent to their lenders.
    std::uint64_t nextLoan = 1;

    bool operator==(const LoadBudget &) const = default;
};

/// @brief Which token a load uses, to be given back when the load ends.
struct LoadPermit
{
    std::optional<std::uint32_t> token; ///< Nothing: a borrowed one.
    BorrowedToken borrowed;
    Millis deadline; ///< The load must have ended by then.
    Millis started;

    bool operator==(const LoadPermit &) const = default;
};

/// Longest time that one load may take; an order carries it as its deadline.
constexpr Millis maxLoadDuration{3'000};
/// How much longer a lender waits than the lease that it gave, for drift between two clocks.
constexpr Millis leaseMargin{200};
/// How long a load waits for tokens of its own region before those of the other are asked for.
constexpr Millis crossRegionBorrowDelay{0};
/// Time within which a borrowed token must be used, counted from the sending of the request.
constexpr Millis borrowedTokenStartWindow{100};

/// @return the time between two loads on one token for the store's whole rate
[[nodiscard]] Millis tokenInterval(const LimitsConfig &limits) noexcept;

/// @brief Names the backend servers whose owners hold the tokens: each token its first choice by
/// rendezvous among the servers that hold fewest, so that the tokens are spread evenly.
/// @param engines all configured engines
/// @return one for each token; empty where there are no engines
/// @complexity O(t * n) for t tokens and n engines
[[nodiscard]] std::vector<BackendServerId>
tokenServers(std::uint32_t tokens, const std::vector<BackendServerId> &engines);

/// @brief A token that this VM holds, and since when.
struct HeldToken
{
    std::uint32_t index = 0;
    Millis since;

    bool operator==(const HeldToken &) const = default;
};

/// @brief Sets which tokens this VM holds. A token that is new here, or held since another time,
/// becomes ready only after a whole interval and after the longest load that an earlier holder may
/// have started.
/// @complexity O(n * m) for n tokens now and m before
void setTokens(LoadBudget &budget, const std::vector<HeldToken> &held, Millis interval);

/// @brief Takes a token for a load that starts now. A peer whose request is older goes first.
/// @param since when the oldest request for the load came
/// @return nothing where none is ready
/// @complexity linear in the tokens held and the peers waiting
[[nodiscard]] std::optional<LoadPermit> acquireToken(LoadBudget &budget, Millis since, Millis now);

/// @brief Gives back a token after its load has ended; its rate stays spent.
void releasePermit(LoadBudget &budget, const LoadPermit &permit, Millis now);

/// @brief Puts a peer into the queue for a token.
void queueLoanRequest(LoadBudget &budget, const LoanRequest &request);

/// @brief The answer to a peer in the queue.
struct LoanReply
{
    std::uint64_t number = 0;
    std::uint64_t loan = 0; ///< 0: refused.
    Millis retryAfter; ///< Where refused: when to ask again.
    Millis queuedFor; ///< How long the peer was kept waiting.

    bool operator==(const LoanReply &) const = default;
};

/// @brief Lends ready tokens, the oldest request first, and refuses peers that waited too long.
/// @param mayLend whether this VM's right to its tokens is confirmed
[[nodiscard]] std::vector<LoanReply> processLoanRequests(LoadBudget &budget, bool mayLend,
                                                         Millis now);

/// @brief Takes a lent token back. A loan that is not the token's latest is ignored.
/// @param started the latest time at which a load can have started on it; nothing where none was
/// made, and its rate is not spent
void returnLoan(LoadBudget &budget, std::uint64_t loan, std::optional<Millis> started,
                Millis now) noexcept;

/// @brief Adds a token that a peer has lent, for maxLoadDuration.
/// @param lent the earliest time at which it can have been lent: when the request for it was sent,
/// and later by how long the lender kept it
void addBorrowed(LoadBudget &budget, std::uint64_t loan, std::uint64_t lender, Millis lent);

/// @brief Sends back borrowed tokens that nobody needs.
void returnUnusedLoans(LoadBudget &budget);

/// @return when a token becomes ready, now where one is; nothing where none is held
[[nodiscard]] std::optional<Millis> nextTokenReady(const LoadBudget &budget, Millis now) noexcept;

} // namespace balsamport

#endif
