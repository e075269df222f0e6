#ifndef BALSAMPORT_EDGE_ENGINE_SCHEDULER_H
#define BALSAMPORT_EDGE_ENGINE_SCHEDULER_H

#include <balsamport/core/clock.h>
#include <balsamport/core/ids.h>
#include <balsamport/edge/engine_profile.h>
#include <balsamport/edge/request_rate.h>
#include <balsamport/edge/service_config.h>
#include <balsamport/policy/fair_queue.h>
#include <balsamport/policy/fleet_rate_limit.h>

#include <cstdint>
#include <deque>
#include <limits>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace balsamport {

/// @brief Identifies a grant request: the requesting daemon, its incarnation and its own number.
struct GrantKey
{
    VmId vm;
    std::uint64_t incarnation = 0;
    std::uint64_t number = 0;

    auto operator<=>(const GrantKey &) const = default;
    bool operator==(const GrantKey &) const = default;
};

/// @brief A part of a prompt. Requests that share leading parts share their prefix cache entries.
struct PromptPart
{
    std::uint64_t id = 0;
    std::uint32_t tokens = 0;

    bool operator==(const PromptPart &) const = default;
};

/// @brief What a waiting request waits for.
enum class GrantBlocker : std::uint8_t {
    Adapter, ///< The adapter or the engine's base model isn't ready.
    Capacity, ///< The engine's batch or key-value memory is full.
    Prefill, ///< Other prefills go first, so that token gaps of running streams stay short.
    RateLimit, ///< The engine states a limit of requests a second.
};

/// @brief Time that a request has waited, by blocker. For logs and tests only; no decision uses it.
struct GrantWaits
{
    Millis adapter;
    Millis capacity;
    Millis prefill;
    Millis rateLimit;
    GrantBlocker blocker = GrantBlocker::Prefill; ///< Since the last scheduling decision.
    Millis since{-1}; ///< Time of that decision; -1 before the first.

    bool operator==(const GrantWaits &) const = default;
};

/// @brief A request for a grant on an engine. Times are monotonic.
struct EngineGrantRequest
{
    GrantKey key;
    RequestId request;
    BaseModelId base;
    AdapterId adapter; ///< Empty for the base model itself.
    std::int32_t priority = 0; ///< 0 goes first.
    /// Of the route, where `priority` is that of the organisation.
    std::int32_t routePriority = 0;
    /// Hash of the caller's organisation; 0 for none. Organisations share the engine fairly.
    std::uint64_t organisation = 0;
    double fairTag = 0; ///< Orders requests of equal priority; see FairQueue.
    Millis objectiveAt; ///< The objective for the first chunk is missed after this.
    Millis timeoutAt; ///< Refused if still waiting then; filled in by submitGrantRequest().
    Millis deadlineAt; ///< The caller disconnects after this.
    Millis maxWaitUntil; ///< The caller disconnects by then if it has received no chunk.
    Millis maxTokenGap; ///< Longest token gap that the caller allows in its stream; 0 for any.
    std::uint32_t outputTokens = 0; ///< At most.
    std::vector<PromptPart> parts;
    bool lastChoice = false; ///< No other engine is left to try.
    bool nextIsPreferred = false; ///< The next engine to try is preferred for the adapter, too.
    bool pastObjective = false; ///< The first chunk will miss the objective.
    bool admitted = false; ///< Admission control has let the request wait here.
    GrantWaits waits;

    bool operator==(const EngineGrantRequest &) const = default;
};

/// @brief Limits of an engine and of its scheduling.
struct SchedulerLimits
{
    EngineLimits engine;
    EngineProfile profile; ///< Of the engine's service.
    Millis prefillLead{25}; ///< A prompt is handed over this long before the last prefill ends.
    /// Allowance for the network delay of an event and of a prompt, and for the error of estimated
    /// prefill times. See docs/design/platform.md.
    Millis deliveryJitter{60};
    /// A request past its objective waits for its remaining maximum wait divided by this.
    std::int64_t pastObjectiveWaitDivisor = 2;
    /// The engine runs four loads at once; one is left for the replacement of a version.
    std::uint32_t maxConcurrentLoads = 3;

    bool operator==(const SchedulerLimits &) const = default;
};

/// @brief State of an adapter slot.
enum class AdapterSlotPhase : std::uint8_t {
    Loading,
    Ready,
    Unloading,
};

