#include <balsamport/edge/engine_scheduler.h>

#include "scheduler/adapter_loads.h"
#include "scheduler/engine_estimates.h"
#include "scheduler/prefill_scheduling.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace balsamport {

namespace {

/// Ids of cached prompt parts that are kept for one adapter. Beyond it the lowest id is dropped,
/// which is as good a choice as any.
constexpr std::size_t maxCachedParts = 64;
/// Share of the engine's key-value memory that granted requests may fill.
constexpr double maxKvMemoryShare = 0.92;
/// Expected wait for an adapter slot or for an engine's recovery where no estimate exists.
constexpr Millis defaultSlotWait{500};
/// Longest sample of the interval between freed slots: longer ones show that no slot was needed,
/// not that none became free.
constexpr Millis maxSlotFreeInterval{1'000};
/// Expected wait where the rate limit leaves this owner no grants at all.
constexpr Millis maxPermitWait{10'000};
/// Differences of fair shares below this number of tokens, some requests, don't go before
/// deadlines.
constexpr double fairTagStep = 10'000;
/// Less urgent requests leave adapter slots free for this long after an urgent one had to wait for
/// a slot: about as long as a long stream occupies one.
constexpr Millis urgentWaitMemory{2'000};
/// Adapter slots that less urgent requests leave free then.
constexpr std::size_t slotsForUrgent = 2;
/// A grant that hasn't ended this long after its request's deadline was lost with its daemon.
constexpr Millis lostGrantGrace{3'000};
/// Number of adapters with a request rate beyond which rates older than requestRateLifetime are
/// removed.
constexpr std::size_t maxRequestRates = 512;
constexpr Millis requestRateLifetime{20'000};
/// Shortest Retry-After, so that callers don't come back into the same queue.
constexpr Millis minRetryAfter{200};

/// @return the longest expected wait before a request is redirected to another preferred engine.
/// That engine holds the adapter and a query to its owner takes a few milliseconds, so a redirect
/// pays off at much less than the time of a load.
Millis maxWaitWithOtherPreferred(const SchedulerLimits &limits)
{
    return limits.profile.storeLoadTime / 3;
}

/// @return the longest expected wait before a request is redirected to an engine that has to load
/// the adapter.
/// @param held the adapter is in a slot or in the host cache of this engine
Millis maxWaitBeforeRedirect(const SchedulerLimits &limits, bool held)
{
    // Where the adapter is held here, a further load also costs other requests as much time again.
    return held ? limits.profile.storeLoadTime * 2 : limits.profile.storeLoadTime;
}

double demandFor(const EngineScheduler &state, const AdapterId &adapter, Millis now)
{
    const auto found = state.requestRates.find(adapter);
    return found == state.requestRates.end() ? 0.0 : rateAt(found->second, now);
}

void countDemand(EngineScheduler &state, const EngineGrantRequest &request, Millis now)
{
    if (request.adapter.empty() || request.lastChoice) {
        return; // The last choice is an engine that was queried before: counted already.
    }
    if (state.requestRates.size() > maxRequestRates) {
        std::erase_if(state.requestRates, [now](const auto &entry) {
            return now - entry.second.at > requestRateLifetime;
        });
    }
    countRequest(state.requestRates[request.adapter], now);
}

std::pair<std::int32_t, std::int32_t> priorityOf(const EngineGrantRequest &request)
{
    return {request.priority, request.routePriority};
}

/// Orders waiting requests: those that can still meet their objective first, then by priority, then
/// by the fair shares of their organisations, then by the earlier timeout.
bool isScheduledBefore(const EngineGrantRequest &a, const EngineGrantRequest &b)
{
    if (a.pastObjective != b.pastObjective) {
        return b.pastObjective;
    }
    if (priorityOf(a) != priorityOf(b)) {
        return priorityOf(a) < priorityOf(b);
    }
    if (a.fairTag != b.fairTag) {
        return a.fairTag < b.fairTag;
    }
    if (a.timeoutAt != b.timeoutAt) {
        return a.timeoutAt < b.timeoutAt;
    }
    return a.key < b.key;
}

double fairCost(const EngineGrantRequest &request)
{
    return static_cast<double>(totalTokens(request)) + request.outputTokens;
}

std::uint64_t kvTokensInUse(const EngineScheduler &state)
{
    std::uint64_t tokens = 0;
    for (const auto &[key, request] : state.running) {
        tokens += request.kvTokens;
    }
    return tokens;
}

bool hasCapacity(const EngineScheduler &state, const SchedulerLimits &limits,
                 const EngineGrantRequest &request)
{
    if (state.running.size() >= limits.engine.batchSlots) {
        return false;
    }
    const auto limit = static_cast<std::uint64_t>(static_cast<double>(limits.engine.kvTokens)
                                                  * maxKvMemoryShare);
    return state.running.empty()
            || kvTokensInUse(state) + totalTokens(request) + request.outputTokens <= limit;
}

/// @return true where the engine has no rate limit, or its limit allows a grant now
bool hasPermit(EngineScheduler &state, Millis now)
{
    if (!state.permitRate) {
        return true;
    }
    fillPermits(state.permits, *state.permitRate, now);
    return state.permits.permits >= 1;
}

/// @return the time until the rate limit allows a grant after those of other requests
Millis permitWait(const EngineScheduler &state, std::size_t others, Millis now)
{
    if (!state.permitRate) {
        return Millis(0);
    }
    const std::optional<Millis> at = permitAvailableAt(state.permits, *state.permitRate, others);
    return at ? std::max(*at - now, Millis(0)) : maxPermitWait;
}

/// @return the number of waiting requests that go before a request
std::size_t requestsBefore(const EngineScheduler &state, const EngineGrantRequest &request)
{
    return static_cast<std::size_t>(std::count_if(state.waiting.begin(), state.waiting.end(),
                                                  [&request](const EngineGrantRequest &other) {
                                                      return other.key != request.key
                                                              && isScheduledBefore(other, request);
                                                  }));
}

/// @return true where the engine's rate limit leaves the request no grant in time. One that is past
/// its objective must be the next: all others go before it, also those that are still to come.
bool exceedsRateLimit(const EngineScheduler &state, const EngineGrantRequest &request, Millis now)
{
    if (!state.permitRate) {
        return false;
    }
    const std::size_t before = requestsBefore(state, request);
    return request.pastObjective ? before > 0
                                 : now + permitWait(state, before, now) > request.timeoutAt;
}

bool isAdapterReady(const EngineScheduler &state, const AdapterId &adapter,
                    const AdapterVersions &versions)
{
    if (adapter.empty()) {
        return true;
    }
    const auto slot = state.slots.find(adapter);
    return slot != state.slots.end() && slot->second.phase == AdapterSlotPhase::Ready
            && slot->second.version >= requiredVersion(state, adapter, versions);
}

GrantAction grant(EngineScheduler &state, const SchedulerLimits &limits,
                  const AdapterVersions &versions, const EngineGrantRequest &request, Millis now)
{
    GrantAction action{request.key,
                       requiredVersion(state, request.adapter, versions),
                       uncachedTokens(state, request),
                       demandFor(state, request.adapter, now),
                       request.request,
                       request.waits};
    const std::vector<Millis> chunks = prefillChunks(state, action.prefillTokens, limits);
    const Millis prefillQueueTime = std::max(state.prefillUntil - now, Millis(0));
    state.prefillUntil = now + prefillQueueTime;
    for (const Millis chunk : chunks) {
        state.prefillUntil += chunk + engineDecodeStepTime(state, limits);
        state.recentChunks.push_back(PrefillChunk{state.prefillUntil, chunk});
        if (state.recentChunks.size() > wholeDecodeStepsPerEvent(limits.profile)) {
            state.recentChunks.pop_front();
        }
    }
    if (request.organisation != 0) {
        recordGrant(state.shares, request.organisation, fairCost(request));
    }
    addWork(state.grantedPrefill,
            static_cast<double>(enginePrefillTime(state, action.prefillTokens, limits).count()),
            now);
    const bool isolated = unstartedGrants(state) == 0;
    for (auto &[key, other] : state.running) {
        other.isolated = false;
    }
    RunningRequest running;
    running.adapter = request.adapter;
    running.deadlineAt = request.deadlineAt;
    running.kvTokens = std::uint64_t{totalTokens(request)} + request.outputTokens;
    running.maxTokenGap = request.maxTokenGap;
    running.priority = request.priority;
    running.routePriority = request.routePriority;
    running.prefillTokens = action.prefillTokens;
    running.prefillQueueTime = prefillQueueTime;
    running.isolated = isolated;
    running.grantedAt = now;
    state.running.emplace(request.key, running);
    if (state.permitRate) {
        tryTakePermit(state.permits, *state.permitRate, now);
    }
    if (!request.adapter.empty()) {
        AdapterSlot &slot = state.slots[request.adapter];
        ++slot.activeGrants;
        slot.lastUsedAt = now;
        for (const PromptPart &part : request.parts) {
            if (slot.cachedParts.size() >= maxCachedParts) {
                slot.cachedParts.erase(slot.cachedParts.begin());
            }
            slot.cachedParts.insert(part.id);
        }
    }
    return action;
}

/// Keeps a request waiting although its first chunk will miss the objective: a late response is
/// worth more to its caller than none. Requests that can still meet their objective go first.
void keepWaitingPastObjective(EngineGrantRequest &request, const SchedulerLimits &limits,
                              Millis now)
{
    const Millis left = std::max(request.maxWaitUntil - now, Millis(0));
    request.pastObjective = true;
    request.timeoutAt = now + left / limits.pastObjectiveWaitDivisor;
}

/// Refuses requests whose timeout has passed. A request whose objective passes first gets the
/// longer timeout of keepWaitingPastObjective().
void refuseOverdue(EngineScheduler &state, const SchedulerLimits &limits, Millis now,
                   std::vector<SchedulerAction> &actions)
{
    std::erase_if(state.waiting, [&](EngineGrantRequest &request) {
        if (request.timeoutAt <= now && !request.pastObjective) {
            keepWaitingPastObjective(request, limits, now);
        }
        const bool timedOut = request.timeoutAt <= now;
        if (timedOut) {
            actions.emplace_back(RefuseAction{request.key, defaultSlotWait,
                                              demandFor(state, request.adapter, now)});
        }
        return timedOut;
    });
}

/// @return true where a request must not occupy another adapter slot, because a more urgent one
/// had to wait for a slot recently
bool mustLeaveSlot(const EngineScheduler &state, const SchedulerLimits &limits,
                   const EngineGrantRequest &request, Millis now)
{
    const bool urgentWaited
            = state.urgentWaitAt >= Millis(0) && now - state.urgentWaitAt < urgentWaitMemory;
    if (request.organisation == 0 || request.adapter.empty() || !urgentWaited
        || priorityOf(request) <= state.urgentPriority) {
        return false;
    }
    std::set<AdapterId> occupied;
    for (const auto &[key, running] : state.running) {
        if (std::pair(running.priority, running.routePriority) > state.urgentPriority) {
            occupied.insert(running.adapter);
        }
    }
    return occupied.count(request.adapter) == 0
            && occupied.size() + slotsForUrgent >= limits.engine.adapterSlots;
}

/// Applies admission control to a new request.
/// @return a redirect or a refusal where the request would wait too long here; nothing where it may
/// wait
std::optional<SchedulerAction> admissionAction(const EngineScheduler &state,
                                               const SchedulerLimits &limits,
                                               EngineGrantRequest &request, Millis now)
{
    Millis wait = expectedWait(state, limits, request, now);
    if (!request.lastChoice && mustLeaveSlot(state, limits, request, now)) {
        return RedirectAction{request.key, std::max(wait, limits.profile.storeLoadTime),
                              demandFor(state, request.adapter, now)};
    }
    const bool held
            = state.slots.count(request.adapter) != 0 || isHostCached(state, request.adapter);
    const Millis maxWait = request.nextIsPreferred ? maxWaitWithOtherPreferred(limits)
                                                   : maxWaitBeforeRedirect(limits, held);
    if (!request.lastChoice && wait > maxWait) {
        const bool rateLimited = permitWait(state, requestsBefore(state, request), now) > maxWait;
        return RedirectAction{request.key, wait, demandFor(state, request.adapter, now),
                              rateLimited};
    }
    if (exceedsRateLimit(state, request, now)) {
        return RefuseAction{request.key, std::max(wait, minRetryAfter),
                            demandFor(state, request.adapter, now), true};
    }
    if (now + wait > request.timeoutAt && !request.pastObjective) {
        keepWaitingPastObjective(request, limits, now);
        wait = expectedWait(state, limits, request, now); // Now behind others past their objective.
    }
    if (now + wait > request.timeoutAt) {
        return RefuseAction{request.key, std::max(wait, minRetryAfter),
                            demandFor(state, request.adapter, now)};
    }
    return std::nullopt;
}

/// Returns all waiting requests of an engine that doesn't respond or requested a backoff, so that
/// they can fail over: the end of the outage isn't known.
void rejectAllWaiting(EngineScheduler &state, std::vector<SchedulerAction> &actions)
{
    for (const EngineGrantRequest &request : state.waiting) {
        actions.emplace_back(EngineDownAction{request.key});
    }
    state.waiting.clear();
}

/// Redirects or refuses new requests that would wait too long here, and admits the others.
void admitNewRequests(EngineScheduler &state, const SchedulerLimits &limits, Millis now,
                      std::vector<SchedulerAction> &actions)
{
    std::vector<EngineGrantRequest> admitted;
    std::vector<EngineGrantRequest> arrivals;
    for (EngineGrantRequest &request : state.waiting) {
        // Under a rate limit the wait grows by a whole interval with each request that goes first,
        // so that a request admitted earlier may be better off elsewhere.
        const bool decided = request.admitted && !state.permitRate;
        (decided ? admitted : arrivals).push_back(std::move(request));
    }
    state.waiting = std::move(admitted);
    for (EngineGrantRequest &request : arrivals) {
        const std::optional<SchedulerAction> action = admissionAction(state, limits, request, now);
        if (action) {
            actions.push_back(*action);
        } else {
            request.admitted = true;
            state.waiting.push_back(std::move(request));
        }
    }
}

void grantReadyRequests(EngineScheduler &state, const SchedulerLimits &limits,
                        const AdapterVersions &versions, Millis now,
                        std::vector<SchedulerAction> &actions)
{
    for (auto request = state.waiting.begin(); request != state.waiting.end();) {
        if (!canSchedulePrefill(state, limits, now) || !hasPermit(state, now)) {
            return;
        }
        if (!isAdapterReady(state, request->adapter, versions)
            || !hasCapacity(state, limits, *request)) {
            ++request;
            continue;
        }
        const std::vector<Millis> chunks
                = prefillChunks(state, uncachedTokens(state, *request), limits);
        const Millis start = earliestPrefillStart(state, limits, chunks, now);
        if (start > now) {
            // Nothing else is granted before, or shorter prompts would overtake this one
            // repeatedly.
            state.nextPrefillAt = start;
            return;
        }
        actions.emplace_back(grant(state, limits, versions, *request, now));
        request = state.waiting.erase(request);
    }
}

/// Sets the fair tags of waiting requests: that of the organisation, and further ones for each
/// further request of it.
void updateFairTags(EngineScheduler &state)
{
    for (EngineGrantRequest &request : state.waiting) {
        request.fairTag = 0;
    }
    std::sort(state.waiting.begin(), state.waiting.end(), isScheduledBefore);
    std::map<std::uint64_t, double> queued;
    for (EngineGrantRequest &request : state.waiting) {
        if (request.organisation != 0) {
            double &before = queued[request.organisation];
            const double tag = startTag(state.shares, request.organisation) + before;
            request.fairTag = std::floor(tag / fairTagStep) * fairTagStep;
            before += fairCost(request);
        }
    }
}

/// Remembers the most urgent request of an organisation that waits for its adapter.
void recordUrgentWait(EngineScheduler &state, Millis now)
{
    const bool isRecent
            = state.urgentWaitAt >= Millis(0) && now - state.urgentWaitAt < urgentWaitMemory;
    for (const EngineGrantRequest &request : state.waiting) {
        const bool waits = request.organisation != 0 && !request.pastObjective
                && !request.adapter.empty() && state.slots.count(request.adapter) == 0;
        if (waits && (!isRecent || priorityOf(request) <= state.urgentPriority)) {
            state.urgentPriority = priorityOf(request);
            state.urgentWaitAt = now;
            return; // The queue is sorted: no further one is more urgent.
        }
    }
}

/// Adds the time since the last decision to the wait for each request's current blocker.
void accumulateWaits(EngineScheduler &state, Millis now)
{
    for (EngineGrantRequest &request : state.waiting) {
        GrantWaits &waits = request.waits;
        if (waits.since < Millis(0)) {
            continue;
        }
        Millis &total = waits.blocker == GrantBlocker::Adapter ? waits.adapter
                : waits.blocker == GrantBlocker::Capacity      ? waits.capacity
                : waits.blocker == GrantBlocker::RateLimit     ? waits.rateLimit
                                                               : waits.prefill;
        total += now - waits.since;
        waits.since = now;
    }
}

void updateBlockers(EngineScheduler &state, const SchedulerLimits &limits,
                    const AdapterVersions &versions, Millis now)
{
    for (EngineGrantRequest &request : state.waiting) {
        const bool ready = state.synced && state.modelLoaded
                && isAdapterReady(state, request.adapter, versions);
        request.waits.blocker = !ready                 ? GrantBlocker::Adapter
                : !hasCapacity(state, limits, request) ? GrantBlocker::Capacity
                : !hasPermit(state, now)               ? GrantBlocker::RateLimit
                                                       : GrantBlocker::Prefill;
        request.waits.since = now;
    }
}

void recordSlotFreed(EngineScheduler &state, Millis now)
{
    constexpr std::int64_t weight = 5; // The newest sample counts for a fifth.
    const Millis sample = std::min(now - state.slotFreedAt, maxSlotFreeInterval);
    state.slotFreeInterval = (state.slotFreeInterval * (weight - 1) + sample) / weight;
    state.slotFreedAt = now;
}

} // namespace

void submitGrantRequest(EngineScheduler &state, const SchedulerLimits &limits,
                        EngineGrantRequest request, Millis now)
{
    const Millis latestStart
            = request.objectiveAt - firstTokenTime(state, uncachedTokens(state, request), limits);
    countDemand(state, request, now);
    request.timeoutAt = latestStart;
    if (latestStart <= now) {
        keepWaitingPastObjective(request, limits, now);
    }
    state.waiting.push_back(std::move(request));
}

std::vector<SchedulerAction> nextSchedulerActions(EngineScheduler &state,
                                                  const SchedulerLimits &limits,
                                                  const AdapterVersions &versions, Millis now)
{
    std::vector<SchedulerAction> actions;
    std::erase_if(state.running, [&](const auto &entry) {
        const bool lost = now - entry.second.deadlineAt > lostGrantGrace;
        const auto slot = state.slots.find(entry.second.adapter);
        if (lost && slot != state.slots.end() && slot->second.activeGrants > 0) {
            --slot->second.activeGrants;
        }
        return lost;
    });
    if (state.unreachable || now < state.backoffUntil) {
        rejectAllWaiting(state, actions);
        return actions;
    }
    refuseOverdue(state, limits, now, actions);
    if (state.suspected) {
        return actions;
    }
    accumulateWaits(state, now);
    admitNewRequests(state, limits, now, actions);
    updateFairTags(state);
    std::sort(state.waiting.begin(), state.waiting.end(), isScheduledBefore);
    recordUrgentWait(state, now);
    if (state.synced && state.modelLoaded) {
        grantReadyRequests(state, limits, versions, now, actions);
    }
    updateBlockers(state, limits, versions, now);
    // A lease may be held from an earlier term, before this one knows what the engine holds.
    if (!state.commandsAllowed || !state.synced || state.commandInProgress || state.resyncNeeded) {
        return actions;
    }
    const bool mayRepeat = now < state.repeatsUntil; // No other daemon can send a command.
    std::optional<EngineCommand> command = modelCommand(state, now);
    if (!command && state.modelLoaded) {
        command = maintenanceCommand(state, versions, mayRepeat, now);
        if (!command) {
            command = loadCommand(state, limits, versions);
        }
    }
    if (command && !command->repeated && !mayRepeat) {
        command = countedCommand(state, *command, now);
        if (!command) {
            actions.emplace_back(ReportAction{});
            return actions;
        }
    }
    if (command && now < (command->repeated ? state.repeatsUntil : state.commandsUntil)) {
        beginCommand(state, limits, *command, now);
        actions.emplace_back(*command);
    } else if (command && !command->repeated) {
        actions.emplace_back(ReserveAction{});
    } else if (command || (!mayRepeat && awaitsCompletion(state))) {
        actions.emplace_back(ReportAction{});
    }
    return actions;
}

std::optional<Millis> nextSchedulerCheck(const EngineScheduler &state,
                                         const SchedulerLimits &limits)
{
    std::optional<Millis> next;
    const auto consider = [&next](Millis at) {
        if (!next || at < *next) {
            next = at;
        }
    };
    for (const auto &[adapter, slot] : state.slots) {
        // Without repeated commands the next report shows whether a load has ended.
        if (slot.phase != AdapterSlotPhase::Ready && slot.pollAt < state.repeatsUntil) {
            consider(slot.pollAt);
        }
    }
    if (!state.modelLoaded && state.commandsAllowed) {
        consider(state.modelPollAt);
    }
    for (const EngineGrantRequest &request : state.waiting) {
        consider(request.timeoutAt);
    }
    if (!state.waiting.empty()) {
        Millis grantAt = std::max(state.prefillUntil - limits.prefillLead, state.nextPrefillAt);
        if (state.permitRate) {
            grantAt = std::max(grantAt,
                               permitAvailableAt(state.permits, *state.permitRate, 0)
                                       .value_or(grantAt + maxPermitWait));
        }
        consider(grantAt);
    }
    return next;
}

Millis expectedWait(const EngineScheduler &state, const SchedulerLimits &limits,
                    const EngineGrantRequest &request, Millis now)
{
    Millis wait = std::max(state.prefillUntil - now, Millis(0));
    for (const EngineGrantRequest &other : state.waiting) {
        if (other.key != request.key && isScheduledBefore(other, request)) {
            wait += enginePrefillTime(state, uncachedTokens(state, other), limits);
        }
    }
    wait = std::max(wait, permitWait(state, requestsBefore(state, request), now));
    if (!state.modelLoaded || !state.synced) {
        return std::max(wait, defaultSlotWait * 2);
    }
    if (request.adapter.empty()) {
        return wait;
    }
    const auto slot = state.slots.find(request.adapter);
    if (slot != state.slots.end()) {
        const bool loading = slot->second.phase != AdapterSlotPhase::Ready;
        const Millis loadedAt
                = std::max(slot->second.pollAt,
                           slot->second.loadStartedAt + loadTime(state, limits, request.adapter));
        return loading ? std::max(wait, loadedAt - now) : wait;
    }
    Millis untilCommands;
    if (!state.commandsAllowed) {
        untilCommands = state.commandsFrom < Millis(0)
                ? defaultSlotWait * 4
                : std::max(state.commandsFrom - now, Millis(0));
    }
    return std::max(wait,
                    untilCommands + loadTime(state, limits, request.adapter)
                            + expectedSlotWait(state, limits, request));
}

double engineLoad(const EngineScheduler &state, const SchedulerLimits &limits, Millis now)
{
    Millis queued = std::max(state.prefillUntil - now, Millis(0));
    for (const EngineGrantRequest &request : state.waiting) {
        queued += enginePrefillTime(state, uncachedTokens(state, request), limits);
    }
    constexpr double millisPerSecond = 1000.0;
    return (rateAt(state.grantedPrefill, now) + static_cast<double>(queued.count()))
            / millisPerSecond;
}

std::optional<PrefillSample> recordGrantStarted(EngineScheduler &state,
                                                const SchedulerLimits &limits, const GrantKey &key,
                                                Millis timeToFirstChunk, Millis now)
{
    const auto found = state.running.find(key);
    if (found == state.running.end() || found->second.started) {
        return std::nullopt;
    }
    RunningRequest &request = found->second;
    request.started = true;
    request.startedAt = now;
    const auto slot = state.slots.find(request.adapter);
    if (slot != state.slots.end()) {
        slot->second.provenAt = std::max(slot->second.provenAt, request.grantedAt);
    }
    const Millis prefill = enginePrefillTime(state, request.prefillTokens, limits);
    for (auto &[other, running] : state.running) {
        if (running.started && running.startedAt < request.grantedAt) {
            running.longestPrefill = std::max(running.longestPrefill, prefill);
        }
    }
    if (unstartedGrants(state) == 0) {
        // All prefills are complete, possibly earlier than estimated.
        state.prefillUntil = std::min(state.prefillUntil, now);
    }
    if (timeToFirstChunk <= Millis(0) || request.prefillTokens == 0) {
        return std::nullopt;
    }
    const Millis decodeTime = scaled(eventInterval(limits.profile), state.speed.slowdown);
    const PrefillSample sample{
            request.prefillTokens,
            std::max(timeToFirstChunk - decodeTime - request.prefillQueueTime, Millis(1)),
            request.isolated};
    recordSpeed(state.speed, limits.profile, sample);
    return sample;
}

Millis longestOverlappingPrefill(const EngineScheduler &state, const GrantKey &key)
{
    const auto found = state.running.find(key);
    return found == state.running.end() ? Millis(0) : found->second.longestPrefill;
}

void recordGrantEnded(EngineScheduler &state, const GrantKey &key, Millis now)
{
    std::erase_if(state.waiting,
                  [&key](const EngineGrantRequest &request) { return request.key == key; });
    const auto found = state.running.find(key);
    if (found == state.running.end()) {
        return;
    }
    const auto slot = state.slots.find(found->second.adapter);
    if (slot != state.slots.end()) {
        slot->second.activeGrants -= slot->second.activeGrants > 0 ? 1 : 0;
        slot->second.lastUsedAt = now;
        if (slot->second.activeGrants == 0) {
            recordSlotFreed(state, now);
        }
    }
    state.running.erase(found);
}

bool setPermitRate(EngineScheduler &state, std::optional<double> perSecond, Millis now)
{
    if (state.permitRate == perSecond) {
        return false;
    }
    if (!state.permitRate) {
        startIssuing(state.permits, now);
    } else {
        fillPermits(state.permits, *state.permitRate, now);
    }
    state.permitRate = perSecond;
    return true;
}

void restartPermits(EngineScheduler &state, Millis from) noexcept
{
    startIssuing(state.permits, from);
}

void applyReservation(EngineScheduler &state, Millis commandsUntil, Millis now) noexcept
{
    state.commandsUntil = commandsUntil;
    state.modelPollAt = std::min(state.modelPollAt, now);
}

void markSuspected(EngineScheduler &state) noexcept
{
    state.suspected = true;
}

void setReachable(EngineScheduler &state, bool reachable) noexcept
{
    state.suspected = false;
    state.unreachable = !reachable;
}

void dropGrantsOf(EngineScheduler &state, const VmId &vm, std::uint64_t incarnation, Millis now)
{
    std::vector<GrantKey> dropped;
    const auto consider = [&](const GrantKey &key) {
        if (key.vm == vm && key.incarnation != incarnation) {
            dropped.push_back(key);
        }
    };
    for (const auto &[key, request] : state.running) {
        consider(key);
    }
    for (const EngineGrantRequest &request : state.waiting) {
        consider(request.key);
    }
    for (const GrantKey &key : dropped) {
        recordGrantEnded(state, key, now);
    }
}

} // namespace balsamport
