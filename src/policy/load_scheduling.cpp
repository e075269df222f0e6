#include "load_scheduling.h"

#include "slot_access.h"

#include <balsamport/core/hash.h>

#include <algorithm>
#include <utility>

namespace balsamport {

namespace {

constexpr Millis tokenWaitHalfLife{5'000};
constexpr Millis shortTokenWait{20}; ///< Up to this wait for a token, batch fill has priority.
constexpr Millis preloadLifetime{60'000};
/// Demand in decayed requests from which an evicted adapter is loaded again ahead of demand.
constexpr double preloadDemand = 4;
/// Hysteresis: ratio by which the demand of a preload must exceed that of its eviction candidate.
constexpr double preloadAdvantage = 3;
constexpr std::size_t maxPreloads = 64;

bool mayEvict(const ServerState &server, const Slot &slot)
{
    return slot.state == SlotState::Resident && slot.running == 0 && !isPinned(server, slot.hash)
            && !isWaitedFor(server, slot.hash);
}

Slot *chooseSlot(ServerState &server, Millis now)
{
    Slot *best = nullptr;
    double lowestDemand = 0;
    for (Slot &slot : server.slots) {
        if (slot.state == SlotState::Free) {
            return &slot;
        }
        if (!mayEvict(server, slot)) {
            continue;
        }
        const double demand = demandOf(server.demand, slot.hash, now);
        if (best == nullptr || demand < lowestDemand
            || (demand == lowestDemand && slot.lastUsed < best->lastUsed)) {
            best = &slot;
            lowestDemand = demand;
        }
    }
    return best;
}

void chargeLink(const SchedulerContext &context, Millis now) noexcept
{
    if (context.link != nullptr && !takeLinkBytes(*context.link, context.loadBytes, now)) {
        context.link->left = 0;
    }
}

LoadCommand startLoad(Slot &slot, const WantedLoad &wanted, const LoadPermit &permit, Millis now)
{
    std::optional<AdapterRef> evictionCandidate;
    if (slot.state == SlotState::Resident) {
        evictionCandidate = slot.adapter;
    }
    slot = Slot{SlotState::Loading,
                wanted.adapter,
                wanted.hash,
                evictionCandidate,
                permit,
                now,
                now,
                0};
    return {wanted.adapter, std::move(evictionCandidate), permit.deadline};
}

/// Returns whether a token is idle: it has been ready for a full interval, so that it is unlikely
/// to be needed soon, and no peer requests one.
bool hasIdleToken(const LoadBudget &budget, Millis now)
{
    return budget.loanRequests.empty()
            && std::any_of(budget.tokens.begin(), budget.tokens.end(),
                           [&budget, now](const LoadToken &token) {
                               return now >= token.readyAt + budget.interval
                                       && now >= token.busyUntil;
                           });
}

/// Returns whether the preload has priority over the adapter that the slot holds.
bool isWorthLoading(const ServerState &server, const Preload &preload, const Slot &slot, Millis now)
{
    if (slot.state == SlotState::Free || preload.declared) {
        return true;
    }
    return demandOf(server.demand, preload.hash, now)
            > preloadAdvantage * demandOf(server.demand, slot.hash, now);
}

} // namespace

std::vector<WantedLoad> wantedLoads(const ServerState &server, Millis now)
{
    std::vector<WantedLoad> wanted;
    if (server.limits.adapterless) {
        return wanted;
    }
    for (const Waiter &waiter : server.waiters) {
        const std::uint64_t hash = waiter.request.adapterHash;
        if (findSlot(server, hash) != nullptr || isBackingOff(server, hash, now)) {
            continue;
        }
        auto found = std::find_if(wanted.begin(), wanted.end(),
                                  [hash](const WantedLoad &w) { return w.hash == hash; });
        if (found == wanted.end()) {
            found = wanted.insert(wanted.end(),
                                  {waiter.request.adapter, hash, waiter.request.priority, 0,
                                   waiter.request.deadline, waiter.since});
        }
        found->priority = std::max(found->priority, waiter.request.priority);
        found->deadline = std::min(found->deadline, waiter.request.deadline);
        found->since = std::min(found->since, waiter.since);
        found->urgency += (now - waiter.since).count() + 1;
    }
    std::sort(wanted.begin(), wanted.end(), [](const WantedLoad &a, const WantedLoad &b) {
        if (a.priority != b.priority) {
            return a.priority > b.priority;
        }
        return a.urgency != b.urgency ? a.urgency > b.urgency : a.deadline < b.deadline;
    });
    return wanted;
}

Millis tokenWait(const ServerState &server, Millis now) noexcept
{
    constexpr std::int64_t maxHalvings = 62;
    const std::int64_t age = std::max((now - server.tokenWaitAt).count(), std::int64_t{0});
    const std::int64_t halvings = std::min(age / tokenWaitHalfLife.count(), maxHalvings);
    return Millis(server.tokenWait.count() >> halvings);
}

bool hasUsableSlot(const ServerState &server)
{
    return std::any_of(server.slots.begin(), server.slots.end(), [&server](const Slot &slot) {
        return slot.state == SlotState::Free || mayEvict(server, slot);
    });
}

bool acceptsPackedLoad(ServerState &server, Millis now)
{
    const Slot *slot = chooseSlot(server, now);
    return slot != nullptr
            && (slot->state == SlotState::Free || tokenWait(server, now) <= shortTokenWait);
}

bool isLinkAvailable(const SchedulerContext &context, Millis now) noexcept
{
    return context.link == nullptr || linkBytesLeft(*context.link, now) >= context.loadBytes;
}

void addPreload(ServerState &server, const AdapterRef &adapter, bool declared, Millis now)
{
    const std::uint64_t hash = hashOf(adapter);
    const Millis until = now + preloadLifetime;
    for (Preload &preload : server.preloads) {
        if (preload.hash == hash) {
            preload.until = until;
            preload.declared = preload.declared || declared;
            return;
        }
    }
    if (server.preloads.size() < maxPreloads) {
        server.preloads.push_back({adapter, hash, until, declared});
    }
}

void scheduleLoads(ServerState &server, LoadBudget &budget, const SchedulerContext &context,
                   Millis now, std::vector<GrantSchedulerAction> &actions)
{
    for (const WantedLoad &wanted : wantedLoads(server, now)) {
        Slot *slot = chooseSlot(server, now);
        if (slot == nullptr) {
            return;
        }
        if (!isLinkAvailable(context, now)) {
            return;
        }
        const auto permit = acquireToken(budget, wanted.since, now);
        if (!permit) {
            return;
        }
        chargeLink(context, now);
        server.tokenWait = movingAverage(tokenWait(server, now), now - wanted.since);
        server.tokenWaitAt = now;
        // An evicted adapter that is still in demand is loaded again when the budget has an idle
        // token.
        if (slot->state == SlotState::Resident
            && demandOf(server.demand, slot->hash, now) >= preloadDemand) {
            addPreload(server, slot->adapter, false, now);
        }
        actions.emplace_back(startLoad(*slot, wanted, *permit, now));
    }
}

void schedulePreload(ServerState &server, LoadBudget &budget, const SchedulerContext &context,
                     Millis now, std::vector<GrantSchedulerAction> &actions)
{
    std::erase_if(server.preloads, [&server, now](const Preload &preload) {
        return now >= preload.until || findSlot(server, preload.hash) != nullptr;
    });
    if (server.preloads.empty() || !hasIdleToken(budget, now)) {
        return;
    }
    const auto best = std::max_element(server.preloads.begin(), server.preloads.end(),
                                       [&server, now](const Preload &a, const Preload &b) {
                                           if (a.declared != b.declared) {
                                               return b.declared;
                                           }
                                           return demandOf(server.demand, a.hash, now)
                                                   < demandOf(server.demand, b.hash, now);
                                       });
    Slot *slot = chooseSlot(server, now);
    if (slot == nullptr || isBackingOff(server, best->hash, now)
        || !isWorthLoading(server, *best, *slot, now) || !isLinkAvailable(context, now)) {
        return;
    }
    if (const auto permit = acquireToken(budget, now, now)) {
        chargeLink(context, now);
        const WantedLoad wanted{best->adapter, best->hash, 0, 0, Millis(), now};
        actions.emplace_back(startLoad(*slot, wanted, *permit, now));
    }
}

} // namespace balsamport
