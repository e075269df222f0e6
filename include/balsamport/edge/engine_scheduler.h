#ifndef BALSAMPORT_EDGE_ENGINE_SCHEDULER_H
#define BALSAMPORT_EDGE_ENGINE_SCHEDULER_H

#include <balsamport/core/clock.h>
#include <balsamport/core/ids.h>
#include <balsamport/edge/engine_profile.h>
#include <balsamport/edge/request_rate.h>
#include <balsamport/edge/service_config.h>

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace balsamport {

/// @brief Names one request for a place: the daemon that asks, and its own number.
struct GrantKey
{
    VmId vm;
    std::uint64_t incarnation = 0;
    std::uint64_t number = 0;

    auto operator<=>(const GrantKey &) const = default;
    bool operator==(const GrantKey &) const = default;
};

/// @brief A part of a prompt; requests that share leading parts share their cached tokens.
struct PromptPart
{
    std::uint64_t id = 0;
    std::uint32_t tokens = 0;

    bool operator==(const PromptPart &) const = default;
};

/// @brief What keeps a waiting request from being granted.
enum class GrantBlocker : std::uint8_t {
    Adapter, ///< Its adapter is not ready, or the engine's model is not.
    Room, ///< The engine's batch or memory is full.
    Turn, ///< Other prompts are read first, so that running streams do not pause for too long.
};

/// @brief How long a request has waited for what. For logs and tests; decides nothing.
struct GrantWaits
{
    Millis adapter;
    Millis room;
    Millis turn;
    GrantBlocker blocker = GrantBlocker::Turn; ///< Since the last decision.
    Millis since{-1}; ///< When that decision was taken; -1 before the first.

    bool operator==(const GrantWaits &) const = default;
};

/// @brief A request that waits for a place on an engine.
struct EngineGrantRequest
{
    GrantKey key;
    RequestId request;
    BaseModelId base;
    AdapterId adapter; ///< Empty for the base model itself.
    std::int32_t priority = 0; ///< 0 goes first.
    Millis objectiveAt; ///< The first piece is late after this.
    Millis timeoutAt; ///< Refused if it still waits then; filled in by submitGrantRequest().
    Millis deadlineAt; ///< The caller has gone after this.
    Millis maxWaitUntil; ///< The caller leaves by then if no piece has come.
    Millis maxTokenGap; ///< Of its stream, that its caller allows; 0 for any.
    std::uint32_t outputTokens = 0;
    std::vector<PromptPart> parts;
    bool lastChoice = false; ///< No other engine is left to try.
    bool nextIsPreferred = false; ///< The next engine to try is a home of the adapter, too.
    bool late = false; ///< Its first piece will come after the objective.
    bool examined = false; ///< It was decided that the request may wait here.
    GrantWaits waits;

    bool operator==(const EngineGrantRequest &) const = default;
};

/// @brief How an engine's speed and limits are reckoned with.
struct SchedulerLimits
{
    EngineLimits engine;
    EngineProfile profile; ///< Of the engine's service.
    Millis prefillAhead{25}; ///< Prompt work handed over before the last one is read.
    /// For the way of an event and of a prompt, and for the error of the reckoned reading. Source:
    /// trials of 15, 40 and 60 ms, see docs/design/platform.md.
    Millis deliveryJitter{60};
    std::int64_t latePatience = 2; ///< A late request waits for this part of its caller's patience.
    std::uint32_t loadsAtOnce = 3; ///< The engine takes four; one is left for a replacement.

    bool operator==(const SchedulerLimits &) const = default;
};

/// @brief What an adapter's place is doing.
enum class AdapterSlotPhase : std::uint8_t {
    Loading,
    Ready,
    Unloading,
};

/// @brief One of an engine's places for adapters.
struct AdapterSlot
{
    AdapterSlotPhase phase = AdapterSlotPhase::Loading;
    AdapterVersion version; ///< 0 where none is declared.
    std::uint32_t users = 0; ///< Granted requests; the place cannot be given up before they end.
    Millis checkAt; ///< While loading: when to ask the engine again.
    std::uint32_t polls = 0; ///< While loading: how often the engine was asked.
    Millis loadStartedAt;
    bool timed = false; ///< The load was ordered at loadStartedAt; else it had begun before.
    Millis usedAt;
    std::set<std::uint64_t> cachedParts; ///< Prompt parts that were read for this adapter.

    bool operator==(const AdapterSlot &) const = default;
};

/// @brief A request that was granted and has not ended.
struct RunningRequest
{
    AdapterId adapter;
    Millis deadlineAt;
    std::uint64_t kvTokens = 0;
    bool started = false; ///< Its first piece has come.
    Millis maxTokenGap; ///< That its caller allows; 0 for any.
    std::uint32_t promptTokens = 0; ///< That the engine had to read.
    Millis queued; ///< Until its prompt's turn, as reckoned when it was granted.
    bool alone = false; ///< No other prompt was handed over since, nor was one being read then.
    Millis grantedAt;
    Millis startedAt;
    Millis longestPrefill; ///< Of prompts that were read while its stream ran.

    bool operator==(const RunningRequest &) const = default;
};

/// @brief What an order does.
enum class CommandKind : std::uint8_t {
    LoadModel,
    LoadAdapter,
    UnloadAdapter,
};

/// @brief An order for an engine. One at a time is under way.
struct EngineCommand
{
    CommandKind kind = CommandKind::LoadAdapter;
    BaseModelId base;
    AdapterId adapter;
    AdapterVersion version; ///< 0: the newest.
    bool repeated = false; ///< Asks whether the same order has been carried out.

    bool operator==(const EngineCommand &) const = default;
};

/// @brief How an engine answered an order.
enum class CommandOutcome : std::uint8_t {
    Accepted, ///< It is being carried out.
    AlreadyHolds, ///< Nothing is left to do.
    Conflict, ///< Another order is under way, or its order count differs.
    Fenced, ///< It has seen a higher fencing number.
    Refused, ///< It knows no such order, or is another server.
    Unknown, ///< No answer: it may have been accepted.
};

/// @brief What an engine reports of itself.
struct EngineReport
{
    std::uint64_t commandCount = 0;
    bool modelLoaded = false;
    bool modelBusy = false; ///< A model is being loaded.
    std::map<AdapterId, AdapterVersion> adapters;
    std::set<AdapterId> pending; ///< Being loaded.

    bool operator==(const EngineReport &) const = default;
};

/// @brief A piece of a prompt that was handed over to an engine, read between two steps of the
/// streams that run.
struct PrefillChunk
{
    Millis readBy; ///< When it will have been read.
    Millis work; ///< Time that reading it takes.

    bool operator==(const PrefillChunk &) const = default;
};

/// @brief The places of one engine, as its owner keeps them. Use the functions below.
struct EngineScheduler
{
    BackendServerId server;
    BaseModelId base;
    bool synced = false; ///< A report has been read since the owner's term began.
    bool commandsAllowed = false; ///< The lease of any earlier owner is over.
    Millis commandsFrom{-1}; ///< When that is expected; -1 before a report has been read.
    bool suspected = false; ///< A request did not reach it; its report is being asked for.
    bool unreachable = false; ///< It gave no report. Nobody waits for it before it answers again.
    Millis backoffUntil{-1}; ///< It wants no requests or orders before.
    bool modelLoaded = false;
    bool modelRequested = false; ///< The engine accepted to load it and has not said more.
    Millis modelCheckAt;
    std::map<AdapterId, AdapterSlot> places;
    std::deque<AdapterId> warm; ///< Adapters that were held lately, newest first.
    std::vector<EngineGrantRequest> waiting;
    std::map<GrantKey, RunningRequest> running;
    EngineSpeed pace;
    Millis prefillUntil; ///< When the granted prompts will have been read.
    Millis nextPrefillAt; ///< When the next prompt may be handed over.
    std::deque<PrefillChunk> recentChunks; ///< Of the last event's steps, oldest first.
    std::optional<EngineCommand> commandInProgress;
    Millis releasedAt; ///< When a place became free last.
    Millis releaseInterval{250}; ///< Between places that become free, weighted to the newest.
    std::map<AdapterId, RequestRate> rates; ///< Of requests that asked here first.
    bool resyncWanted = false; ///< The engine did not behave as believed; read a report.
};

/// @brief The newest declared version of each adapter; those that are not listed have none.
using AdapterVersions = std::map<std::pair<BaseModelId, AdapterId>, AdapterVersion>;

/// @brief Gives a request a place.
struct GrantAction
{
    GrantKey key;
    AdapterVersion version;
    std::uint32_t promptTokens = 0; ///< That the engine has to read.
    double demand = 0; ///< Requests a second that ask for the adapter here.
    RequestId request;
    GrantWaits waits;

    bool operator==(const GrantAction &) const = default;
};

/// @brief Sends a request to another engine.
struct RedirectAction
{
    GrantKey key;
    Millis wait; ///< That it would have had here.
    double demand = 0; ///< Requests a second that ask for the adapter here.

    bool operator==(const RedirectAction &) const = default;
};

/// @brief Tells that the engine does not answer; the request may try any other.
struct EngineDown
{
    GrantKey key;

    bool operator==(const EngineDown &) const = default;
};

/// @brief Refuses a request.
struct RefuseAction
{
    GrantKey key;
    Millis retryAfter; ///< When a place is expected.
    double demand = 0; ///< Requests a second that ask for the adapter here.

    bool operator==(const RefuseAction &) const = default;
};

using SchedulerAction
        = std::variant<GrantAction, RedirectAction, EngineDown, RefuseAction, EngineCommand>;

/// @brief Puts a request into the queue. Decide with nextSchedulerActions().
void submitGrantRequest(EngineScheduler &state, const SchedulerLimits &limits,
                        EngineGrantRequest request, Millis now);

/// @brief Decides who gets a place now, who is sent away, and which order is given.
/// @complexity O(q log q) for q waiting requests
[[nodiscard]] std::vector<SchedulerAction> nextSchedulerActions(EngineScheduler &state,
                                                                const SchedulerLimits &limits,
                                                                const AdapterVersions &versions,
                                                                Millis now);

/// @brief Says when nextSchedulerActions() may have something new to decide.
[[nodiscard]] std::optional<Millis> nextSchedulerCheck(const EngineScheduler &state,
                                                       const SchedulerLimits &limits);

/// @brief Estimates how long a request that comes now waits before its prompt is read.
[[nodiscard]] Millis expectedWait(const EngineScheduler &state, const SchedulerLimits &limits,
                                  const EngineGrantRequest &request, Millis now);

/// @brief Notes that a request's first piece has come.
/// @param firstPiece time since it was sent; 0 where the way there is long or not known
/// @return how fast its prompt was read, if that can be told
std::optional<PrefillSample> recordGrantStarted(EngineScheduler &state,
                                                const SchedulerLimits &limits, const GrantKey &key,
                                                Millis firstPiece, Millis now);

/// @return the longest reading of a prompt while the request's stream ran; 0 for none
[[nodiscard]] Millis longestOverlappingPrefill(const EngineScheduler &state, const GrantKey &key);

/// @brief Notes that a request has ended, or that its caller has gone.
void recordGrantEnded(EngineScheduler &state, const GrantKey &key, Millis now);

/// @brief Notes that a request or an order did not reach the engine. No places are given until a
/// report tells whether the engine or just that sender's way is down.
void markSuspected(EngineScheduler &state) noexcept;

/// @brief Notes whether the engine gave its report.
void setReachable(EngineScheduler &state, bool reachable) noexcept;

/// @brief Notes that the engine did not run a request because the adapter is not in place.
void recordAdapterNotReady(EngineScheduler &state, const GrantKey &key, Millis now);

/// @brief Ends all requests of a daemon that has gone or has started again.
/// @param incarnation requests of this run are kept; 0 for none
void dropGrantsOf(EngineScheduler &state, const VmId &vm, std::uint64_t incarnation, Millis now);

/// @brief An adapter's load that has ended.
struct FinishedLoad
{
    Millis time; ///< From its order to the look that found it loaded.
    bool firstPoll = false; ///< No look before found it still loading.
    std::optional<std::size_t> depth; ///< Among adapters held lately, 0 for the newest.

    bool operator==(const FinishedLoad &) const = default;
};

/// @brief Takes the answer to the order in progress.
/// @return the load that has ended with it, if any
std::optional<FinishedLoad> applyCommandOutcome(EngineScheduler &state,
                                                const SchedulerLimits &limits,
                                                CommandOutcome outcome, Millis now);

/// @brief Takes a report: what is held there and not known here, and the reverse.
void applyReport(EngineScheduler &state, const EngineReport &report, Millis now);

} // namespace balsamport

#endif
