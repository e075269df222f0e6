#include "grant_issuing.h"

#include "slot_access.h"

#include <algorithm>
#include <utility>

namespace balsamport {

namespace {

/// Service times after which a waiter for another adapter makes an engine switch to it.
constexpr std::int64_t switchServiceTimes = 2;
/// Share of overlapping requests below which an idle engine does not wait for a fuller batch.
constexpr std::int32_t minGatherOverlapPercent = 25;

std::uint32_t classWeight(const SchedulerContext &context, const CallerClassId &callerClass)
{
    if (context.classWeights == nullptr) {
        return 1;
    }
    const auto found = context.classWeights->find(callerClass);
    return found == context.classWeights->end() ? 1 : std::max(found->second, 1U);
}

double receivedService(const ServerState &server, const CallerClassId &callerClass)
{
    const auto found = server.classService.find(callerClass);
    return found == server.classService.end() ? 0 : found->second;
}

void chargeClass(ServerState &server, const SchedulerContext &context, const CallerClassId &id)
{
    // A class that was idle starts at most 1 below the service of another waiting class, so that it
    // gets no credit for the time in which it sent no requests.
    double floor = receivedService(server, id);
    for (const Waiter &waiter : server.waiters) {
        if (waiter.request.callerClass != id) {
            floor = std::max(floor, receivedService(server, waiter.request.callerClass) - 1);
            break;
        }
    }
    server.classService[id] = floor + 1.0 / classWeight(context, id);
}

bool hasPrecedence(const ServerState &server, const Waiter &a, const Waiter &b)
{
    if (a.request.priority != b.request.priority) {
        return a.request.priority > b.request.priority;
    }
    if (a.request.callerClass != b.request.callerClass) {
        const double serviceA = receivedService(server, a.request.callerClass);
        const double serviceB = receivedService(server, b.request.callerClass);
        if (serviceA != serviceB) {
            return serviceA < serviceB;
        }
    }
    if (a.request.deadline != b.request.deadline) {
        return a.request.deadline < b.request.deadline;
    }
    return a.ticket < b.ticket;
}

/// Returns whether an idle engine waits up to the gather time, so that more requests start in one
/// batch. It does so only if another request is likely to arrive in that time and the deadline
/// allows it. A caller that sends its requests one by one is no reason to wait, since its next
/// request comes only after this one has finished.
bool isGathering(const ServerState &server, const Waiter &waiter, const SchedulerContext &context,
                 Millis now)
{
    const Millis gather = context.gatherTime * context.weightPercent / 100;
    const bool hasSlack = waiter.request.deadline - now > server.serviceTime * 2;
    const bool arrivalIsLikely
            = server.arrivalGap <= gather && server.overlapPercent >= minGatherOverlapPercent;
    return hasSlack && arrivalIsLikely && now - waiter.since < gather;
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

/// Returns whether an engine that does not mix adapters must stop starting requests on the running
/// adapter, because a waiter for another resident adapter has waited too long.
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

GrantSchedulerAction redirectOrRefuse(bool lastChoice, std::uint64_t ticket, Millis wait)
{
    if (lastChoice) {
        return RefuseAdmission{ticket, ErrorCode::NoBackendServer, minRetryAfter};
    }
    return RedirectAdmission{ticket, wait};
}

void issueGrants(ServerState &server, const SchedulerContext &context, Millis now,
                 std::vector<GrantSchedulerAction> &actions)
{
    bool issued = true;
    while (issued && !server.waiters.empty() && server.grants.size() < server.limits.batchWidth) {
        issued = false;
        std::vector<std::size_t> order(server.waiters.size());
        for (std::size_t i = 0; i < order.size(); ++i) {
            order[i] = i;
        }
        std::sort(order.begin(), order.end(), [&server](std::size_t a, std::size_t b) {
            return hasPrecedence(server, server.waiters[a], server.waiters[b]);
        });
        for (const std::size_t index : order) {
            const Waiter &waiter = server.waiters[index];
            if (mayRun(server, waiter, context, now)) {
                actions.emplace_back(issueGrant(server, context, index, now));
                issued = true;
                break;
            }
            const bool waitsForEmptyBatch = waiter.request.alone
                    && (server.limits.adapterless
                        || isResident(server, waiter.request.adapterHash));
            if (waitsForEmptyBatch || mustSwitch(server, waiter, now)) {
                break;
            }
        }
    }
}

void redirectUnservable(ServerState &server, const SchedulerContext &context, Millis now,
                        std::vector<GrantSchedulerAction> &actions)
{
    std::erase_if(server.waiters, [&](const Waiter &waiter) {
        const std::uint64_t hash = waiter.request.adapterHash;
        const bool loadFailed = !waiter.request.lastChoice && isBackingOff(server, hash, now)
                && findSlot(server, hash) == nullptr;
        if (!context.reachable) {
            actions.push_back(
                    redirectOrRefuse(waiter.request.lastChoice, waiter.ticket, server.loadTime));
            return true;
        }
        if (!context.draining && !loadFailed) {
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
                RefuseAdmission{waiter.ticket, ErrorCode::DeadlineExceeded, minRetryAfter});
        return true;
    });
}

} // namespace balsamport
