#include <balsamport/policy/grant_scheduler.h>

#include "grant_issuing.h"
#include "load_scheduling.h"
#include "slot_access.h"

#include <algorithm>
#include <utility>

namespace balsamport {

namespace {

/// Load times beyond which the wait for the batch redirects a request.
constexpr std::int64_t redirectLoadTimes = 2;
constexpr Millis maxArrivalGap{1'000};
constexpr std::int32_t overlapSampleDivisor = 8; ///< A sample has a weight of 1/8.

void recordArrival(ServerState &server, Millis now) noexcept
{
    const Millis gap = std::clamp(now - server.lastArrival, Millis(0), maxArrivalGap);
    server.arrivalGap = movingAverage(server.arrivalGap, gap);
    server.lastArrival = now;
    const bool overlaps = !server.grants.empty() || !server.waiters.empty();
    server.overlapPercent += ((overlaps ? 100 : 0) - server.overlapPercent) / overlapSampleDivisor;
}

Millis batchWait(const ServerState &server) noexcept
{
    const std::size_t ahead = server.grants.size() + server.waiters.size();
    if (ahead < server.limits.batchWidth) {
        return Millis(0);
    }
    const auto excess = static_cast<std::int64_t>(ahead - server.limits.batchWidth + 1);
    return server.serviceTime * excess / static_cast<std::int64_t>(server.limits.batchWidth);
}

Millis loadWait(const ServerState &server, const LoadBudget &budget, std::uint64_t hash,
                Millis now) noexcept
{
    if (const Slot *slot = findSlot(server, hash)) {
        if (slot->state == SlotState::Resident) {
            return Millis(0);
        }
        const Millis remaining = slot->changedAt + server.loadTime - now;
        return std::max(remaining, Millis(0));
    }
    const auto ready = nextTokenReady(budget, now);
    const bool readyNow = ready && *ready <= now;
    const Millis tokenDelay = readyNow
            ? Millis(0)
            : std::max(ready ? *ready - now : Millis(0), tokenWait(server, now));
    const auto queued = static_cast<std::int64_t>(wantedLoads(server, now).size());
    const auto tokens = static_cast<std::int64_t>(std::max<std::size_t>(budget.tokens.size(), 1));
    return tokenDelay + budget.interval * queued / tokens + server.loadTime;
}

void unpin(ServerState &server, std::uint64_t hash)
{
    const auto found = server.pins.find(hash);
    if (found != server.pins.end() && --found->second == 0) {
        server.pins.erase(found);
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

std::optional<GrantSchedulerAction> admitRequest(ServerState &server, const LoadBudget &budget,
                                                 const SchedulerContext &context,
                                                 AdmissionRequest request, std::uint64_t ticket,
                                                 Millis now)
{
    if (context.draining) {
        return GrantSchedulerAction(RedirectAdmission{ticket, server.loadTime});
    }
    if (!context.reachable) {
        return redirectOrRefuse(request.lastChoice, ticket, server.loadTime);
    }
    const std::uint64_t hash = request.adapterHash;
    const Millis wait = expectedWait(server, budget, hash, now);
    const bool resident = server.limits.adapterless || isResident(server, hash);
    const bool mayLoad
            = context.authority == OwnerAuthority::Full && !isBackingOff(server, hash, now);
    // All engines share the weight store, so a wait for a token would be no shorter at another
    // server.
    const bool longWait = batchWait(server) > server.loadTime * redirectLoadTimes;
    const bool isAbsent = !resident && findSlot(server, hash) == nullptr;
    const bool cannotLoad
            = isAbsent && (!mayLoad || !hasUsableSlot(server) || !isLinkAvailable(context, now));
    recordArrival(server, now);
    if (!server.limits.adapterless) {
        addDemand(server.demand, hash, now);
    }
    const bool rejectsPackedLoad = server.limits.packed && context.weightPercent > 50 && isAbsent
            && !cannotLoad && !acceptsPackedLoad(server, now);
    if (!request.lastChoice && (cannotLoad || longWait || rejectsPackedLoad)) {
        return GrantSchedulerAction(RedirectAdmission{ticket, wait});
    }
    if (now + wait >= request.deadline) {
        const Millis retry = std::max(now + wait - request.deadline, minRetryAfter);
        return GrantSchedulerAction(RefuseAdmission{ticket, ErrorCode::DeadlineExceeded, retry});
    }
    const auto queued = std::count_if(server.waiters.begin(), server.waiters.end(),
                                      [&request](const Waiter &waiter) {
                                          return waiter.request.callerClass == request.callerClass;
                                      });
    if (queued >= static_cast<std::ptrdiff_t>(queueLimit(context, request.callerClass))) {
        return GrantSchedulerAction(
                RefuseAdmission{ticket, ErrorCode::Overloaded, std::max(wait, minRetryAfter)});
    }
    server.waiters.push_back({ticket, std::move(request), now, !resident});
    return std::nullopt;
}

std::vector<GrantSchedulerAction> schedule(ServerState &server, LoadBudget &budget,
                                           const SchedulerContext &context, Millis now)
{
    std::vector<GrantSchedulerAction> actions;
    refuseExpired(server, now, actions);
    redirectUnservable(server, context, now, actions);
    if (context.authority == OwnerAuthority::None) {
        return actions;
    }
    issueGrants(server, context, now, actions);
    if (context.authority == OwnerAuthority::Full && server.reported && !context.draining) {
        scheduleLoads(server, budget, context, now, actions);
        if (wantedLoads(server, now).empty()) {
            schedulePreload(server, budget, context, now, actions);
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
    server.serviceTime = movingAverage(server.serviceTime, now - found->since);
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

void requestPreload(ServerState &server, const AdapterRef &adapter, bool declared, Millis now)
{
    addPreload(server, adapter, declared, now);
}

bool isResident(const ServerState &server, std::uint64_t adapterHash) noexcept
{
    const Slot *slot = findSlot(server, adapterHash);
    return slot != nullptr && slot->state == SlotState::Resident;
}

std::optional<Millis> waitingForTokenSince(const ServerState &server,
                                           const SchedulerContext &context, Millis now) noexcept
{
    if (context.authority != OwnerAuthority::Full || context.draining || !server.reported) {
        return std::nullopt;
    }
    const std::vector<WantedLoad> wanted = wantedLoads(server, now);
    if (wanted.empty() || !hasUsableSlot(server) || !isLinkAvailable(context, now)) {
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
