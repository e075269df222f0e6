#include "adapter_loads.h"
#include "engine_estimates.h"

#include <balsamport/core/hash.h>
#include <balsamport/core/rendezvous.h>

#include <algorithm>

namespace balsamport {

namespace {

/// Interval between queries whether a load has ended. A load from the host cache takes about as
/// long.
constexpr Millis loadPollInterval{30};
/// Part of the expected load time after which the engine is polled first. Loads get much faster
/// than the measured time as soon as fewer run in the fleet; with a first poll at the expected time
/// they would be measured as equally long.
constexpr double firstPollShare = 0.6;
/// Interval between queries whether a base model has been loaded.
constexpr Millis modelPollInterval{400};
/// Time without commands after which an earlier owner's unload isn't waiting for requests any more.
constexpr Millis maxUnloadTime{12'000};
/// Adapters assumed in host memory while the size of the engine's host cache isn't known.
constexpr std::size_t maxHostCached = 256;

/// @param provenSince only adapters that the engine wasn't unloading at some time since then; -1
/// for all
/// @return the least recently used adapter without granted or waiting requests
std::optional<AdapterId> evictionCandidate(const EngineScheduler &state,
                                           Millis provenSince = Millis(-1))
{
    const AdapterId *candidate = nullptr;
    Millis oldest;
    // Of equally old ones, the owners of other engines evict others, so that all stay in place
    // somewhere.
    const auto score = [&state](const AdapterId &adapter) {
        return rendezvousScore(hash64(adapter.str()), hash64(state.self.str()));
    };
    for (const auto &[adapter, slot] : state.slots) {
        if (slot.phase != AdapterSlotPhase::Ready || slot.activeGrants != 0
            || hasWaitingRequest(state, adapter) || slot.provenAt < provenSince) {
            continue;
        }
        if (candidate == nullptr || slot.lastUsedAt < oldest
            || (slot.lastUsedAt == oldest && score(adapter) > score(*candidate))) {
            candidate = &adapter;
            oldest = slot.lastUsedAt;
        }
    }
    if (candidate == nullptr) {
        return std::nullopt;
    }
    return *candidate;
}

/// @return unused slots and slots whose adapter can be evicted
std::size_t availableSlots(const EngineScheduler &state, const SchedulerLimits &limits)
{
    const std::size_t unused = limits.engine.adapterSlots > state.slots.size()
            ? limits.engine.adapterSlots - state.slots.size()
            : 0;
    const auto idle
            = std::count_if(state.slots.begin(), state.slots.end(), [&state](const auto &entry) {
                  return entry.second.phase == AdapterSlotPhase::Ready
                          && entry.second.activeGrants == 0
                          && !hasWaitingRequest(state, entry.first);
              });
    return unused + static_cast<std::size_t>(idle);
}

bool unloadInProgress(const EngineScheduler &state)
{
    return std::any_of(state.slots.begin(), state.slots.end(), [](const auto &entry) {
        return entry.second.phase == AdapterSlotPhase::Unloading;
    });
}

std::uint32_t loadsInProgress(const EngineScheduler &state)
{
    return static_cast<std::uint32_t>(
            std::count_if(state.slots.begin(), state.slots.end(), [](const auto &entry) {
                return entry.second.phase == AdapterSlotPhase::Loading;
            }));
}

/// @return the adapter's position among those assumed in host memory, 0 for the newest
std::optional<std::size_t> hostCacheDepth(const EngineScheduler &state, const AdapterId &adapter)
{
    const auto found = std::find(state.hostCached.begin(), state.hostCached.end(), adapter);
    if (found == state.hostCached.end()) {
        return std::nullopt;
    }
    return static_cast<std::size_t>(found - state.hostCached.begin());
}

void recordHostCached(EngineScheduler &state, const SchedulerLimits &limits,
                      const AdapterId &adapter)
{
    std::erase(state.hostCached, adapter);
    state.hostCached.push_front(adapter);
    const std::size_t bound = limits.profile.hostCachedAdapters == 0
            ? maxHostCached
            : limits.profile.hostCachedAdapters;
    while (state.hostCached.size() > bound) {
        state.hostCached.pop_back();
    }
}

} // namespace

Millis expectedSlotWait(const EngineScheduler &state, const SchedulerLimits &limits,
                        const EngineGrantRequest &request)
{
    std::set<AdapterId> ahead;
    for (const EngineGrantRequest &other : state.waiting) {
        if (!other.adapter.empty() && other.adapter != request.adapter
            && state.slots.count(other.adapter) == 0) {
            ahead.insert(other.adapter);
        }
    }
    const std::size_t available = availableSlots(state, limits);
    if (available > ahead.size()) {
        return Millis(0);
    }
    return state.slotFreeInterval * static_cast<std::int64_t>(ahead.size() - available + 1);
}

std::optional<EngineCommand> modelCommand(EngineScheduler &state, Millis now)
{
    if (state.modelLoaded || now < state.modelPollAt) {
        return std::nullopt;
    }
    state.modelPollAt = now + modelPollInterval;
    return EngineCommand{CommandKind::LoadModel, state.base, AdapterId(), AdapterVersion(),
                         state.modelRequested};
}

bool awaitsCompletion(const EngineScheduler &state)
{
    return std::any_of(state.slots.begin(), state.slots.end(), [](const auto &entry) {
        return entry.second.phase != AdapterSlotPhase::Ready;
    });
}

std::optional<EngineCommand> maintenanceCommand(const EngineScheduler &state,
                                                const AdapterVersions &versions, bool mayRepeat,
                                                Millis now)
{
    for (const auto &[adapter, slot] : state.slots) {
        const AdapterVersion required = requiredVersion(state, adapter, versions);
        const bool pollDue = mayRepeat && slot.pollAt <= now;
        if (slot.phase == AdapterSlotPhase::Loading && pollDue) {
            return EngineCommand{CommandKind::LoadAdapter, state.base, adapter, slot.version, true};
        }
        if (slot.phase == AdapterSlotPhase::Unloading && pollDue) {
            return EngineCommand{CommandKind::UnloadAdapter, state.base, adapter, AdapterVersion(),
                                 true};
        }
        if (slot.phase == AdapterSlotPhase::Ready && slot.activeGrants == 0
            && slot.version < required && hasWaitingRequest(state, adapter)) {
            return EngineCommand{CommandKind::LoadAdapter, state.base, adapter, required, false};
        }
    }
    return std::nullopt;
}

std::optional<EngineCommand> loadCommand(const EngineScheduler &state,
                                         const SchedulerLimits &limits,
                                         const AdapterVersions &versions)
{
    for (const EngineGrantRequest &request : state.waiting) {
        if (request.adapter.empty() || state.slots.count(request.adapter) != 0) {
            continue;
        }
        if (loadsInProgress(state) >= limits.maxConcurrentLoads) {
            return std::nullopt;
        }
        if (state.slots.size() < limits.engine.adapterSlots) {
            return EngineCommand{CommandKind::LoadAdapter, state.base, request.adapter,
                                 requiredVersion(state, request.adapter, versions), false};
        }
        // An engine refuses a second unload while one waits for its requests to end.
        const std::optional<AdapterId> candidate
                = unloadInProgress(state) ? std::nullopt : evictionCandidate(state);
        if (!candidate) {
            return std::nullopt;
        }
        return EngineCommand{CommandKind::UnloadAdapter, state.base, *candidate, AdapterVersion(),
                             false};
    }
    return std::nullopt;
}

std::optional<EngineCommand> countedCommand(const EngineScheduler &state,
                                            const EngineCommand &wanted, Millis now)
{
    // Reports show loads in progress. Without requests, no unload waits.
    if (wanted.kind != CommandKind::UnloadAdapter || state.idle) {
        return wanted;
    }
    // The count would show an unload that was commanded since countKnownSince.
    const Millis provenSince = std::max(state.countKnownSince, Millis(0));
    EngineCommand command = wanted;
    const AdapterSlot &slot = state.slots.at(wanted.adapter);
    if (slot.provenAt >= provenSince) {
        return command;
    }
    if (now >= std::max(state.countKnownSince, slot.unloadSentAt) + maxUnloadTime) {
        command.mayBeUncounted = true;
        return command;
    }
    const std::optional<AdapterId> proven = evictionCandidate(state, provenSince);
    if (!proven) {
        return std::nullopt;
    }
    command.adapter = *proven;
    return command;
}

void beginCommand(EngineScheduler &state, const SchedulerLimits &limits,
                  const EngineCommand &command, Millis now)
{
    state.commandInProgress = command;
    if (command.kind == CommandKind::LoadModel) {
        return;
    }
    AdapterSlot &slot = state.slots[command.adapter];
    if (command.kind == CommandKind::UnloadAdapter) {
        slot.phase = AdapterSlotPhase::Unloading;
        slot.unloadAccepted = slot.unloadAccepted && command.repeated;
        slot.provenAt = Millis(-1); // Its response may be lost.
        slot.unloadSentAt = command.repeated ? slot.unloadSentAt : now;
        slot.pollAt = now + loadPollInterval;
        return;
    }
    if (slot.phase != AdapterSlotPhase::Loading || slot.loadStartedAt == Millis(0)) {
        slot.phase = AdapterSlotPhase::Loading;
        slot.loadStartedAt = now;
        slot.lastUsedAt = now;
        slot.version = command.version;
        slot.cachedParts.clear();
        slot.polls = 0;
        slot.loadStartKnown = !command.repeated;
        slot.pollAt = now + scaled(loadTime(state, limits, command.adapter), firstPollShare);
    }
    slot.polls += command.repeated ? 1 : 0;
}

std::optional<FinishedLoad> applyCommandOutcome(EngineScheduler &state,
                                                const SchedulerLimits &limits,
                                                CommandOutcome outcome, Millis now)
{
    if (!state.commandInProgress) {
        return std::nullopt;
    }
    const EngineCommand command = *state.commandInProgress;
    state.commandInProgress.reset();
    if (outcome == CommandOutcome::Conflict || outcome == CommandOutcome::Fenced
        || outcome == CommandOutcome::Refused || outcome == CommandOutcome::Unknown) {
        state.resyncNeeded = true;
        return std::nullopt;
    }
    if (command.kind == CommandKind::LoadModel) {
        state.modelLoaded = outcome == CommandOutcome::AlreadyHolds;
        state.modelRequested = outcome == CommandOutcome::Accepted;
        state.modelPollAt = now + modelPollInterval;
        return std::nullopt;
    }
    const auto slot = state.slots.find(command.adapter);
    if (slot == state.slots.end()) {
        return std::nullopt;
    }
    if (command.kind == CommandKind::UnloadAdapter) {
        if (outcome == CommandOutcome::AlreadyHolds) {
            recordHostCached(state, limits, command.adapter);
            state.slots.erase(slot);
        } else {
            slot->second.unloadAccepted = true;
            slot->second.pollAt = now + loadPollInterval;
        }
        return std::nullopt;
    }
    slot->second.provenAt = now;
    if (outcome != CommandOutcome::AlreadyHolds) {
        if (slot->second.pollAt <= now) {
            slot->second.pollAt = now + loadPollInterval;
        }
        return std::nullopt;
    }
    const FinishedLoad load{now - slot->second.loadStartedAt, slot->second.polls <= 1,
                            hostCacheDepth(state, command.adapter)};
    slot->second.phase = AdapterSlotPhase::Ready;
    recordHostCached(state, limits, command.adapter);
    if (!command.repeated || !slot->second.loadStartKnown) {
        return std::nullopt; // Already loaded, or the start of the load isn't known.
    }
    return load;
}

void forgetCommandsInProgress(EngineScheduler &state) noexcept
{
    for (auto &[adapter, slot] : state.slots) {
        slot.unloadAccepted = false;
    }
}

void applyReport(EngineScheduler &state, const EngineReport &report, Millis now)
{
    state.synced = true;
    state.resyncNeeded = false;
    state.idle = report.running == 0U;
    state.modelRequested = report.modelBusy;
    if (state.modelLoaded != report.modelLoaded) {
        state.modelLoaded = report.modelLoaded;
        state.modelPollAt = report.modelBusy ? now + modelPollInterval : now;
    }
    std::erase_if(state.slots, [&report](const auto &entry) {
        return report.adapters.count(entry.first) == 0 && report.pending.count(entry.first) == 0;
    });
    for (const auto &[adapter, version] : report.adapters) {
        AdapterSlot &slot = state.slots[adapter];
        const bool unloading = slot.phase == AdapterSlotPhase::Unloading && slot.unloadAccepted;
        slot.phase = unloading ? AdapterSlotPhase::Unloading : AdapterSlotPhase::Ready;
        slot.version = version;
    }
    for (const AdapterId &adapter : report.pending) {
        AdapterSlot &slot = state.slots[adapter];
        if (slot.phase == AdapterSlotPhase::Ready) {
            slot.phase = AdapterSlotPhase::Loading;
        }
        slot.loadStartedAt = now;
        slot.loadStartKnown = false;
        slot.pollAt = now + loadPollInterval;
    }
}

void recordAdapterNotReady(EngineScheduler &state, const GrantKey &key, Millis now)
{
    const auto found = state.running.find(key);
    if (found == state.running.end()) {
        return;
    }
    const AdapterId adapter = found->second.adapter;
    recordGrantEnded(state, key, now);
    const auto slot = state.slots.find(adapter);
    if (slot != state.slots.end() && slot->second.phase == AdapterSlotPhase::Ready) {
        slot->second.phase = AdapterSlotPhase::Loading;
        slot->second.loadStartedAt = now;
        slot->second.loadStartKnown = false;
        slot->second.pollAt = now + loadPollInterval;
    }
    state.resyncNeeded = true;
}

} // namespace balsamport
