#include <balsamport/policy/load_budget.h>

#include <balsamport/core/rendezvous.h>

#include <algorithm>
#include <string>

namespace balsamport {

namespace {

constexpr std::int64_t millisPerThousandSeconds = 1'000'000;

bool isReady(const LoadToken &token, Millis now) noexcept
{
    return now >= token.readyAt && now >= token.busyUntil;
}

LoadToken *findReady(LoadBudget &budget, Millis now) noexcept
{
    const auto found = std::find_if(budget.tokens.begin(), budget.tokens.end(),
                                    [now](const LoadToken &token) { return isReady(token, now); });
    return found == budget.tokens.end() ? nullptr : &*found;
}

void returnExpiredLoans(LoadBudget &budget, Millis now)
{
    std::erase_if(budget.borrowed, [&budget, now](const BorrowedToken &token) {
        if (now < token.startBy) {
            return false;
        }
        budget.returns.push_back({token.loan, token.lender, false, Millis()});
        return true;
    });
}

} // namespace

Millis tokenInterval(const LimitsConfig &limits) noexcept
{
    const std::int64_t rate = std::max<std::int64_t>(limits.storeLoadsPerThousandSeconds, 1);
    const std::int64_t tokens = std::max<std::int64_t>(limits.storeInFlight, 1);
    return Millis((tokens * millisPerThousandSeconds + rate - 1) / rate);
}

std::vector<BackendServerId> tokenServers(std::uint32_t tokens,
                                          const std::vector<BackendServerId> &engines)
{
    std::vector<BackendServerId> chosen;
    if (engines.empty()) {
        return chosen;
    }
    std::vector<BackendServerId> remaining = engines;
    for (std::uint32_t token = 0; token < tokens; ++token) {
        const auto server = rendezvousFirst("load-token-" + std::to_string(token), remaining);
        chosen.push_back(*server);
        std::erase(remaining, *server);
        if (remaining.empty()) {
            remaining = engines;
        }
    }
    return chosen;
}

void setTokens(LoadBudget &budget, const std::vector<HeldToken> &held, Millis interval)
{
    std::vector<LoadToken> known = std::move(budget.tokens);
    known.insert(known.end(), budget.retired.begin(), budget.retired.end());
    budget.tokens.clear();
    budget.retired.clear();
    for (const auto &[index, since] : held) {
        LoadToken token{index, since + interval, since + maxLoadDuration + leaseMargin, since};
        const auto previous
                = std::find_if(known.begin(), known.end(),
                               [index = index](const auto &t) { return t.index == index; });
        if (previous != known.end()) {
            const bool heldThroughout = previous->heldSince == since;
            token.readyAt = heldThroughout ? previous->readyAt
                                           : std::max(previous->readyAt, token.readyAt);
            token.busyUntil = heldThroughout ? previous->busyUntil
                                             : std::max(previous->busyUntil, token.busyUntil);
            known.erase(previous);
        }
        budget.tokens.push_back(token);
    }
    budget.retired = std::move(known);
    budget.interval = interval;
}

std::optional<LoadPermit> acquireToken(LoadBudget &budget, Millis since, Millis now)
{
    returnExpiredLoans(budget, now);
    if (!budget.borrowed.empty()) {
        const BorrowedToken borrowed = budget.borrowed.back();
        budget.borrowed.pop_back();
        return LoadPermit{std::nullopt, borrowed, borrowed.until, now};
    }
    const auto ready = std::count_if(budget.tokens.begin(), budget.tokens.end(),
                                     [now](const LoadToken &token) { return isReady(token, now); });
    const auto older
            = std::count_if(budget.loanRequests.begin(), budget.loanRequests.end(),
                            [since](const LoanRequest &request) { return request.since < since; });
    if (ready <= older) {
        return std::nullopt;
    }
    LoadToken *token = findReady(budget, now);
    token->readyAt = now + budget.interval;
    token->busyUntil = now + maxLoadDuration;
    token->loan = 0;
    return LoadPermit{token->index, {}, token->busyUntil, now};
}

void releasePermit(LoadBudget &budget, const LoadPermit &permit, Millis now)
{
    if (!permit.token) {
        budget.returns.push_back(
                {permit.borrowed.loan, permit.borrowed.lender, true, permit.started});
        return;
    }
    for (LoadToken &token : budget.tokens) {
        const bool same = token.loan == 0 && token.busyUntil == permit.deadline;
        if (token.index == *permit.token && same) {
            token.busyUntil = std::min(token.busyUntil, now);
        }
    }
}

void queueLoanRequest(LoadBudget &budget, const LoanRequest &request)
{
    budget.loanRequests.push_back(request);
}

std::vector<LoanReply> processLoanRequests(LoadBudget &budget, bool mayLend, Millis now)
{
    std::vector<LoanReply> replies;
    std::sort(budget.loanRequests.begin(), budget.loanRequests.end(),
              [](const LoanRequest &a, const LoanRequest &b) { return a.since < b.since; });
    std::erase_if(budget.loanRequests, [&](const LoanRequest &request) {
        LoadToken *token = mayLend ? findReady(budget, now) : nullptr;
        if (token != nullptr) {
            token->loan = budget.nextLoan++;
            token->readyAt = now + budget.interval + borrowedTokenStartWindow;
            token->busyUntil = now + maxLoadDuration + leaseMargin;
            replies.push_back({request.number, token->loan, Millis(0), now - request.receivedAt});
            return true;
        }
        if (now < request.refuseAt) {
            return false;
        }
        const auto ready = nextTokenReady(budget, now);
        replies.push_back({request.number, 0, ready ? *ready - now : maxLoadDuration,
                           now - request.receivedAt});
        return true;
    });
    return replies;
}

void returnLoan(LoadBudget &budget, std::uint64_t loan, std::optional<Millis> started,
                Millis now) noexcept
{
    for (LoadToken &token : budget.tokens) {
        if (loan == 0 || token.loan != loan) {
            continue;
        }
        token.loan = 0;
        token.busyUntil = std::min(token.busyUntil, now);
        const Millis ready = started ? *started + budget.interval : now;
        token.readyAt = std::min(token.readyAt, ready);
    }
}

void addBorrowed(LoadBudget &budget, std::uint64_t loan, std::uint64_t lender, Millis lent)
{
    budget.borrowed.push_back(
            {loan, lender, lent + borrowedTokenStartWindow, lent + maxLoadDuration});
}

void returnUnusedLoans(LoadBudget &budget)
{
    for (const BorrowedToken &token : budget.borrowed) {
        budget.returns.push_back({token.loan, token.lender, false, Millis()});
    }
    budget.borrowed.clear();
}

std::optional<Millis> nextTokenReady(const LoadBudget &budget, Millis now) noexcept
{
    for (const BorrowedToken &token : budget.borrowed) {
        if (token.startBy > now) {
            return now;
        }
    }
    std::optional<Millis> first;
    for (const LoadToken &token : budget.tokens) {
        const Millis ready = std::max({token.readyAt, token.busyUntil, now});
        first = first ? std::min(*first, ready) : ready;
    }
    return first;
}

} // namespace balsamport
