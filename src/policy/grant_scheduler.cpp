#include <balsamport/policy/grant_scheduler.h>

#include <balsamport/core/hash.h>

#include <algorithm>
#include <utility>

namespace balsamport {

namespace {

constexpr Millis firstBackoff{500};
constexpr Millis longestBackoff{30'000};
constexpr std::uint32_t backoffDoublings = 6;
constexpr Millis tokenWaitHalfLife{5'000};
constexpr Millis cheapTokenWait{20};
constexpr Millis shortestRetryAfter{1'000};
constexpr std::int64_t redirectLoadTimes = 2;
constexpr std::int64_t learnDivisor = 8; ///< Weight of a new sample in a learnt time.
constexpr Millis preloadLifetime{60'000};
constexpr double preloadDemand = 4; ///< Decayed requests.
constexpr double preloadAdvantage = 3; ///< Hysteresis between a preload and its victim.
constexpr std::size_t maxPreloads = 64;
constexpr std::int64_t switchServiceTimes = 2;

Slot *findSlot(ServerState &server, std::uint64_t hash) noexcept
{
    for (Slot &slot : server.slots) {
        if (slot.state != SlotState::Free && slot.hash == hash) {
            return &slot;
        }
    }
    return nullptr;
}

const Slot *findSlot(const ServerState &server, std::uint64_t hash) noexcept
{
    return findSlot(const_cast<ServerState &>(server), hash);
}

bool isPinned(const ServerState &server, std::uint64_t hash) noexcept
{
    return server.pins.contains(hash);
}

bool isWaitedFor(const ServerState &server, std::uint64_t hash) noexcept
{
    return std::any_of(server.waiters.begin(), server.waiters.end(),
                       [hash](const Waiter &w) { return w.request.adapterHash == hash; });
}

Millis learn(Millis known, Millis sample) noexcept
{
    return known + (sample - known) / learnDivisor;
}

/// A learnt wait halves with each interval in which nothing was learnt.
Millis tokenWait(const ServerState &server, Millis now) noexcept
{
    constexpr std::int64_t mostHalvings = 62;
    const std::int64_t age = std::max((now - server.tokenWaitAt).count(), std::int64_t{0});
    const std::int64_t halvings = std::min(age / tokenWaitHalfLife.count(), mostHalvings);
    return Millis(server.tokenWait.count() >> halvings);
}

std::uint32_t classWeight(const SchedulerContext &context, const CallerClassId &callerClass)
{
    if (context.classWeights == nullptr) {
        return 1;
    }
    const auto found = context.classWeights->find(callerClass);
    return found == context.classWeights->end() ? 1 : std::max(found->second, 1U);
}

std::uint32_t queueLimit(const SchedulerContext &context, const CallerClassId &callerClass)
{
    if (context.classQueueLimits == nullptr) {
        return context.queueLimit;
    }
    const auto found = context.classQueueLimits->find(callerClass);
    return found == context.classQueueLimits->end() ? context.queueLimit : found->second;
}

double servedShare(const ServerState &server, const CallerClassId &callerClass)
{
    const auto found = server.classService.find(callerClass);
    return found == server.classService.end() ? 0 : found->second;
}

void chargeClass(ServerState &server, const SchedulerContext &context, const CallerClassId &id)
{
    // A class that was idle starts level with the least served waiting class, so that it cannot
    // claim the time in which it asked for nothing.
    double floor = servedShare(server, id);
    for (const Waiter &waiter : server.waiters) {
        if (waiter.request.callerClass != id) {
            floor = std::max(floor, servedShare(server, waiter.request.callerClass) - 1);
            break;
        }
    }
    server.classService[id] = floor + 1.0 / classWeight(context, id);
}

bool goesBefore(const ServerState &server, const Waiter &a, const Waiter &b)
{
    if (a.request.priority != b.request.priority) {
        return a.request.priority > b.request.priority;
    }
    if (a.request.callerClass != b.request.callerClass) {
        const double shareA = servedShare(server, a.request.callerClass);
        const double shareB = servedShare(server, b.request.callerClass);
        if (shareA != shareB) {
            return shareA < shareB;
        }
    }
    if (a.request.deadline != b.request.deadline) {
        return a.request.deadline < b.request.deadline;
    }
    return a.ticket < b.ticket;
}

bool mayRun(const ServerState &server, const Waiter &waiter, const SchedulerContext &context,
            Millis now)
{
    if (server.grants.size() >= server.limits.batchWidth) {
        return false;
    }
    if (waiter.request.alone && !server.grants.empty()) {
        return false;
    }
    if (!server.grants.empty() && server.grants.front().alone) {
        return false;
    }
    if (server.limits.adapterless) {
        return true;
    }
    if (!isResident(server, waiter.request.adapterHash)) {
        return false;
    }
    if (!server.limits.mixesAdapters && !server.grants.empty()
        && server.grants.front().adapterHash != waiter.request.adapterHash) {
        return false;
    }
    const Millis gather = context.gatherTime * context.weightPercent / 100;
    const bool spare = waiter.request.deadline - now > server.serviceTime * 2;
    return !server.grants.empty() || !spare || now - waiter.since >= gather;
}

/// An engine that does not mix adapters stops taking the running one when another waits long.
bool mustSwitch(const ServerState &server, const Waiter &waiter, Millis now)
{
    return !server.limits.mixesAdapters && !server.grants.empty()
            && server.grants.front().adapterHash != waiter.request.adapterHash
            && isResident(server, waiter.request.adapterHash)
            && now - waiter.since > server.serviceTime * switchServiceTimes;
}

GivePlace givePlace(ServerState &server, const SchedulerContext &context, std::size_t index,
                    Millis now)
{
    const Waiter waiter = server.waiters[index];
    server.waiters.erase(server.waiters.begin() + static_cast<std::ptrdiff_t>(index));
    const GrantId id(server.nextGrant++);
    server.grants.push_back({id, waiter.request.request, waiter.request.gateway,
                             waiter.request.adapter, waiter.request.adapterHash,
                             waiter.request.alone, now});
    ++server.pins[waiter.request.adapterHash];
    if (Slot *slot = findSlot(server, waiter.request.adapterHash)) {
        slot->lastUsed = now;
    }
    chargeClass(server, context, waiter.request.callerClass);
    const Millis stall = waiter.hitMiss ? now - waiter.since : Millis(0);
    return {waiter.ticket, id, stall, waiter.request.alone};
}

void givePlaces(ServerState &server, const SchedulerContext &context, Millis now,
                std::vector<Action> &actions)
{
    bool given = true;
    while (given && !server.waiters.empty() && server.grants.size() < server.limits.batchWidth) {
        given = false;
        std::vector<std::size_t> order(server.waiters.size());
        for (std::size_t i = 0; i < order.size(); ++i) {
            order[i] = i;
        }
        std::sort(order.begin(), order.end(), [&server](std::size_t a, std::size_t b) {
            return goesBefore(server, server.waiters[a], server.waiters[b]);
        });
        for (const std::size_t index : order) {
            const Waiter &waiter = server.waiters[index];
            if (mayRun(server, waiter, context, now)) {
                actions.emplace_back(givePlace(server, context, index, now));
                given = true;
                break;
            }
            const bool aloneReady = waiter.request.alone
                    && (server.limits.adapterless
                        || isResident(server, waiter.request.adapterHash));
            if (aloneReady || mustSwitch(server, waiter, now)) {
                break;
            }
        }
    }
}

bool isBackingOff(const ServerState &server, std::uint64_t hash, Millis now)
{
    const auto found = server.backoffs.find(hash);
    return found != server.backoffs.end() && now < found->second.until;
}

/// To another backend server where there is one left, or the final answer.
Action sendAway(bool lastChoice, std::uint64_t ticket, Millis wait)
{
    if (lastChoice) {
        return RefusePlace{ticket, ErrorCode::NoBackendServer, shortestRetryAfter};
    }
    return RedirectPlace{ticket, wait};
}

/// Sends waiters elsewhere that this server will not serve soon.
void redirectStuck(ServerState &server, const SchedulerContext &context, Millis now,
                   std::vector<Action> &actions)
{
    std::erase_if(server.waiters, [&](const Waiter &waiter) {
        const std::uint64_t hash = waiter.request.adapterHash;
        const bool failed = !waiter.request.lastChoice && isBackingOff(server, hash, now)
                && findSlot(server, hash) == nullptr;
        if (!context.reachable) {
            actions.push_back(sendAway(waiter.request.lastChoice, waiter.ticket, server.loadTime));
            return true;
        }
        if (!context.leaving && !failed) {
            return false;
        }
        actions.emplace_back(RedirectPlace{waiter.ticket, server.loadTime});
        return true;
    });
}

void refuseLate(ServerState &server, Millis now, std::vector<Action> &actions)
{
    std::erase_if(server.waiters, [now, &actions](const Waiter &waiter) {
        if (now < waiter.request.deadline) {
            return false;
        }
        actions.emplace_back(
                RefusePlace{waiter.ticket, ErrorCode::DeadlineExceeded, shortestRetryAfter});
        return true;
    });
}

/// Adapters that wait for a load, each with the urgency of its callers, most urgent first.
struct WantedLoad
{
    AdapterRef adapter;
    std::uint64_t hash = 0;
    std::int32_t priority = 0;
    std::int64_t urgency = 0;
    Millis deadline;
    Millis since; ///< When the oldest of the callers came.
};

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

bool mayEvict(const ServerState &server, const Slot &slot)
{
    return slot.state == SlotState::Resident && slot.running == 0 && !isPinned(server, slot.hash)
            && !isWaitedFor(server, slot.hash);
}

/// Whether a slot is free or could be made free.
bool hasRoom(const ServerState &server)
{
    return std::any_of(server.slots.begin(), server.slots.end(), [&server](const Slot &slot) {
        return slot.state == SlotState::Free || mayEvict(server, slot);
    });
}

Slot *chooseSlot(ServerState &server, Millis now)
{
    Slot *best = nullptr;
    double bestValue = 0;
    for (Slot &slot : server.slots) {
        if (slot.state == SlotState::Free) {
            return &slot;
        }
        if (!mayEvict(server, slot)) {
            continue;
        }
        const double value = demandOf(server.demand, slot.hash, now);
        if (best == nullptr || value < bestValue
            || (value == bestValue && slot.lastUsed < best->lastUsed)) {
            best = &slot;
            bestValue = value;
        }
    }
    return best;
}

/// Whether a packed server takes a load: while loads are so cheap that filling batches goes first.
bool takesPacked(ServerState &server, Millis now)
{
    const Slot *slot = chooseSlot(server, now);
    return slot != nullptr
            && (slot->state == SlotState::Free || tokenWait(server, now) <= cheapTokenWait);
}

/// Whether the link's budget allows a load now.
bool isLinkFree(const SchedulerContext &context, Millis now) noexcept
{
    return context.link == nullptr || linkBytesLeft(*context.link, now) >= context.loadBytes;
}

void chargeLink(const SchedulerContext &context, Millis now) noexcept
{
    if (context.link != nullptr && !takeLinkBytes(*context.link, context.loadBytes, now)) {
        context.link->left = 0;
    }
}

void notePreload(ServerState &server, const AdapterRef &adapter, bool declared, Millis now)
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

OrderLoad startLoad(Slot &slot, const WantedLoad &wanted, const LoadPermit &permit, Millis now)
{
    std::optional<AdapterRef> victim;
    if (slot.state == SlotState::Resident) {
        victim = slot.adapter;
    }
    slot = Slot{SlotState::Loading, wanted.adapter, wanted.hash, victim, permit, now, now, 0};
    return {wanted.adapter, std::move(victim), permit.deadline};
}

void orderLoads(ServerState &server, LoadBudget &budget, const SchedulerContext &context,
                Millis now, std::vector<Action> &actions)
{
    for (const WantedLoad &wanted : wantedLoads(server, now)) {
        Slot *slot = chooseSlot(server, now);
        if (slot == nullptr) {
            return;
        }
        if (!isLinkFree(context, now)) {
            return;
        }
        const auto permit = takeToken(budget, wanted.since, now);
        if (!permit) {
            return;
        }
        chargeLink(context, now);
        server.tokenWait = learn(tokenWait(server, now), now - wanted.since);
        server.tokenWaitAt = now;
        // A victim that is still asked for comes back when the budget has room to spare.
        if (slot->state == SlotState::Resident
            && demandOf(server.demand, slot->hash, now) >= preloadDemand) {
            notePreload(server, slot->adapter, false, now);
        }
        actions.emplace_back(startLoad(*slot, wanted, *permit, now));
    }
}

/// A token that has been ready for a whole interval is not about to be needed.
bool hasIdleToken(const LoadBudget &budget, Millis now)
{
    return budget.asks.empty()
            && std::any_of(budget.tokens.begin(), budget.tokens.end(),
                           [&budget, now](const LoadToken &token) {
                               return now >= token.readyAt + budget.interval
                                       && now >= token.busyUntil;
                           });
}

/// What a preload is worth against the slot's present adapter.
bool isWorthLoading(const ServerState &server, const Preload &preload, const Slot &slot, Millis now)
{
    if (slot.state == SlotState::Free || preload.declared) {
        return true;
    }
    return demandOf(server.demand, preload.hash, now)
            > preloadAdvantage * demandOf(server.demand, slot.hash, now);
}

void orderPreload(ServerState &server, LoadBudget &budget, const SchedulerContext &context,
                  Millis now, std::vector<Action> &actions)
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
        || !isWorthLoading(server, *best, *slot, now) || !isLinkFree(context, now)) {
        return;
    }
    if (const auto permit = takeToken(budget, now, now)) {
        chargeLink(context, now);
        const WantedLoad wanted{best->adapter, best->hash, 0, 0, Millis(), now};
        actions.emplace_back(startLoad(*slot, wanted, *permit, now));
    }
}

Millis batchWait(const ServerState &server) noexcept
{
    const std::size_t ahead = server.grants.size() + server.waiters.size();
    if (ahead < server.limits.batchWidth) {
        return Millis(0);
    }
    const auto over = static_cast<std::int64_t>(ahead - server.limits.batchWidth + 1);
    return server.serviceTime * over / static_cast<std::int64_t>(server.limits.batchWidth);
}

Millis loadWait(const ServerState &server, const LoadBudget &budget, std::uint64_t hash,
                Millis now) noexcept
{
    if (const Slot *slot = findSlot(server, hash)) {
        if (slot->state == SlotState::Resident) {
            return Millis(0);
        }
        const Millis left = slot->changedAt + server.loadTime - now;
        return std::max(left, Millis(0));
    }
    const auto ready = nextTokenReady(budget, now);
    const bool readyNow = ready && *ready <= now;
    const Millis token = readyNow
            ? Millis(0)
            : std::max(ready ? *ready - now : Millis(0), tokenWait(server, now));
    const auto queued = static_cast<std::int64_t>(wantedLoads(server, now).size());
    const auto tokens = static_cast<std::int64_t>(std::max<std::size_t>(budget.tokens.size(), 1));
    return token + budget.interval * queued / tokens + server.loadTime;
}

void restoreVictim(Slot &slot, Millis now)
{
    const AdapterRef victim = *slot.victim;
    slot = Slot{SlotState::Resident, victim, hashOf(victim), std::nullopt, {}, now, now, 0};
}

void noteFailure(ServerState &server, std::uint64_t hash, Millis now)
{
    LoadBackoff &backoff = server.backoffs[hash];
    const std::uint32_t doublings = std::min(backoff.failures, backoffDoublings);
    backoff.until = now + std::min(firstBackoff * (std::int64_t{1} << doublings), longestBackoff);
    ++backoff.failures;
}

void unpin(ServerState &server, std::uint64_t hash)
{
    const auto found = server.pins.find(hash);
    if (found != server.pins.end() && --found->second == 0) {
        server.pins.erase(found);
    }
}

/// Whether a slot's present state is later than a report and must not be changed by it.
bool isNewer(const Slot &slot, const LoadReport &report) noexcept
{
    return slot.state == SlotState::Loading || slot.changedAt >= report.taken;
}

void addReported(ServerState &server, const LoadReport &report, Millis now)
{
    for (const AdapterRef &adapter : report.resident) {
        const std::uint64_t hash = hashOf(adapter);
        const bool isVictim
                = std::any_of(server.slots.begin(), server.slots.end(), [&adapter](const Slot &s) {
                      return s.victim.has_value() && *s.victim == adapter;
                  });
        if (isVictim || findSlot(server, hash) != nullptr) {
            continue;
        }
        const auto free
                = std::find_if(server.slots.begin(), server.slots.end(), [&report](const Slot &s) {
                      return s.state == SlotState::Free && s.changedAt < report.taken;
                  });
        if (free != server.slots.end()) {
            *free = Slot{SlotState::Resident, adapter, hash, std::nullopt, {},
                         report.taken,        now,     0};
        }
    }
}

} // namespace

ServerState makeServerState(const ServerLimits &limits, GrantId firstGrant)
{
    ServerState server;
    server.nextGrant = firstGrant.number();
    server.limits = limits;
    server.slots.resize(limits.adapterless ? 0 : limits.slots);
    return server;
}

void setLimits(ServerState &server, const ServerLimits &limits)
{
    server.limits = limits;
    const std::size_t wanted = limits.adapterless ? 0 : limits.slots;
    while (server.slots.size() > wanted) {
        const auto free = std::find_if(server.slots.begin(), server.slots.end(),
                                       [](const Slot &s) { return s.state == SlotState::Free; });
        if (free == server.slots.end()) {
            return;
        }
        server.slots.erase(free);
    }
    server.slots.resize(std::max(server.slots.size(), wanted));
}

std::optional<Action> admitRequest(ServerState &server, const LoadBudget &budget,
                                   const SchedulerContext &context, PlaceRequest request,
                                   std::uint64_t ticket, Millis now)
{
    if (context.leaving) {
        return Action(RedirectPlace{ticket, server.loadTime});
    }
    if (!context.reachable) {
        return sendAway(request.lastChoice, ticket, server.loadTime);
    }
    const std::uint64_t hash = request.adapterHash;
    const Millis wait = expectedWait(server, budget, hash, now);
    const bool resident = server.limits.adapterless || isResident(server, hash);
    const bool mayLoad = context.right == OwnerRight::Full && !isBackingOff(server, hash, now);
    // The store is shared by all: waiting for a token would be no shorter elsewhere.
    const bool longWait = batchWait(server) > server.loadTime * redirectLoadTimes;
    const bool absent = !resident && findSlot(server, hash) == nullptr;
    const bool noLoad = absent && (!mayLoad || !hasRoom(server) || !isLinkFree(context, now));
    if (!server.limits.adapterless) {
        addDemand(server.demand, hash, now);
    }
    const bool passedOn = server.limits.packed && context.weightPercent > 50 && absent && !noLoad
            && !takesPacked(server, now);
    if (!request.lastChoice && (noLoad || longWait || passedOn)) {
        return Action(RedirectPlace{ticket, wait});
    }
    if (now + wait >= request.deadline) {
        const Millis retry = std::max(now + wait - request.deadline, shortestRetryAfter);
        return Action(RefusePlace{ticket, ErrorCode::DeadlineExceeded, retry});
    }
    const auto queued = std::count_if(server.waiters.begin(), server.waiters.end(),
                                      [&request](const Waiter &waiter) {
                                          return waiter.request.callerClass == request.callerClass;
                                      });
    if (queued >= static_cast<std::ptrdiff_t>(queueLimit(context, request.callerClass))) {
        return Action(
                RefusePlace{ticket, ErrorCode::Overloaded, std::max(wait, shortestRetryAfter)});
    }
    server.waiters.push_back({ticket, std::move(request), now, !resident});
    return std::nullopt;
}

std::vector<Action> schedule(ServerState &server, LoadBudget &budget,
                             const SchedulerContext &context, Millis now)
{
    std::vector<Action> actions;
    refuseLate(server, now, actions);
    redirectStuck(server, context, now, actions);
    if (context.right == OwnerRight::None) {
        return actions;
    }
    givePlaces(server, context, now, actions);
    if (context.right == OwnerRight::Full && server.reported && !context.leaving) {
        orderLoads(server, budget, context, now, actions);
        if (wantedLoads(server, now).empty()) {
            orderPreload(server, budget, context, now, actions);
        }
    }
    return actions;
}

bool releaseGrant(ServerState &server, GrantId grant, Millis now)
{
    const auto found = std::find_if(server.grants.begin(), server.grants.end(),
                                    [grant](const Grant &g) { return g.id == grant; });
    if (found == server.grants.end()) {
        return false;
    }
    unpin(server, found->adapterHash);
    if (Slot *slot = findSlot(server, found->adapterHash)) {
        slot->lastUsed = now;
    }
    server.serviceTime = learn(server.serviceTime, now - found->since);
    server.grants.erase(found);
    return true;
}

void adoptGrant(ServerState &server, Grant grant)
{
    const bool known = std::any_of(server.grants.begin(), server.grants.end(),
                                   [&grant](const Grant &g) { return g.id == grant.id; });
    if (known) {
        return;
    }
    ++server.pins[grant.adapterHash];
    server.grants.push_back(std::move(grant));
}

std::size_t dropGatewayGrants(ServerState &server, const std::string &gateway)
{
    return std::erase_if(server.grants, [&server, &gateway](const Grant &grant) {
        if (grant.gateway != gateway) {
            return false;
        }
        unpin(server, grant.adapterHash);
        return true;
    });
}

bool dropWaiter(ServerState &server, const RequestId &request, const std::string &gateway)
{
    return std::erase_if(server.waiters,
                         [&request, &gateway](const Waiter &waiter) {
                             return waiter.request.request == request
                                     && waiter.request.gateway == gateway;
                         })
            > 0;
}

std::size_t dropRequestGrants(ServerState &server, const RequestId &request,
                              const std::string &gateway)
{
    return std::erase_if(server.grants, [&](const Grant &grant) {
        if (grant.gateway != gateway || grant.request != request) {
            return false;
        }
        unpin(server, grant.adapterHash);
        return true;
    });
}

void wantPreload(ServerState &server, const AdapterRef &adapter, bool declared, Millis now)
{
    notePreload(server, adapter, declared, now);
}

void noteNotLoaded(ServerState &server, std::uint64_t adapterHash, Millis now)
{
    Slot *slot = findSlot(server, adapterHash);
    if (slot != nullptr && slot->state == SlotState::Resident) {
        slot->state = SlotState::Unknown;
        slot->changedAt = now;
    }
}

void finishLoadOrder(ServerState &server, LoadBudget &budget, const AdapterRef &adapter,
                     LoadOutcome outcome, Millis now)
{
    const std::uint64_t hash = hashOf(adapter);
    Slot *slot = findSlot(server, hash);
    if (slot == nullptr || slot->state != SlotState::Loading) {
        return;
    }
    if (outcome != LoadOutcome::Unknown) {
        finishLoad(budget, slot->permit, now);
    }
    if (outcome == LoadOutcome::Loaded) {
        server.loadTime = learn(server.loadTime, now - slot->changedAt);
        server.backoffs.erase(hash);
        slot->state = SlotState::Resident;
        slot->victim.reset();
        slot->changedAt = now;
        return;
    }
    noteFailure(server, hash, now);
    const bool victimKept
            = outcome == LoadOutcome::VictimRunning || outcome == LoadOutcome::NotSent;
    if (victimKept && slot->victim) {
        restoreVictim(*slot, now);
    } else if (outcome == LoadOutcome::Unknown) {
        slot->state = SlotState::Unknown;
        slot->changedAt = now;
    } else {
        *slot = Slot{};
        slot->changedAt = now;
    }
}

bool applyLoadReport(ServerState &server, LoadBudget &budget, const LoadReport &report, Millis now)
{
    const bool restarted = server.reported && server.engineStart != report.start;
    if (restarted) {
        for (Slot &slot : server.slots) {
            if (slot.state == SlotState::Loading) {
                finishLoad(budget, slot.permit, now);
            }
            slot = Slot{};
        }
    }
    server.reported = true;
    server.engineStart = report.start;
    for (Slot &slot : server.slots) {
        if (slot.state == SlotState::Free || isNewer(slot, report)) {
            continue;
        }
        const auto found = std::find(report.resident.begin(), report.resident.end(), slot.adapter);
        if (found == report.resident.end()) {
            slot = Slot{};
            slot.changedAt = report.taken;
            continue;
        }
        slot.state = SlotState::Resident;
        slot.victim.reset();
        const auto running = report.running.find(slot.hash);
        slot.running = running == report.running.end() ? 0 : running->second;
    }
    addReported(server, report, now);
    return restarted;
}

bool isResident(const ServerState &server, std::uint64_t adapterHash) noexcept
{
    const Slot *slot = findSlot(server, adapterHash);
    return slot != nullptr && slot->state == SlotState::Resident;
}

std::optional<Millis> needsToken(const ServerState &server, const SchedulerContext &context,
                                 Millis now) noexcept
{
    if (context.right != OwnerRight::Full || context.leaving || !server.reported) {
        return std::nullopt;
    }
    const std::vector<WantedLoad> wanted = wantedLoads(server, now);
    if (wanted.empty() || !hasRoom(server) || !isLinkFree(context, now)) {
        return std::nullopt;
    }
    return std::min_element(wanted.begin(), wanted.end(),
                            [](const auto &a, const auto &b) { return a.since < b.since; })
            ->since;
}

Millis expectedWait(const ServerState &server, const LoadBudget &budget, std::uint64_t adapterHash,
                    Millis now) noexcept
{
    const Millis load
            = server.limits.adapterless ? Millis(0) : loadWait(server, budget, adapterHash, now);
    return std::max(load, batchWait(server));
}

} // namespace balsamport