/// @brief A slot of an engine that holds, loads or unloads an adapter.
struct AdapterSlot
{
    AdapterSlotPhase phase = AdapterSlotPhase::Loading;
    AdapterVersion version; ///< 0 where none is declared.
    std::uint32_t activeGrants = 0; ///< The slot can't be freed before these requests end.
    Millis pollAt; ///< Time of the next query whether a load or an unload has ended.
    std::uint32_t polls = 0; ///< Queries since the load began.
    Millis loadStartedAt;
    bool unloadAccepted = false; ///< The engine unloads the adapter once its requests have ended.
    /// When this daemon last loaded the adapter or granted a request that began with it: the engine
    /// wasn't unloading it then. -1 for never.
    Millis provenAt{-1};
    Millis unloadSentAt{-1}; ///< When this daemon last commanded the unload; -1 for never.
    bool loadStartKnown = false; ///< Commanded at loadStartedAt; false if the load began earlier.
    Millis lastUsedAt;
    std::set<std::uint64_t> cachedParts; ///< Ids of prompt parts in this adapter's prefix cache.

    bool operator==(const AdapterSlot &) const = default;
};

/// @brief A granted request that hasn't ended.
struct RunningRequest
{
    AdapterId adapter;
    Millis deadlineAt;
    std::uint64_t kvTokens = 0;
    bool started = false; ///< The first chunk has been received.
    Millis maxTokenGap; ///< Longest token gap that the caller allows; 0 for any.
    std::int32_t priority = 0;
    std::int32_t routePriority = 0;
    std::uint32_t prefillTokens = 0; ///< Prompt tokens that weren't in the prefix cache.
    Millis prefillQueueTime; ///< Until its prefill starts, estimated at the grant.
    bool isolated = false; ///< No other prefill was in progress at the grant or granted since.
    Millis grantedAt;
    Millis startedAt;
    Millis longestPrefill; ///< Of other requests, while its stream was running.

    bool operator==(const RunningRequest &) const = default;
};

/// @brief What a command does.
enum class CommandKind : std::uint8_t {
    LoadModel,
    LoadAdapter,
    UnloadAdapter,
};

/// @brief A command to an engine. One at a time is in progress.
struct EngineCommand
{
    CommandKind kind = CommandKind::LoadAdapter;
    BaseModelId base;
    AdapterId adapter;
    AdapterVersion version; ///< 0: the newest.
    bool repeated = false; ///< Queries whether the same command has completed.
    bool mayBeUncounted = false; ///< It may equal an earlier owner's command in progress.

    bool operator==(const EngineCommand &) const = default;
};

/// @brief Result of a command, from the engine's response.
enum class CommandOutcome : std::uint8_t {
    Accepted, ///< The engine is carrying out the command.
    AlreadyHolds, ///< The command has completed.
    Conflict, ///< Another command is in progress, or the engine's command count differs.
    Fenced, ///< The engine has seen a higher fencing number.
    Refused, ///< The engine doesn't support the command, or another server responded.
    Unknown, ///< No response: the command may have been accepted.
};

/// @brief State that an engine reports.
struct EngineReport
{
    std::int64_t startedAtWallMs = 0; ///< Identifies the run of the engine; 0 if not reported.
    std::uint64_t commandCount = 0; ///< Commands that the engine has accepted in this run.
    bool modelLoaded = false;
    bool modelBusy = false; ///< A base model is being loaded.
    std::uint64_t kvTokens = 0; ///< The engine's memory; 0 if not reported.
    std::optional<std::uint32_t> running; ///< Requests of all daemons; nothing if not reported.
    std::map<AdapterId, AdapterVersion> adapters;
    std::set<AdapterId> pending; ///< Being loaded.

    bool operator==(const EngineReport &) const = default;
};

/// @brief A chunk of a granted prompt that the engine prefills within one decode step.
struct PrefillChunk
{
    Millis endsAt; ///< Estimated end of the step.
    Millis duration; ///< Estimated prefill time, without the decode step.

    bool operator==(const PrefillChunk &) const = default;
};

/// @brief Scheduling state of one engine, kept by its owner. Changed by the functions below only.
struct EngineScheduler
{
    static constexpr Millis unlimited{std::numeric_limits<std::int64_t>::max()};

