#include "grant_issuing.h"

#include "slot_access.h"

#include <algorithm>
#include <utility>

namespace balsamport {

namespace {

constexpr std::int64_t switchServiceTimes = 2;
constexpr std::int32_t gatherOverlapPercent = 25;

std::uint32_t classWeight(const SchedulerContext &context, const CallerClassId &callerClass)
{
    if (context.classWeights == nullptr) {
        return 1;
    }
    const auto found = context.classWeights->find(callerClass);
    return found == context.classWeights->end() ? 1 : std::max(found->second, 1U);
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

/// Whether an idle engine waits a little, so that more requests start together. It does so only
/// where another request is likely to come in that time, and no deadline suffers. A caller that
/// sends one request after another is no reason: its next one waits for this one.
bool isGathering(const ServerState &server, const Waiter &waiter, const SchedulerContext &context,
                 Millis now)
{
    const Millis gather = context.gatherTime * context.weightPercent / 100;
    const bool spare = waiter.request.deadline - now > server.serviceTime * 2;
    const bool likely
            = server.arrivalGap <= gather && server.overlapPercent >= gatherOverlapPercent;
    return spare && likely && now - waiter.since < gather;
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
    return !server.grants.empty() || !isGathering(server, waiter, context, now);
}

/// An engine that does not mix adapters stops taking the running one when another waits long.
bool mustSwitch(const ServerState &server, const Waiter &waiter, Millis now)
{
    return !server.limits.mixesAdapters && !server.grants.empty()
            && server.grants.front().adapterHash != waiter.request.adapterHash
            && isResident(server, waiter.request.adapterHash)
            && now - waiter.since > server.serviceTime * switchServiceTimes;
}

IssueGrant issueGrant(ServerState &server, const SchedulerContext &context, std::size_t index,
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
    const Millis stall = waiter.adapterAbsentOnArrival ? now - waiter.since : Millis(0);
    return {waiter.ticket, id, stall, waiter.request.alone};
}

} // namespace

std::uint32_t queueLimit(const SchedulerContext &context, const CallerClassId &callerClass)
{
    if (context.classQueueLimits == nullptr) {
        return context.queueLimit;
    }
    const auto found = context.classQueueLimits->find(callerClass);
    return found == context.classQueueLimits->end() ? context.queueLimit : found->second;
}

/// To another backend server where there is one left, or the final answer.
GrantSchedulerAction redirectOrRefuse(bool lastChoice, std::uint64_t ticket, Millis wait)
{
    if (lastChoice) {
        return RefuseAdmission{ticket, ErrorCode::NoBackendServer, shortestRetryAfter};
    }
    return RedirectAdmission{ticket, wait};
}

void issueGrants(ServerState &server, const SchedulerContext &context, Millis now,
                 std::vector<GrantSchedulerAction> &actions)
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
                actions.emplace_back(issueGrant(server, context, index, now));
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

/// Sends waiters elsewhere that this server will not serve soon.
void redirectUnservable(ServerState &server, const SchedulerContext &context, Millis now,
                        std::vector<GrantSchedulerAction> &actions)
{
    std::erase_if(server.waiters, [&](const Waiter &waiter) {
        const std::uint64_t hash = waiter.request.adapterHash;
        const bool failed = !waiter.request.lastChoice && isBackingOff(server, hash, now)
                && findSlot(server, hash) == nullptr;
        if (!context.reachable) {
            actions.push_back(
                    redirectOrRefuse(waiter.request.lastChoice, waiter.ticket, server.loadTime));
            return true;
        }
        if (!context.draining && !failed) {
            return false;
        }
        actions.emplace_back(RedirectAdmission{waiter.ticket, server.loadTime});
        return true;
    });
}

void refuseExpired(ServerState &server, Millis now, std::vector<GrantSchedulerAction> &actions)
{
    std::erase_if(server.waiters, [now, &actions](const Waiter &waiter) {
        if (now < waiter.request.deadline) {
            return false;
        }
        actions.emplace_back(
                RefuseAdmission{waiter.ticket, ErrorCode::DeadlineExceeded, shortestRetryAfter});
        return true;
    });
}

} // namespace balsamport
