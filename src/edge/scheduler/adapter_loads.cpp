#include "adapter_loads.h"
#include "engine_estimates.h"

#include <algorithm>

namespace balsamport {

namespace {

/// Between questions whether a load has ended. A warm load takes about as long.
constexpr Millis loadPollTime{30};
/// Part of the expected time of a load after which the engine is asked first. Loads take much less
/// than was learnt as soon as fewer run in the fleet; asked only then, they would seem as long.
constexpr double firstLookShare = 0.6;
/// Between questions whether a base model has been loaded.
constexpr Millis modelPollTime{400};
/// Adapters remembered as held lately while nobody knows how many an engine keeps.
constexpr std::size_t mostWarm = 256;

/// The adapter that was used longest ago among those that nobody uses or waits for.
std::optional<AdapterId> chooseVictim(const EngineScheduler &state)
{
    const AdapterId *victim = nullptr;
    Millis oldest;
    for (const auto &[adapter, place] : state.places) {
        if (place.phase != AdapterSlotPhase::Ready || place.users != 0
            || isWaitedFor(state, adapter)) {
            continue;
        }
        if (victim == nullptr || place.usedAt < oldest) {
            victim = &adapter;
            oldest = place.usedAt;
        }
    }
    if (victim == nullptr) {
        return std::nullopt;
    }
    return *victim;
}

/// Places that a new adapter could take now.
std::size_t availablePlaces(const EngineScheduler &state, const SchedulerLimits &limits)
{
    const std::size_t unused = limits.engine.adapterSlots > state.places.size()
            ? limits.engine.adapterSlots - state.places.size()
            : 0;
    const auto idle
            = std::count_if(state.places.begin(), state.places.end(), [&state](const auto &entry) {
                  return entry.second.phase == AdapterSlotPhase::Ready && entry.second.users == 0
                          && !isWaitedFor(state, entry.first);
              });
    return unused + static_cast<std::size_t>(idle);
}

std::uint32_t loadsUnderWay(const EngineScheduler &state)
{
    return static_cast<std::uint32_t>(
            std::count_if(state.places.begin(), state.places.end(), [](const auto &entry) {
                return entry.second.phase == AdapterSlotPhase::Loading;
            }));
}

/// @return the adapter's place among those held lately, 0 for the newest
std::optional<std::size_t> warmDepth(const EngineScheduler &state, const AdapterId &adapter)
{
    const auto found = std::find(state.warm.begin(), state.warm.end(), adapter);
    if (found == state.warm.end()) {
        return std::nullopt;
    }
    return static_cast<std::size_t>(found - state.warm.begin());
}

void noteWarm(EngineScheduler &state, const SchedulerLimits &limits, const AdapterId &adapter)
{
    std::erase(state.warm, adapter);
    state.warm.push_front(adapter);
    const std::size_t bound
            = limits.profile.hostCachedAdapters == 0 ? mostWarm : limits.profile.hostCachedAdapters;
    while (state.warm.size() > bound) {
        state.warm.pop_back();
    }
}

} // namespace

Millis placeWaitFor(const EngineScheduler &state, const SchedulerLimits &limits,
                    const EngineGrantRequest &request)
{
    std::set<AdapterId> ahead;
    for (const EngineGrantRequest &other : state.waiting) {
        if (!other.adapter.empty() && other.adapter != request.adapter
            && state.places.count(other.adapter) == 0) {
            ahead.insert(other.adapter);
        }
    }
    const std::size_t available = availablePlaces(state, limits);
    if (available > ahead.size()) {
        return Millis(0);
    }
    return state.releaseInterval * static_cast<std::int64_t>(ahead.size() - available + 1);
}

std::optional<EngineCommand> modelCommand(EngineScheduler &state, Millis now)
{
    if (state.modelLoaded || now < state.modelCheckAt) {
        return std::nullopt;
    }
    state.modelCheckAt = now + modelPollTime;
    return EngineCommand{CommandKind::LoadModel, state.base, AdapterId(), AdapterVersion(),
                         state.modelRequested};
}

std::optional<EngineCommand> maintenanceCommand(const EngineScheduler &state,
                                                const AdapterVersions &versions, Millis now)
{
    for (const auto &[adapter, place] : state.places) {
        const AdapterVersion wanted = wantedVersion(state, adapter, versions);
        if (place.phase == AdapterSlotPhase::Loading && place.checkAt <= now) {
            return EngineCommand{CommandKind::LoadAdapter, state.base, adapter, place.version,
                                 true};
        }
        if (place.phase == AdapterSlotPhase::Unloading && place.checkAt <= now) {
            return EngineCommand{CommandKind::UnloadAdapter, state.base, adapter, AdapterVersion(),
                                 true};
        }
        if (place.phase == AdapterSlotPhase::Ready && place.users == 0 && place.version < wanted
            && isWaitedFor(state, adapter)) {
            return EngineCommand{CommandKind::LoadAdapter, state.base, adapter, wanted, false};
        }
    }
    return std::nullopt;
}

std::optional<EngineCommand> loadCommand(const EngineScheduler &state,
                                         const SchedulerLimits &limits,
                                         const AdapterVersions &versions)
{
    for (const EngineGrantRequest &request : state.waiting) {
        if (request.adapter.empty() || state.places.count(request.adapter) != 0) {
            continue;
        }
        if (loadsUnderWay(state) >= limits.loadsAtOnce) {
            return std::nullopt;
        }
        if (state.places.size() < limits.engine.adapterSlots) {
            return EngineCommand{CommandKind::LoadAdapter, state.base, request.adapter,
                                 wantedVersion(state, request.adapter, versions), false};
        }
        const std::optional<AdapterId> victim = chooseVictim(state);
        if (!victim) {
            return std::nullopt;
        }
        return EngineCommand{CommandKind::UnloadAdapter, state.base, *victim, AdapterVersion(),
                             false};
    }
    return std::nullopt;
}

void beginCommand(EngineScheduler &state, const SchedulerLimits &limits,
                  const EngineCommand &command, Millis now)
{
    state.commandInProgress = command;
    if (command.kind == CommandKind::LoadModel) {
        return;
    }
    AdapterSlot &place = state.places[command.adapter];
    if (command.kind == CommandKind::UnloadAdapter) {
        place.phase = AdapterSlotPhase::Unloading;
        place.checkAt = now + loadPollTime;
        return;
    }
    if (place.phase != AdapterSlotPhase::Loading || place.loadStartedAt == Millis(0)) {
        place.phase = AdapterSlotPhase::Loading;
        place.loadStartedAt = now;
        place.usedAt = now;
        place.version = command.version;
        place.cachedParts.clear();
        place.polls = 0;
        place.timed = !command.repeated;
        place.checkAt = now + scaled(loadTime(state, limits, command.adapter), firstLookShare);
    }
    place.polls += command.repeated ? 1 : 0;
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
        state.resyncWanted = true;
        return std::nullopt;
    }
    if (command.kind == CommandKind::LoadModel) {
        state.modelLoaded = outcome == CommandOutcome::AlreadyHolds;
        state.modelRequested = outcome == CommandOutcome::Accepted;
        state.modelCheckAt = now + modelPollTime;
        return std::nullopt;
    }
    const auto place = state.places.find(command.adapter);
    if (place == state.places.end()) {
        return std::nullopt;
    }
    if (command.kind == CommandKind::UnloadAdapter) {
        if (outcome == CommandOutcome::AlreadyHolds) {
            noteWarm(state, limits, command.adapter);
            state.places.erase(place);
        } else {
            place->second.checkAt = now + loadPollTime;
        }
        return std::nullopt;
    }
    if (outcome != CommandOutcome::AlreadyHolds) {
        if (place->second.checkAt <= now) {
            place->second.checkAt = now + loadPollTime;
        }
        return std::nullopt;
    }
    const FinishedLoad load{now - place->second.loadStartedAt, place->second.polls <= 1,
                            warmDepth(state, command.adapter)};
    place->second.phase = AdapterSlotPhase::Ready;
    noteWarm(state, limits, command.adapter);
    if (!command.repeated || !place->second.timed) {
        return std::nullopt; // Held all the time, or the load had begun before.
    }
    return load;
}