    BackendServerId server;
    VmId self; ///< Orders adapters that were never used, differently on each daemon.
    BaseModelId base;
    bool synced = false; ///< A report has been applied since the ownership term began.
    bool commandsAllowed = false; ///< This daemon holds the engine's command lease.
    /// A new command is sent before this time only; after it, the engine must be reserved.
    Millis commandsUntil{unlimited};
    /// The same for a repeated command, and for one that the engine may not count.
    Millis repeatsUntil{unlimited};
    Millis countKnownSince{-1}; ///< Since then only this daemon has changed the command count.
    bool idle = false; ///< No request ran at the time of the last report.
    Millis commandsFrom{-1}; ///< Expected time of that; -1 before a report has been received.
    bool suspected = false; ///< A request didn't reach the engine; a report is being requested.
    bool unreachable = false; ///< A report failed. No request waits before one succeeds again.
    Millis backoffUntil{-1}; ///< End of a backoff that the engine requested.
    /// Grants per second that the engine's rate limit allows this owner; nothing without a limit.
    std::optional<double> permitRate;
    PermitBucket permits; ///< Each grant takes one while there is a rate limit.
    bool modelLoaded = false;
    bool modelRequested = false; ///< The engine has accepted the command to load it.
    Millis modelPollAt;
    std::map<AdapterId, AdapterSlot> slots;
    std::deque<AdapterId> hostCached; ///< Adapters assumed in host memory, newest first.
    std::vector<EngineGrantRequest> waiting;
    std::map<GrantKey, RunningRequest> running;
    EngineSpeed speed;
    WorkRate grantedPrefill; ///< Milliseconds of prefill.
    FairQueue shares; ///< Of organisations.
    /// The most urgent request of an organisation that recently waited for its adapter.
    std::pair<std::int32_t, std::int32_t> urgentPriority{};
    Millis urgentWaitAt{-1}; ///< When it last waited; -1 for never.
    Millis prefillUntil; ///< Estimated end of all granted prefills.
    Millis nextPrefillAt; ///< Time at which the next prompt may be handed over.
    std::deque<PrefillChunk> recentChunks; ///< In the steps of one stream event, oldest first.
    std::optional<EngineCommand> commandInProgress;
    Millis slotFreedAt; ///< Time at which an adapter slot last became free.
    Millis slotFreeInterval{250}; ///< Mean interval between freed slots, weighted to the newest.
    std::map<AdapterId, RequestRate> requestRates; ///< Without requests that came back here.
    bool resyncNeeded = false; ///< The engine contradicted the assumed state; apply a report.
};

/// @brief The newest declared version of each adapter that has one.
using AdapterVersions = std::map<std::pair<BaseModelId, AdapterId>, AdapterVersion>;

/// @brief Grants a request.
struct GrantAction
{
    GrantKey key;
    AdapterVersion version;
    std::uint32_t prefillTokens = 0; ///< Prompt tokens that aren't in the prefix cache.
    double demand = 0; ///< Requests a second for the adapter on this engine.
    RequestId request;
    GrantWaits waits;

    bool operator==(const GrantAction &) const = default;
};

/// @brief Redirects a request to another engine.
struct RedirectAction
{
    GrantKey key;
    Millis expectedWait; ///< On this engine.
    double demand = 0; ///< Requests a second for the adapter on this engine.
    bool rateLimited = false; ///< Only the engine's rate limit makes it wait.

    bool operator==(const RedirectAction &) const = default;
};

/// @brief Returns a request because the engine is unreachable or in a backoff; it may try any
/// other.
struct EngineDownAction
{
    GrantKey key;

    bool operator==(const EngineDownAction &) const = default;
};

/// @brief Refuses a request.
struct RefuseAction
{
    GrantKey key;
    Millis retryAfter; ///< Time until a grant is expected.
    double demand = 0; ///< Requests a second for the adapter on this engine.
    bool rateLimited = false; ///< Only the engine's rate limit makes it wait too long.

    bool operator==(const RefuseAction &) const = default;
};

/// @brief Requests a report of the engine, which tells the state of earlier commands.
struct ReportAction
{
    bool operator==(const ReportAction &) const = default;
};

/// @brief Requests a reservation of the engine, which a new command needs.
struct ReserveAction
{
    bool operator==(const ReserveAction &) const = default;
};

using SchedulerAction = std::variant<GrantAction, RedirectAction, EngineDownAction, RefuseAction,
                                     EngineCommand, ReportAction, ReserveAction>;

