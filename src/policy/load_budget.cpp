#include <balsamport/policy/load_budget.h>

#include <balsamport/core/rendezvous.h>

#include <algorithm>
#include <string>

namespace balsamport {

namespace {

constexpr std::int64_t millisInThousandSeconds = 1'000'000;

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

void dropEndedLeases(LoadBudget &budget, Millis now)
{
    std::erase_if(budget.borrowed,
                  [now](const BorrowedToken &token) { return token.startBy <= now; });
}

} // namespace

Millis tokenInterval(const LimitsConfig &limits) noexcept
{
    const std::int64_t rate = std::max<std::int64_t>(limits.storeLoadsPerThousandSeconds, 1);
    const std::int64_t tokens = std::max<std::int64_t>(limits.storeInFlight, 1);
    return Millis((tokens * millisInThousandSeconds + rate - 1) / rate);
}

std::optional<BackendServerId> tokenServer(std::uint32_t token,
                                           const std::vector<BackendServerId> &engines)
{
    return rendezvousFirst("load-token-" + std::to_string(token), engines);
}

void setTokens(LoadBudget &budget, const std::vector<HeldToken> &held, Millis interval)
{
    std::vector<LoadToken> known = std::move(budget.tokens);
    known.insert(known.end(), budget.retired.begin(), budget.retired.end());
    budget.tokens.clear();
    budget.retired.clear();
    for (const auto &[index, since] : held) {
        LoadToken token{index, since + interval, since + loadOrderTime + leaseMargin, since};
        const auto old = std::find_if(known.begin(), known.end(),
                                      [index = index](const auto &t) { return t.index == index; });
        if (old != known.end()) {
            const bool unbroken = old->heldSince == since;
            token.readyAt = unbroken ? old->readyAt : std::max(old->readyAt, token.readyAt);
            token.busyUntil = unbroken ? old->busyUntil : std::max(old->busyUntil, token.busyUntil);
            known.erase(old);
        }
        budget.tokens.push_back(token);
    }
    budget.retired = std::move(known);
    budget.interval = interval;
}

std::optional<LoadPermit> takeToken(LoadBudget &budget, Millis now)
{
    dropEndedLeases(budget, now);
    if (!budget.borrowed.empty()) {
        const LoadPermit permit{std::nullopt, budget.borrowed.back().until};
        budget.borrowed.pop_back();
        return permit;
    }
    LoadToken *token = findReady(budget, now);
    if (token == nullptr) {
        return std::nullopt;
    }
    token->readyAt = now + budget.interval;
    token->busyUntil = now + loadOrderTime;
    return LoadPermit{token->index, token->busyUntil};
}

void finishLoad(LoadBudget &budget, const LoadPermit &permit, Millis now) noexcept
{
    for (LoadToken &token : budget.tokens) {
        if (permit.token == token.index && token.busyUntil == permit.deadline) {
            token.busyUntil = std::min(token.busyUntil, now);
        }
    }
}

bool lendToken(LoadBudget &budget, Millis now, Millis lease)
{
    LoadToken *token = findReady(budget, now);
    if (token == nullptr) {
        return false;
    }
    token->readyAt = now + budget.interval + borrowedStartTime;
    token->busyUntil = now + lease + leaseMargin;
    return true;
}

void addBorrowed(LoadBudget &budget, Millis asked, Millis lease)
{
    budget.borrowed.push_back({asked + borrowedStartTime, asked + lease});
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
