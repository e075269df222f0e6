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

    bool operator==(const LoadToken &) const = default;
};

/// @brief A token lent by a peer, good for one load that ends before the lease does.
struct BorrowedToken
{
    Millis startBy; ///< The load must start before.
    Millis until; ///< The load must have ended by then.

    bool operator==(const BorrowedToken &) const = default;
};

/// @brief The tokens of one VM.
struct LoadBudget
{
    Millis interval{1}; ///< Shortest time between two loads on one token.
    std::vector<LoadToken> tokens; ///< Held by this VM, ordered by index.
    std::vector<LoadToken> retired; ///< Once held; kept so that a token that returns is not fresh.
    std::vector<BorrowedToken> borrowed;

    bool operator==(const LoadBudget &) const = default;
};

/// @brief Which token a load uses, to be given back when the load ends.
struct LoadPermit
{
    std::optional<std::uint32_t> token; ///< Nothing: a borrowed one.
    Millis deadline; ///< The load must have ended by then.

    bool operator==(const LoadPermit &) const = default;
};

/// Longest time that one load may take; an order carries it as its deadline.
constexpr Millis loadOrderTime{3'000};
/// How much longer a lender waits than the lease that it gave, for drift between two clocks.
constexpr Millis leaseMargin{200};
/// Time within which a borrowed token must be used, counted from the sending of the request.
constexpr Millis borrowedStartTime{100};

/// @return the time between two loads on one token for the store's whole rate
[[nodiscard]] Millis tokenInterval(const LimitsConfig &limits) noexcept;

/// @brief Names the backend server whose owner holds a token.
/// @param engines all configured engines
/// @return nothing where there are no engines
/// @complexity O(n) for n engines
[[nodiscard]] std::optional<BackendServerId>
tokenServer(std::uint32_t token, const std::vector<BackendServerId> &engines);

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

/// @brief Takes a token for a load that starts now.
/// @return nothing where none is ready
/// @complexity linear in the tokens held
[[nodiscard]] std::optional<LoadPermit> takeToken(LoadBudget &budget, Millis now);

/// @brief Gives back a token after its load has ended; its rate stays spent.
void finishLoad(LoadBudget &budget, const LoadPermit &permit, Millis now) noexcept;

/// @brief Lends a ready token for one load.
/// @param lease for how long the borrower may use it
/// @return whether one was ready
[[nodiscard]] bool lendToken(LoadBudget &budget, Millis now, Millis lease);

/// @brief Adds a token that a peer has lent.
/// @param asked when the request for it was sent
/// @param lease as the lender gave it
void addBorrowed(LoadBudget &budget, Millis asked, Millis lease);

/// @return when a token becomes ready, now where one is; nothing where none is held
[[nodiscard]] std::optional<Millis> nextTokenReady(const LoadBudget &budget, Millis now) noexcept;

} // namespace balsamport

#endif