void applyReport(EngineScheduler &state, const EngineReport &report, Millis now)
{
    state.synced = true;
    state.resyncWanted = false;
    state.modelRequested = report.modelBusy;
    if (state.modelLoaded != report.modelLoaded) {
        state.modelLoaded = report.modelLoaded;
        state.modelCheckAt = report.modelBusy ? now + modelPollTime : now;
    }
    std::erase_if(state.places, [&report](const auto &entry) {
        return report.adapters.count(entry.first) == 0 && report.pending.count(entry.first) == 0;
    });
    for (const auto &[adapter, version] : report.adapters) {
        AdapterSlot &place = state.places[adapter];
        place.phase = AdapterSlotPhase::Ready;
        place.version = version;
    }
    for (const AdapterId &adapter : report.pending) {
        AdapterSlot &place = state.places[adapter];
        if (place.phase == AdapterSlotPhase::Ready) {
            place.phase = AdapterSlotPhase::Loading;
        }
        place.loadStartedAt = now;
        place.timed = false;
        place.checkAt = now + loadPollTime;
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
    const auto place = state.places.find(adapter);
    if (place != state.places.end() && place->second.phase == AdapterSlotPhase::Ready) {
        place->second.phase = AdapterSlotPhase::Loading;
        place->second.loadStartedAt = now;
        place->second.timed = false;
        place->second.checkAt = now + loadPollTime;
    }
    state.resyncWanted = true;
}

} // namespace balsamport
