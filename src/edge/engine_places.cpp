#include <balsamport/edge/engine_places.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace balsamport {

namespace {

/// Prompt parts remembered for one adapter; the oldest go by value, which is as good as any.
constexpr std::size_t maxCachedParts = 64;
/// Between questions whether a load has ended. A warm load takes about as long.
constexpr Millis loadPollTime{30};
/// Part of the expected time of a load after which the engine is asked first. Loads take much less
/// than was learnt as soon as fewer run in the fleet; asked only then, they would seem as long.
constexpr double firstLookShare = 0.6;
/// Between questions whether a base model has been loaded.
constexpr Millis modelPollTime{400};
/// Share of the key-value memory that granted requests may fill.
constexpr double kvShare = 0.92;
/// Grants whose first piece has not come; more would queue inside the engine.
constexpr std::uint32_t maxUnstarted = 4;
/// Wait that is expected where every place is in use.
constexpr Millis placeWait{500};
/// Longer pauses between releases say that no place was wanted, not that none was given.
constexpr Millis longestRelease{1'000};
/// A grant that has not ended this long after its deadline was lost with its daemon.
constexpr Millis lostGrantTime{3'000};
/// Adapters whose demand is remembered before those not asked for lately are forgotten.
constexpr std::size_t maxRates = 512;
constexpr Millis rateMemory{20'000};
/// Adapters remembered as held lately while nobody knows how many an engine keeps.
constexpr std::size_t mostWarm = 256;
/// Longest pause of streams whose callers name none.
constexpr Millis mostPause{1'000};
/// Shortest Retry-After, so that callers do not come back into the same queue.
constexpr Millis leastRetryAfter{200};

std::uint32_t totalTokens(const PlaceRequest &request)
{
    std::uint32_t tokens = 0;
    for (const PromptPart &part : request.parts) {
        tokens += part.tokens;
    }
    return tokens;
}

/// Tokens that the engine has to read: all parts after the first that is not cached.
std::uint32_t uncachedTokens(const EnginePlaces &state, const PlaceRequest &request)
{
    const auto place = state.places.find(request.adapter);
    std::uint32_t tokens = totalTokens(request);
    if (place == state.places.end()) {
        return tokens;
    }
    for (const PromptPart &part : request.parts) {
        if (place->second.cachedParts.count(part.id) == 0) {
            break;
        }
        tokens -= part.tokens;
    }
    return tokens;
}

Millis scaled(Millis time, double factor)
{
    return Millis(std::llround(std::ceil(static_cast<double>(time.count()) * factor)));
}

/// One step of the streams that run, on this engine.
Millis stepTime(const EnginePlaces &state, const PlaceLimits &limits)
{
    return Millis(std::llround(std::ceil(limits.profile.stepMs * state.pace.slowness)));
}

Millis prefillTime(const EnginePlaces &state, std::uint32_t tokens, const PlaceLimits &limits)
{
    return scaled(readingTime(limits.profile, tokens), state.pace.slowness);
}

/// From a place to the first piece, for a prompt that nobody is before.
Millis firstPieceTime(const EnginePlaces &state, std::uint32_t tokens, const PlaceLimits &limits)
{
    return prefillTime(state, tokens, limits)
            + scaled(eventTime(limits.profile), state.pace.slowness);
}

/// Longer expected waits send a request to another home: asking it takes some ms, and it holds the
/// adapter, so much less than a load pays.
Millis otherHomeWait(const PlaceLimits &limits)
{
    return limits.profile.coldLoad / 3;
}

/// Longer expected waits send a request to another engine, which has to load the adapter.
Millis elsewhereWait(const PlaceLimits &limits, bool held)
{
    // The same load again is taken from others where the adapter is held here.
    return held ? limits.profile.coldLoad * 2 : limits.profile.coldLoad;
}

/// The longest pause that all callers of running streams allow.
Millis longestPause(const EnginePlaces &state)
{
    Millis least = mostPause;
    for (const auto &[key, request] : state.running) {
        if (request.longestPause > Millis(0)) {
            least = std::min(least, request.longestPause);
        }
    }
    return least;
}

/// Time for prompts within the steps of one event, less these steps and the way to the caller.
Millis prefillPerEvent(const EnginePlaces &state, const PlaceLimits &limits)
{
    // Steps take longer in a full batch than in the quiet streams that the profile comes from.
    constexpr double loadedStep = 1.5;
    const Millis steps = scaled(eventTime(limits.profile), state.pace.slowness * loadedStep);
    return longestPause(state) - limits.deliveryJitter - steps;
}

/// Reading times of a prompt's pieces, one for each step.
std::vector<Millis> piecesOf(const EnginePlaces &state, std::uint32_t tokens,
                             const PlaceLimits &limits)
{
    const std::uint32_t bound = limits.profile.tokensPerStep;
    const std::uint32_t most = bound == 0 ? std::max(tokens, 1U) : bound;
    std::vector<Millis> pieces;
    Millis read;
    for (std::uint32_t done = 0; done < tokens;) {
        done = std::min(tokens, done + most);
        const Millis until = prefillTime(state, done, limits);
        pieces.push_back(until - read);
        read = until;
    }
    return pieces;
}

bool isWarm(const EnginePlaces &state, const AdapterId &adapter)
{
    return std::find(state.warm.begin(), state.warm.end(), adapter) != state.warm.end();
}

/// Expected time of a load.
Millis loadTime(const EnginePlaces &state, const PlaceLimits &limits, const AdapterId &adapter)
{
    return isWarm(state, adapter) ? limits.profile.warmLoad : limits.profile.coldLoad;
}

double demandFor(const EnginePlaces &state, const AdapterId &adapter, Millis now)
{
    const auto found = state.rates.find(adapter);
    return found == state.rates.end() ? 0.0 : rateAt(found->second, now);
}

void countDemand(EnginePlaces &state, const PlaceRequest &request, Millis now)
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

AdapterVersion wantedVersion(const EnginePlaces &state, const AdapterId &adapter,
                             const AdapterVersions &versions)
{
    const auto found = versions.find({state.base, adapter});
    return found == versions.end() ? AdapterVersion() : found->second;
}

/// Who can still be in time, then by priority, then who has to give up first.
bool goesBefore(const PlaceRequest &a, const PlaceRequest &b)
{
    if (a.late != b.late) {
        return b.late;
    }
    if (a.priority != b.priority) {
        return a.priority < b.priority;
    }
    if (a.giveUpAt != b.giveUpAt) {
        return a.giveUpAt < b.giveUpAt;
    }
    return a.key < b.key;
}

bool isWaitedFor(const EnginePlaces &state, const AdapterId &adapter)
{
    return std::any_of(
            state.waiting.begin(), state.waiting.end(),
            [&adapter](const PlaceRequest &request) { return request.adapter == adapter; });
}

std::uint32_t unstarted(const EnginePlaces &state)
{
    return static_cast<std::uint32_t>(
            std::count_if(state.running.begin(), state.running.end(),
                          [](const auto &entry) { return !entry.second.started; }));
}

std::uint64_t kvTokensInUse(const EnginePlaces &state)
{
    std::uint64_t tokens = 0;
    for (const auto &[key, request] : state.running) {
        tokens += request.kvTokens;
    }
    return tokens;
}

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

bool hasRoom(const EnginePlaces &state, const PlaceLimits &limits, const PlaceRequest &request)
{
    if (state.running.size() >= limits.engine.batchSlots) {
        return false;
    }
    const auto limit
            = static_cast<std::uint64_t>(static_cast<double>(limits.engine.kvTokens) * kvShare);
    return state.running.empty()
            || kvTokensInUse(state) + totalTokens(request) + request.outputTokens <= limit;
}

/// Places that a new adapter could take now.
std::size_t availablePlaces(const EnginePlaces &state, const PlaceLimits &limits)
{
    const std::size_t unused = limits.engine.adapterPlaces > state.places.size()
            ? limits.engine.adapterPlaces - state.places.size()
            : 0;
    const auto idle
            = std::count_if(state.places.begin(), state.places.end(), [&state](const auto &entry) {
                  return entry.second.phase == PlacePhase::Ready && entry.second.users == 0
                          && !isWaitedFor(state, entry.first);
              });
    return unused + static_cast<std::size_t>(idle);
}

/// Expected time until a new adapter gets a place, after those that wait for one already.
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

bool isPromptTurn(const EnginePlaces &state, const PlaceLimits &limits, Millis now)
{
    return state.prefillUntil <= now + limits.prefillAhead && unstarted(state) < maxUnstarted;
}

/// Steps that an engine surely takes in a time without prompts.
std::int64_t lightSteps(const EnginePlaces &state, const PlaceLimits &limits, Millis idle)
{
    const Millis sure = idle - limits.deliveryJitter;
    const auto most = static_cast<std::int64_t>(wholeStepsPerEvent(limits.profile));
    return sure <= Millis(0) ? 0 : std::min(sure.count() / stepTime(state, limits).count(), most);
}

/// Prompt work in the steps before a new prompt, newest last; one step less than an event has.
std::vector<Millis> stepsBefore(const EnginePlaces &state, const PlaceLimits &limits, Millis begin)
{
    const std::size_t wanted = wholeStepsPerEvent(limits.profile) - 1;
    std::vector<Millis> newestFirst;
    Millis next = begin;
    for (auto piece = state.handedPieces.rbegin();
         piece != state.handedPieces.rend() && newestFirst.size() < wanted; ++piece) {
        const std::int64_t light = lightSteps(state, limits, next - piece->readBy);
        newestFirst.insert(newestFirst.end(), static_cast<std::size_t>(light), Millis(0));
        newestFirst.push_back(piece->work);
        next = piece->readBy - piece->work - stepTime(state, limits);
    }
    newestFirst.resize(wanted);
    return {newestFirst.rbegin(), newestFirst.rend()};
}

/// Whether running streams pause for too long where a prompt is read after some steps.
bool wouldPause(std::vector<Millis> steps, const std::vector<Millis> &pieces, Millis most,
                std::size_t stepsPerEvent)
{
    steps.insert(steps.end(), pieces.begin(), pieces.end());
    for (std::size_t first = 0; first + stepsPerEvent <= steps.size(); ++first) {
        Millis work;
        for (std::size_t step = first; step < first + stepsPerEvent; ++step) {
            work += steps[step];
        }
        if (work > most) {
            return true;
        }
    }
    return false;
}

/// When a prompt can be handed over without making the running streams pause for too long: now, or
/// after some steps without prompts.
Millis promptTurn(const EnginePlaces &state, const PlaceLimits &limits,
                  const std::vector<Millis> &pieces, Millis now)
{
    const Millis most = prefillPerEvent(state, limits);
    const std::size_t stepsPerEvent = wholeStepsPerEvent(limits.profile);
    const Millis step = stepTime(state, limits);
    const Millis start = std::max(now, state.prefillUntil);
    if (!wouldPause(stepsBefore(state, limits, start), pieces, most, stepsPerEvent)) {
        return now;
    }
    // After all but one of an event's steps nothing more is gained: the prompt is long itself.
    const auto mostLight = static_cast<std::int64_t>(stepsPerEvent) - 1;
    for (std::int64_t light = 1; light < mostLight; ++light) {
        const Millis begin = state.prefillUntil + limits.deliveryJitter + step * light;
        if (begin >= start
            && !wouldPause(stepsBefore(state, limits, begin), pieces, most, stepsPerEvent)) {
            return begin;
        }
    }
    return std::max(now, state.prefillUntil + limits.deliveryJitter + step * mostLight);
}

bool isReadyFor(const EnginePlaces &state, const AdapterId &adapter,
                const AdapterVersions &versions)
{
    if (adapter.empty()) {
        return true;
    }
    const auto place = state.places.find(adapter);
    return place != state.places.end() && place->second.phase == PlacePhase::Ready
            && place->second.version >= wantedVersion(state, adapter, versions);
}

GrantPlace grant(EnginePlaces &state, const PlaceLimits &limits, const AdapterVersions &versions,
                 const PlaceRequest &request, Millis now)
{
    GrantPlace action{request.key,
                      wantedVersion(state, request.adapter, versions),
                      uncachedTokens(state, request),
                      demandFor(state, request.adapter, now),
                      request.request,
                      request.waits};
    const std::vector<Millis> pieces = piecesOf(state, action.promptTokens, limits);
    const Millis queued = std::max(state.prefillUntil - now, Millis(0));
    state.prefillUntil = now + queued;
    for (const Millis piece : pieces) {
        state.prefillUntil += piece + stepTime(state, limits);
        state.handedPieces.push_back(HandedPiece{state.prefillUntil, piece});
        if (state.handedPieces.size() > wholeStepsPerEvent(limits.profile)) {
            state.handedPieces.pop_front();
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
    running.longestPause = request.longestPause;
    running.promptTokens = action.promptTokens;
    running.queued = queued;
    running.alone = alone;
    running.grantedAt = now;
    state.running.emplace(request.key, running);
    if (!request.adapter.empty()) {
        AdapterPlace &place = state.places[request.adapter];
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
void waitOnLate(PlaceRequest &request, const PlaceLimits &limits, Millis now)
{
    const Millis left = std::max(request.patientUntil - now, Millis(0));
    request.late = true;
    request.giveUpAt = now + left / limits.latePatience;
}

/// Refuses those who have waited for as long as it made sense.
void dropOverdue(EnginePlaces &state, const PlaceLimits &limits, Millis now,
                 std::vector<PlaceAction> &actions)
{
    std::erase_if(state.waiting, [&](PlaceRequest &request) {
        if (request.giveUpAt <= now && !request.late) {
            waitOnLate(request, limits, now);
        }
        const bool over = request.giveUpAt <= now;
        if (over) {
            actions.emplace_back(
                    RefusePlace{request.key, placeWait, demandFor(state, request.adapter, now)});
        }
        return over;
    });
}

/// Decides whether a new request would wait too long here.
std::optional<PlaceAction> sendAwayAction(const EnginePlaces &state, const PlaceLimits &limits,
                                          PlaceRequest &request, Millis now)
{
    Millis wait = expectedWait(state, limits, request, now);
    const bool held = state.places.count(request.adapter) != 0 || isWarm(state, request.adapter);
    const Millis most = request.otherHome ? otherHomeWait(limits) : elsewhereWait(limits, held);
    if (!request.lastChoice && wait > most) {
        return SendElsewhere{request.key, wait, demandFor(state, request.adapter, now)};
    }
    if (now + wait > request.giveUpAt && !request.late) {
        waitOnLate(request, limits, now);
        wait = expectedWait(state, limits, request, now); // Behind others that are late as well.
    }
    if (now + wait > request.giveUpAt) {
        return RefusePlace{request.key, std::max(wait, leastRetryAfter),
                           demandFor(state, request.adapter, now)};
    }
    return std::nullopt;
}

/// Sends away all who wait for an engine that does not answer: nobody knows until when.
void sendAllAway(EnginePlaces &state, std::vector<PlaceAction> &actions)
{
    for (const PlaceRequest &request : state.waiting) {
        actions.emplace_back(EngineDown{request.key});
    }
    state.waiting.clear();
}

/// Sends away new requests that would wait too long here.
void sendAway(EnginePlaces &state, const PlaceLimits &limits, Millis now,
              std::vector<PlaceAction> &actions)
{
    std::vector<PlaceRequest> kept;
    std::vector<PlaceRequest> fresh;
    for (PlaceRequest &request : state.waiting) {
        (request.examined ? kept : fresh).push_back(std::move(request));
    }
    state.waiting = std::move(kept);
    for (PlaceRequest &request : fresh) {
        const std::optional<PlaceAction> action = sendAwayAction(state, limits, request, now);
        if (action) {
            actions.push_back(*action);
        } else {
            request.examined = true;
            state.waiting.push_back(std::move(request));
        }
    }
}

void grantPlaces(EnginePlaces &state, const PlaceLimits &limits, const AdapterVersions &versions,
                 Millis now, std::vector<PlaceAction> &actions)
{
    for (auto request = state.waiting.begin(); request != state.waiting.end();) {
        if (!isPromptTurn(state, limits, now)) {
            return;
        }
        if (!isReadyFor(state, request->adapter, versions) || !hasRoom(state, limits, *request)) {
            ++request;
            continue;
        }
        const std::vector<Millis> pieces = piecesOf(state, uncachedTokens(state, *request), limits);
        const Millis turn = promptTurn(state, limits, pieces, now);
        if (turn > now) {
            // Shorter prompts must not pass it again and again.
            state.promptTurnAt = turn;
            return;
        }
        actions.emplace_back(grant(state, limits, versions, *request, now));
        request = state.waiting.erase(request);
    }
}

/// Adds the time since the last decision to what each waiting request waited for.
void addWaits(EnginePlaces &state, Millis now)
{
    for (PlaceRequest &request : state.waiting) {
        PlaceWaits &waits = request.waits;
        if (waits.since < Millis(0)) {
            continue;
        }
        Millis &total = waits.blocker == PlaceBlocker::Adapter ? waits.adapter
                : waits.blocker == PlaceBlocker::Room          ? waits.room
                                                               : waits.turn;
        total += now - waits.since;
        waits.since = now;
    }
}

void noteBlockers(EnginePlaces &state, const PlaceLimits &limits, const AdapterVersions &versions,
                  Millis now)
{
    for (PlaceRequest &request : state.waiting) {
        const bool ready
                = state.synced && state.modelLoaded && isReadyFor(state, request.adapter, versions);
        request.waits.blocker = !ready             ? PlaceBlocker::Adapter
                : !hasRoom(state, limits, request) ? PlaceBlocker::Room
                                                   : PlaceBlocker::Turn;
        request.waits.since = now;
    }
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

/// Asks again for loads that should have ended, and replaces outdated versions nobody uses.
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

std::uint32_t loadsUnderWay(const EnginePlaces &state)
{
    return static_cast<std::uint32_t>(
            std::count_if(state.places.begin(), state.places.end(), [](const auto &entry) {
                return entry.second.phase == PlacePhase::Loading;
            }));
}

/// Loads the adapter of the first waiting request that has no place.
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
        if (state.places.size() < limits.engine.adapterPlaces) {
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

/// Notes an order in the places, so that a place is taken from the moment the order leaves.
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

void noteRelease(EnginePlaces &state, Millis now)
{
    constexpr std::int64_t weight = 5; // One part in five for the newest.
    const Millis sample = std::min(now - state.releasedAt, longestRelease);
    state.releaseInterval = (state.releaseInterval * (weight - 1) + sample) / weight;
    state.releasedAt = now;
}

} // namespace

void submitPlaceRequest(EnginePlaces &state, const PlaceLimits &limits, PlaceRequest request,
                        Millis now)
{
    const Millis lastUseful
            = request.objectiveAt - firstPieceTime(state, uncachedTokens(state, request), limits);
    countDemand(state, request, now);
    request.giveUpAt = lastUseful;
    if (lastUseful <= now) {
        waitOnLate(request, limits, now);
    }
    state.waiting.push_back(std::move(request));
}

std::vector<PlaceAction> nextPlaceActions(EnginePlaces &state, const PlaceLimits &limits,
                                          const AdapterVersions &versions, Millis now)
{
    std::vector<PlaceAction> actions;
    std::erase_if(state.running, [&](const auto &entry) {
        const bool lost = now - entry.second.deadlineAt > lostGrantTime;
        const auto place = state.places.find(entry.second.adapter);
        if (lost && place != state.places.end() && place->second.users > 0) {
            --place->second.users;
        }
        return lost;
    });
    if (state.unreachable || now < state.pausedUntil) {
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
    if (!state.ordersAllowed || state.orderInProgress || state.resyncWanted) {
        return actions;
    }
    std::optional<EngineOrder> order = modelOrder(state, now);
    if (!order && state.modelLoaded) {
        order = maintenanceOrder(state, versions, now);
        if (!order) {
            order = loadOrder(state, limits, versions);
        }
    }
    if (order) {
        beginOrder(state, limits, *order, now);
        actions.emplace_back(*order);
    }
    return actions;
}

std::optional<Millis> nextPlaceCheck(const EnginePlaces &state, const PlaceLimits &limits)
{
    std::optional<Millis> next;
    const auto consider = [&next](Millis at) {
        if (!next || at < *next) {
            next = at;
        }
    };
    for (const auto &[adapter, place] : state.places) {
        if (place.phase != PlacePhase::Ready) {
            consider(place.checkAt);
        }
    }
    if (!state.modelLoaded && state.ordersAllowed) {
        consider(state.modelCheckAt);
    }
    for (const PlaceRequest &request : state.waiting) {
        consider(request.giveUpAt);
    }
    if (!state.waiting.empty()) {
        consider(std::max(state.prefillUntil - limits.prefillAhead, state.promptTurnAt));
    }
    return next;
}

Millis expectedWait(const EnginePlaces &state, const PlaceLimits &limits,
                    const PlaceRequest &request, Millis now)
{
    Millis wait = std::max(state.prefillUntil - now, Millis(0));
    for (const PlaceRequest &other : state.waiting) {
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
        const bool loading = place->second.phase != PlacePhase::Ready;
        const Millis loadedAt
                = std::max(place->second.checkAt,
                           place->second.loadStartedAt + loadTime(state, limits, request.adapter));
        return loading ? std::max(wait, loadedAt - now) : wait;
    }
    Millis untilOrders;
    if (!state.ordersAllowed) {
        untilOrders = state.ordersFrom < Millis(0) ? placeWait * 4
                                                   : std::max(state.ordersFrom - now, Millis(0));
    }
    return std::max(wait,
                    untilOrders + loadTime(state, limits, request.adapter)
                            + placeWaitFor(state, limits, request));
}

std::optional<ReadingSample> notePlaceStarted(EnginePlaces &state, const PlaceLimits &limits,
                                              const PlaceKey &key, Millis firstPiece, Millis now)
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
            running.longestReading = std::max(running.longestReading, reading);
        }
    }
    if (unstarted(state) == 0) {
        // All prompts have been read, maybe faster than was reckoned.
        state.prefillUntil = std::min(state.prefillUntil, now);
    }
    if (firstPiece <= Millis(0) || request.promptTokens == 0) {
        return std::nullopt;
    }
    const Millis steps = scaled(eventTime(limits.profile), state.pace.slowness);
    const ReadingSample sample{request.promptTokens,
                               std::max(firstPiece - steps - request.queued, Millis(1)),
                               request.alone};
    notePace(state.pace, limits.profile, sample);
    return sample;
}

Millis longestReadingBeside(const EnginePlaces &state, const PlaceKey &key)
{
    const auto found = state.running.find(key);
    return found == state.running.end() ? Millis(0) : found->second.longestReading;
}

void notePlaceEnded(EnginePlaces &state, const PlaceKey &key, Millis now)
{
    std::erase_if(state.waiting,
                  [&key](const PlaceRequest &request) { return request.key == key; });
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

void noteSuspected(EnginePlaces &state) noexcept
{
    state.suspected = true;
}

void noteReachable(EnginePlaces &state, bool reachable) noexcept
{
    state.suspected = false;
    state.unreachable = !reachable;
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

void dropPlacesOf(EnginePlaces &state, const VmId &vm, std::uint64_t incarnation, Millis now)
{
    std::vector<PlaceKey> dropped;
    const auto consider = [&](const PlaceKey &key) {
        if (key.vm == vm && key.incarnation != incarnation) {
            dropped.push_back(key);
        }
    };
    for (const auto &[key, request] : state.running) {
        consider(key);
    }
    for (const PlaceRequest &request : state.waiting) {
        consider(request.key);
    }
    for (const PlaceKey &key : dropped) {
        notePlaceEnded(state, key, now);
    }
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

} // namespace balsamport