/// @brief Adds a request to the queue. nextSchedulerActions() decides on it.
void submitGrantRequest(EngineScheduler &state, const SchedulerLimits &limits,
                        EngineGrantRequest request, Millis now);

/// @brief Decides which requests are granted, redirected or refused now, and which command is sent.
/// @complexity O(q log q) for q waiting requests
[[nodiscard]] std::vector<SchedulerAction> nextSchedulerActions(EngineScheduler &state,
                                                                const SchedulerLimits &limits,
                                                                const AdapterVersions &versions,
                                                                Millis now);

/// @return the next time at which nextSchedulerActions() may decide something new without an event
[[nodiscard]] std::optional<Millis> nextSchedulerCheck(const EngineScheduler &state,
                                                       const SchedulerLimits &limits);

/// @brief Estimates how long a request that arrives now waits before its prefill starts.
[[nodiscard]] Millis expectedWait(const EngineScheduler &state, const SchedulerLimits &limits,
                                  const EngineGrantRequest &request, Millis now);

/// @return the load of an engine: prefill time granted in a second and queued, in seconds
[[nodiscard]] double engineLoad(const EngineScheduler &state, const SchedulerLimits &limits,
                                Millis now);

/// @brief Records the first chunk of a granted request.
/// @param timeToFirstChunk since the request was sent; 0 if unknown or from another region
/// @return the measured prefill, if there is one
std::optional<PrefillSample> recordGrantStarted(EngineScheduler &state,
                                                const SchedulerLimits &limits, const GrantKey &key,
                                                Millis timeToFirstChunk, Millis now);

/// @return the longest prefill of another request while the request's stream ran; 0 for none
[[nodiscard]] Millis longestOverlappingPrefill(const EngineScheduler &state, const GrantKey &key);

/// @brief Removes a request that has ended or whose caller has disconnected.
void recordGrantEnded(EngineScheduler &state, const GrantKey &key, Millis now);

/// @brief Records that a request or a command didn't reach the engine. Nothing is granted until a
/// report shows whether the engine is down or only the sender's connection to it.
void markSuspected(EngineScheduler &state) noexcept;

/// @brief Records whether a report of the engine was received.
void setReachable(EngineScheduler &state, bool reachable) noexcept;

/// @brief Sets how many grants per second the engine's rate limit allows; a new limit starts
/// without permits.
/// @param perSecond as permitRate() returns it; nothing without a limit
/// @return true where the rate has changed
bool setPermitRate(EngineScheduler &state, std::optional<double> perSecond, Millis now);

/// @brief Discards the permits of an engine with a rate limit, because this daemon may not have
/// been the only owner.
/// @param from time at which it is again
void restartPermits(EngineScheduler &state, Millis from) noexcept;

/// @brief Records that the engine didn't run a request because its adapter isn't loaded.
void recordAdapterNotReady(EngineScheduler &state, const GrantKey &key, Millis now);

/// @brief Removes all requests of a daemon that is removed or has restarted.
/// @param incarnation requests of this run are kept; 0 for none
void dropGrantsOf(EngineScheduler &state, const VmId &vm, std::uint64_t incarnation, Millis now);

/// @brief A completed load of an adapter.
struct FinishedLoad
{
    Millis time; ///< From the command to the poll that found the adapter loaded.
    bool firstPoll = false; ///< No earlier poll found it still loading.
    /// Position in EngineScheduler::hostCached before the load, 0 for the newest.
    std::optional<std::size_t> cacheDepth;

    bool operator==(const FinishedLoad &) const = default;
};

/// @brief Applies the response to the command in progress.
/// @return the load that it completes, if any
std::optional<FinishedLoad> applyCommandOutcome(EngineScheduler &state,
                                                const SchedulerLimits &limits,
                                                CommandOutcome outcome, Millis now);

/// @brief Records that another daemon may have commanded the engine, or that it has restarted: what
/// this daemon commanded before is no longer assumed to be in progress.
void forgetCommandsInProgress(EngineScheduler &state) noexcept;

/// @brief Records until when a reservation permits new commands. The next decision may send one.
void applyReservation(EngineScheduler &state, Millis commandsUntil, Millis now) noexcept;

/// @brief Replaces the assumed state of models and adapter slots by the engine's report. An
/// accepted unload stays in progress, as reports don't show unloads.
void applyReport(EngineScheduler &state, const EngineReport &report, Millis now);

} // namespace balsamport

#endif
