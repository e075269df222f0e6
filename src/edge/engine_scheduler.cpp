#include <balsamport/edge/engine_scheduler.h>

#include "scheduler/adapter_loads.h"
#include "scheduler/engine_estimates.h"
#include "scheduler/prefill_scheduling.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace balsamport {

namespace {

/// Prompt parts remembered for one adapter; the oldest go by value, which is as good as any.
constexpr std::size_t maxCachedParts = 64;
/// Share of the key-value memory that granted requests may fill.
constexpr double kvShare = 0.92;
/// Wait that is expected where every place is in use.
constexpr Millis placeWait{500};
/// Longer pauses between releases say that no place was wanted, not that none was given.
constexpr Millis longestRelease{1'000};
/// A grant that has not ended this long after its deadline was lost with its daemon.
constexpr Millis lostGrantTime{3'000};
/// Adapters whose demand is remembered before those not asked for lately are forgotten.
constexpr std::size_t maxRates = 512;
constexpr Millis rateMemory{20'000};
/// Shortest Retry-After, so that callers do not come back into the same queue.
constexpr Millis leastRetryAfter{200};

/// Longer expected waits send a request to another home: asking it takes some ms, and it holds the
/// adapter, so much less than a load pays.
Millis otherHomeWait(const SchedulerLimits &limits)
{
    return limits.profile.storeLoadTime / 3;
}

/// Longer expected waits send a request to another engine, which has to load the adapter.
Millis elsewhereWait(const SchedulerLimits &limits, bool held)
{
    // The same load again is taken from others where the adapter is held here.
    return held ? limits.profile.storeLoadTime * 2 : limits.profile.storeLoadTime;
}

double demandFor(const EngineScheduler &state, const AdapterId &adapter, Millis now)
{
    const auto found = state.rates.find(adapter);
    return found == state.rates.end() ? 0.0 : rateAt(found->second, now);
}

void countDemand(EngineScheduler &state, const EngineGrantRequest &request, Millis now)
{
    if (request.adapter.empty() || request.lastChoice) {
        return; // The last choice is an engine that was asked before.
    }
    if (state.rates.size() > maxRates) {
        std::erase_if(state.rates,
                      [now](const auto &entry) { return now - entry.second.at > rateMemory; });
    }
    countRequest(state.rates[request.adapter], now);
}

/// Who can still be in time, then by priority, then who has to give up first.
bool goesBefore(const EngineGrantRequest &a, const EngineGrantRequest &b)
{
    if (a.late != b.late) {
        return b.late;
    }
    if (a.priority != b.priority) {
        return a.priority < b.priority;
    }
    if (a.timeoutAt != b.timeoutAt) {
        return a.timeoutAt < b.timeoutAt;
    }
    return a.key < b.key;
}

std::uint64_t kvTokensInUse(const EngineScheduler &state)
{
    std::uint64_t tokens = 0;
    for (const auto &[key, request] : state.running) {
        tokens += request.kvTokens;
    }
    return tokens;
}

bool hasRoom(const EngineScheduler &state, const SchedulerLimits &limits,
             const EngineGrantRequest &request)
{
    if (state.running.size() >= limits.engine.batchSlots) {
        return false;
    }
    const auto limit
            = static_cast<std::uint64_t>(static_cast<double>(limits.engine.kvTokens) * kvShare);
    return state.running.empty()
            || kvTokensInUse(state) + totalTokens(request) + request.outputTokens <= limit;
}

bool isReadyFor(const EngineScheduler &state, const AdapterId &adapter,
                const AdapterVersions &versions)
{
    if (adapter.empty()) {
        return true;
    }
    const auto place = state.places.find(adapter);
    return place != state.places.end() && place->second.phase == AdapterSlotPhase::Ready
            && place->second.version >= wantedVersion(state, adapter, versions);
}

GrantAction grant(EngineScheduler &state, const SchedulerLimits &limits,
                  const AdapterVersions &versions, const EngineGrantRequest &request, Millis now)
{
    GrantAction action{request.key,
                       wantedVersion(state, request.adapter, versions),
                       uncachedTokens(state, request),
                       demandFor(state, request.adapter, now),
                       request.request,
                       request.waits};
    const std::vector<Millis> pieces = prefillChunks(state, action.promptTokens, limits);
    const Millis queued = std::max(state.prefillUntil - now, Millis(0));
    state.prefillUntil = now + queued;
    for (const Millis piece : pieces) {
        state.prefillUntil += piece + stepTime(state, limits);
        state.recentChunks.push_back(PrefillChunk{state.prefillUntil, piece});
        if (state.recentChunks.size() > wholeDecodeStepsPerEvent(limits.profile)) {
            state.recentChunks.pop_front();
        }
    }
    const bool alone = unstarted(state) == 0;
    for (auto &[key, other] : state.running) {
        other.alone = false;
    }
    RunningRequest running;
    running.adapter = request.adapter;
    running.deadlineAt = request.deadlineAt;
    running.kvTokens = std::uint64_t{totalTokens(request)} + request.outputTokens;
    running.maxTokenGap = request.maxTokenGap;
    running.promptTokens = action.promptTokens;
    running.queued = queued;
    running.alone = alone;
    running.grantedAt = now;
    state.running.emplace(request.key, running);
    if (!request.adapter.empty()) {
        AdapterSlot &place = state.places[request.adapter];
        ++place.users;
        place.usedAt = now;
        for (const PromptPart &part : request.parts) {
            if (place.cachedParts.size() >= maxCachedParts) {
                place.cachedParts.erase(place.cachedParts.begin());
            }
            place.cachedParts.insert(part.id);
        }
    }
    return action;
}

/// Lets a request wait although its first piece will be late: a late answer is worth more to its
/// caller than none. Those who can still be in time go first.
void waitOnLate(EngineGrantRequest &request, const SchedulerLimits &limits, Millis now)
{
    const Millis left = std::max(request.maxWaitUntil - now, Millis(0));
    request.late = true;
    request.timeoutAt = now + left / limits.latePatience;
}

/// Refuses those who have waited for as long as it made sense.
void dropOverdue(EngineScheduler &state, const SchedulerLimits &limits, Millis now,
                 std::vector<SchedulerAction> &actions)
{
    std::erase_if(state.waiting, [&](EngineGrantRequest &request) {
        if (request.timeoutAt <= now && !request.late) {
            waitOnLate(request, limits, now);
        }
        const bool over = request.timeoutAt <= now;
        if (over) {
            actions.emplace_back(
                    RefuseAction{request.key, placeWait, demandFor(state, request.adapter, now)});
        }
        return over;
    });
}

/// Decides whether a new request would wait too long here.
std::optional<SchedulerAction> sendAwayAction(const EngineScheduler &state,
                                              const SchedulerLimits &limits,
                                              EngineGrantRequest &request, Millis now)
{
    Millis wait = expectedWait(state, limits, request, now);
    const bool held = state.places.count(request.adapter) != 0 || isWarm(state, request.adapter);
    const Millis most
            = request.nextIsPreferred ? otherHomeWait(limits) : elsewhereWait(limits, held);
    if (!request.lastChoice && wait > most) {
        return RedirectAction{request.key, wait, demandFor(state, request.adapter, now)};
    }
    if (now + wait > request.timeoutAt && !request.late) {
        waitOnLate(request, limits, now);
        wait = expectedWait(state, limits, request, now); // Behind others that are late as well.
    }
    if (now + wait > request.timeoutAt) {
        return RefuseAction{request.key, std::max(wait, leastRetryAfter),
                            demandFor(state, request.adapter, now)};
    }
    return std::nullopt;
}

/// Sends away all who wait for an engine that does not answer: nobody knows until when.
void sendAllAway(EngineScheduler &state, std::vector<SchedulerAction> &actions)
{
    for (const EngineGrantRequest &request : state.waiting) {
        actions.emplace_back(EngineDown{request.key});
    }
    state.waiting.clear();
}

/// Sends away new requests that would wait too long here.
void sendAway(EngineScheduler &state, const SchedulerLimits &limits, Millis now,
              std::vector<SchedulerAction> &actions)
{
    std::vector<EngineGrantRequest> kept;
    std::vector<EngineGrantRequest> fresh;
    for (EngineGrantRequest &request : state.waiting) {
        (request.examined ? kept : fresh).push_back(std::move(request));
    }
    state.waiting = std::move(kept);
    for (EngineGrantRequest &request : fresh) {
        const std::optional<SchedulerAction> action = sendAwayAction(state, limits, request, now);
        if (action) {
            actions.push_back(*action);
        } else {
            request.examined = true;
            state.waiting.push_back(std::move(request));
        }
    }
}

void grantPlaces(EngineScheduler &state, const SchedulerLimits &limits,
                 const AdapterVersions &versions, Millis now, std::vector<SchedulerAction> &actions)
{
    for (auto request = state.waiting.begin(); request != state.waiting.end();) {
        if (!canSchedulePrefill(state, limits, now)) {
            return;
        }
        if (!isReadyFor(state, request->adapter, versions) || !hasRoom(state, limits, *request)) {
            ++request;
            continue;
        }
        const std::vector<Millis> pieces
                = prefillChunks(state, uncachedTokens(state, *request), limits);
        const Millis turn = earliestPrefillStart(state, limits, pieces, now);
        if (turn > now) {
            // Shorter prompts must not pass it again and again.
            state.nextPrefillAt = turn;
            return;
        }
        actions.emplace_back(grant(state, limits, versions, *request, now));
        request = state.waiting.erase(request);
    }
}

/// Adds the time since the last decision to what each waiting request waited for.
void addWaits(EngineScheduler &state, Millis now)
{
    for (EngineGrantRequest &request : state.waiting) {
        GrantWaits &waits = request.waits;
        if (waits.since < Millis(0)) {
            continue;
        }
        Millis &total = waits.blocker == GrantBlocker::Adapter ? waits.adapter
                : waits.blocker == GrantBlocker::Room          ? waits.room
                                                               : waits.turn;
        total += now - waits.since;
        waits.since = now;
    }
}

void noteBlockers(EngineScheduler &state, const SchedulerLimits &limits,
                  const AdapterVersions &versions, Millis now)
{
    for (EngineGrantRequest &request : state.waiting) {
        const bool ready
                = state.synced && state.modelLoaded && isReadyFor(state, request.adapter, versions);
        request.waits.blocker = !ready             ? GrantBlocker::Adapter
                : !hasRoom(state, limits, request) ? GrantBlocker::Room
                                                   : GrantBlocker::Turn;
        request.waits.since = now;
    }
}

void noteRelease(EngineScheduler &state, Millis now)
{
    constexpr std::int64_t weight = 5; // One part in five for the newest.
    const Millis sample = std::min(now - state.releasedAt, longestRelease);
    state.releaseInterval = (state.releaseInterval * (weight - 1) + sample) / weight;
    state.releasedAt = now;
}

} // namespace

void submitGrantRequest(EngineScheduler &state, const SchedulerLimits &limits,
                        EngineGrantRequest request, Millis now)
{
    const Millis lastUseful
            = request.objectiveAt - firstPieceTime(state, uncachedTokens(state, request), limits);
    countDemand(state, request, now);
    request.timeoutAt = lastUseful;
    if (lastUseful <= now) {
        waitOnLate(request, limits, now);
    }
    state.waiting.push_back(std::move(request));
}

std::vector<SchedulerAction> nextSchedulerActions(EngineScheduler &state,
                                                  const SchedulerLimits &limits,
                                                  const AdapterVersions &versions, Millis now)
{
    std::vector<SchedulerAction> actions;
    std::erase_if(state.running, [&](const auto &entry) {
        const bool lost = now - entry.second.deadlineAt > lostGrantTime;
        const auto place = state.places.find(entry.second.adapter);
        if (lost && place != state.places.end() && place->second.users > 0) {
            --place->second.users;
        }
        return lost;
    });
    if (state.unreachable || now < state.backoffUntil) {
        sendAllAway(state, actions);
        return actions;
    }
    dropOverdue(state, limits, now, actions);
    if (state.suspected) {
        return actions;
    }
    addWaits(state, now);
    sendAway(state, limits, now, actions);
    std::sort(state.waiting.begin(), state.waiting.end(), goesBefore);
    if (state.synced && state.modelLoaded) {
        grantPlaces(state, limits, versions, now, actions);
    }
    noteBlockers(state, limits, versions, now);
    if (!state.commandsAllowed || state.commandInProgress || state.resyncWanted) {
        return actions;
    }
    std::optional<EngineCommand> command = modelCommand(state, now);
    if (!command && state.modelLoaded) {
        command = maintenanceCommand(state, versions, now);
        if (!command) {
            command = loadCommand(state, limits, versions);
        }
    }
    if (command) {
        beginCommand(state, limits, *command, now);
        actions.emplace_back(*command);
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
    for (const auto &[adapter, place] : state.places) {
        if (place.phase != AdapterSlotPhase::Ready) {
            consider(place.checkAt);
        }
    }
    if (!state.modelLoaded && state.commandsAllowed) {
        consider(state.modelCheckAt);
    }
    for (const EngineGrantRequest &request : state.waiting) {
        consider(request.timeoutAt);
    }
    if (!state.waiting.empty()) {
        consider(std::max(state.prefillUntil - limits.prefillAhead, state.nextPrefillAt));
    }
    return next;
}

Millis expectedWait(const EngineScheduler &state, const SchedulerLimits &limits,
                    const EngineGrantRequest &request, Millis now)
{
    Millis wait = std::max(state.prefillUntil - now, Millis(0));
    for (const EngineGrantRequest &other : state.waiting) {
        if (other.key != request.key && goesBefore(other, request)) {
            wait += prefillTime(state, uncachedTokens(state, other), limits);
        }
    }
    if (!state.modelLoaded || !state.synced) {
        return std::max(wait, placeWait * 2);
    }
    if (request.adapter.empty()) {
        return wait;
    }
    const auto place = state.places.find(request.adapter);
    if (place != state.places.end()) {
        const bool loading = place->second.phase != AdapterSlotPhase::Ready;
        const Millis loadedAt
                = std::max(place->second.checkAt,
                           place->second.loadStartedAt + loadTime(state, limits, request.adapter));
        return loading ? std::max(wait, loadedAt - now) : wait;
    }
    Millis untilCommands;
    if (!state.commandsAllowed) {
        untilCommands = state.commandsFrom < Millis(0)
                ? placeWait * 4
                : std::max(state.commandsFrom - now, Millis(0));
    }
    return std::max(wait,
                    untilCommands + loadTime(state, limits, request.adapter)
                            + placeWaitFor(state, limits, request));
}

std::optional<PrefillSample> recordGrantStarted(EngineScheduler &state,
                                                const SchedulerLimits &limits, const GrantKey &key,
                                                Millis firstPiece, Millis now)
{
    const auto found = state.running.find(key);
    if (found == state.running.end() || found->second.started) {
        return std::nullopt;
    }
    RunningRequest &request = found->second;
    request.started = true;
    request.startedAt = now;
    const Millis reading = prefillTime(state, request.promptTokens, limits);
    for (auto &[other, running] : state.running) {
        if (running.started && running.startedAt < request.grantedAt) {
            running.longestPrefill = std::max(running.longestPrefill, reading);
        }
    }
    if (unstarted(state) == 0) {
        // All prompts have been read, maybe faster than was reckoned.
        state.prefillUntil = std::min(state.prefillUntil, now);
    }
    if (firstPiece <= Millis(0) || request.promptTokens == 0) {
        return std::nullopt;
    }
    const Millis steps = scaled(eventInterval(limits.profile), state.pace.slowdown);
    const PrefillSample sample{request.promptTokens,
                               std::max(firstPiece - steps - request.queued, Millis(1)),
                               request.alone};
    recordSpeed(state.pace, limits.profile, sample);
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
    const auto place = state.places.find(found->second.adapter);
    if (place != state.places.end()) {
        place->second.users -= place->second.users > 0 ? 1 : 0;
        place->second.usedAt = now;
        if (place->second.users == 0) {
            noteRelease(state, now);
        }
    }
    state.running.erase(found);
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
