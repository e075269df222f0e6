#include "adapter_loads.h"
#include "place_times.h"

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
std::optional<AdapterId> chooseVictim(const EnginePlaces &state)
{
    const AdapterId *victim = nullptr;
    Millis oldest;
    for (const auto &[adapter, place] : state.places) {
        if (place.phase != PlacePhase::Ready || place.users != 0 || isWaitedFor(state, adapter)) {
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
std::size_t availablePlaces(const EnginePlaces &state, const PlaceLimits &limits)
{
    const std::size_t unused = limits.engine.adapterSlots > state.places.size()
            ? limits.engine.adapterSlots - state.places.size()
            : 0;
    const auto idle
            = std::count_if(state.places.begin(), state.places.end(), [&state](const auto &entry) {
                  return entry.second.phase == PlacePhase::Ready && entry.second.users == 0
                          && !isWaitedFor(state, entry.first);
              });
    return unused + static_cast<std::size_t>(idle);
}

std::uint32_t loadsUnderWay(const EnginePlaces &state)
{
    return static_cast<std::uint32_t>(
            std::count_if(state.places.begin(), state.places.end(), [](const auto &entry) {
                return entry.second.phase == PlacePhase::Loading;
            }));
}

/// @return the adapter's place among those held lately, 0 for the newest
std::optional<std::size_t> warmDepth(const EnginePlaces &state, const AdapterId &adapter)
{
    const auto found = std::find(state.warm.begin(), state.warm.end(), adapter);
    if (found == state.warm.end()) {
        return std::nullopt;
    }
    return static_cast<std::size_t>(found - state.warm.begin());
}

void noteWarm(EnginePlaces &state, const PlaceLimits &limits, const AdapterId &adapter)
{
    std::erase(state.warm, adapter);
    state.warm.push_front(adapter);
    const std::size_t bound
            = limits.profile.warmAdapters == 0 ? mostWarm : limits.profile.warmAdapters;
    while (state.warm.size() > bound) {
        state.warm.pop_back();
    }
}

} // namespace

Millis placeWaitFor(const EnginePlaces &state, const PlaceLimits &limits,
                    const PlaceRequest &request)
{
    std::set<AdapterId> ahead;
    for (const PlaceRequest &other : state.waiting) {
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

std::optional<EngineOrder> modelOrder(EnginePlaces &state, Millis now)
{
    if (state.modelLoaded || now < state.modelCheckAt) {
        return std::nullopt;
    }
    state.modelCheckAt = now + modelPollTime;
    return EngineOrder{OrderKind::LoadModel, state.base, AdapterId(), AdapterVersion(),
                       state.modelOrdered};
}

std::optional<EngineOrder> maintenanceOrder(const EnginePlaces &state,
                                            const AdapterVersions &versions, Millis now)
{
    for (const auto &[adapter, place] : state.places) {
        const AdapterVersion wanted = wantedVersion(state, adapter, versions);
        if (place.phase == PlacePhase::Loading && place.checkAt <= now) {
            return EngineOrder{OrderKind::LoadAdapter, state.base, adapter, place.version, true};
        }
        if (place.phase == PlacePhase::Unloading && place.checkAt <= now) {
            return EngineOrder{OrderKind::UnloadAdapter, state.base, adapter, AdapterVersion(),
                               true};
        }
        if (place.phase == PlacePhase::Ready && place.users == 0 && place.version < wanted
            && isWaitedFor(state, adapter)) {
            return EngineOrder{OrderKind::LoadAdapter, state.base, adapter, wanted, false};
        }
    }
    return std::nullopt;
}

std::optional<EngineOrder> loadOrder(const EnginePlaces &state, const PlaceLimits &limits,
                                     const AdapterVersions &versions)
{
    for (const PlaceRequest &request : state.waiting) {
        if (request.adapter.empty() || state.places.count(request.adapter) != 0) {
            continue;
        }
        if (loadsUnderWay(state) >= limits.loadsAtOnce) {
            return std::nullopt;
        }
        if (state.places.size() < limits.engine.adapterSlots) {
            return EngineOrder{OrderKind::LoadAdapter, state.base, request.adapter,
                               wantedVersion(state, request.adapter, versions), false};
        }
        const std::optional<AdapterId> victim = chooseVictim(state);
        if (!victim) {
            return std::nullopt;
        }
        return EngineOrder{OrderKind::UnloadAdapter, state.base, *victim, AdapterVersion(), false};
    }
    return std::nullopt;
}

void beginOrder(EnginePlaces &state, const PlaceLimits &limits, const EngineOrder &order,
                Millis now)
{
    state.orderInProgress = order;
    if (order.kind == OrderKind::LoadModel) {
        return;
    }
    AdapterPlace &place = state.places[order.adapter];
    if (order.kind == OrderKind::UnloadAdapter) {
        place.phase = PlacePhase::Unloading;
        place.checkAt = now + loadPollTime;
        return;
    }
    if (place.phase != PlacePhase::Loading || place.loadStartedAt == Millis(0)) {
        place.phase = PlacePhase::Loading;
        place.loadStartedAt = now;
        place.usedAt = now;
        place.version = order.version;
        place.cachedParts.clear();
        place.looks = 0;
        place.timed = !order.repeated;
        place.checkAt = now + scaled(loadTime(state, limits, order.adapter), firstLookShare);
    }
    place.looks += order.repeated ? 1 : 0;
}

std::optional<FinishedLoad> noteOrderOutcome(EnginePlaces &state, const PlaceLimits &limits,
                                             OrderOutcome outcome, Millis now)
{
    if (!state.orderInProgress) {
        return std::nullopt;
    }
    const EngineOrder order = *state.orderInProgress;
    state.orderInProgress.reset();
    if (outcome == OrderOutcome::Conflict || outcome == OrderOutcome::Fenced
        || outcome == OrderOutcome::Refused || outcome == OrderOutcome::Unknown) {
        state.resyncWanted = true;
        return std::nullopt;
    }
    if (order.kind == OrderKind::LoadModel) {
        state.modelLoaded = outcome == OrderOutcome::AlreadyHolds;
        state.modelOrdered = outcome == OrderOutcome::Accepted;
        state.modelCheckAt = now + modelPollTime;
        return std::nullopt;
    }
    const auto place = state.places.find(order.adapter);
    if (place == state.places.end()) {
        return std::nullopt;
    }
    if (order.kind == OrderKind::UnloadAdapter) {
        if (outcome == OrderOutcome::AlreadyHolds) {
            noteWarm(state, limits, order.adapter);
            state.places.erase(place);
        } else {
            place->second.checkAt = now + loadPollTime;
        }
        return std::nullopt;
    }
    if (outcome != OrderOutcome::AlreadyHolds) {
        if (place->second.checkAt <= now) {
            place->second.checkAt = now + loadPollTime;
        }
        return std::nullopt;
    }
    const FinishedLoad load{now - place->second.loadStartedAt, place->second.looks <= 1,
                            warmDepth(state, order.adapter)};
    place->second.phase = PlacePhase::Ready;
    noteWarm(state, limits, order.adapter);
    if (!order.repeated || !place->second.timed) {
        return std::nullopt; // Held all the time, or the load had begun before.
    }
    return load;
}

void applyReport(EnginePlaces &state, const EngineReport &report, Millis now)
{
    state.synced = true;
    state.resyncWanted = false;
    state.modelOrdered = report.modelBusy;
    if (state.modelLoaded != report.modelLoaded) {
        state.modelLoaded = report.modelLoaded;
        state.modelCheckAt = report.modelBusy ? now + modelPollTime : now;
    }
    std::erase_if(state.places, [&report](const auto &entry) {
        return report.adapters.count(entry.first) == 0 && report.pending.count(entry.first) == 0;
    });
    for (const auto &[adapter, version] : report.adapters) {
        AdapterPlace &place = state.places[adapter];
        place.phase = PlacePhase::Ready;
        place.version = version;
    }
    for (const AdapterId &adapter : report.pending) {
        AdapterPlace &place = state.places[adapter];
        if (place.phase == PlacePhase::Ready) {
            place.phase = PlacePhase::Loading;
        }
        place.loadStartedAt = now;
        place.timed = false;
        place.checkAt = now + loadPollTime;
    }
}

void notePlaceNotReady(EnginePlaces &state, const PlaceKey &key, Millis now)
{
    const auto found = state.running.find(key);
    if (found == state.running.end()) {
        return;
    }
    const AdapterId adapter = found->second.adapter;
    notePlaceEnded(state, key, now);
    const auto place = state.places.find(adapter);
    if (place != state.places.end() && place->second.phase == PlacePhase::Ready) {
        place->second.phase = PlacePhase::Loading;
        place->second.loadStartedAt = now;
        place->second.timed = false;
        place->second.checkAt = now + loadPollTime;
    }
    state.resyncWanted = true;
}

} // namespace balsamport
