#ifndef BALSAMPORT_POLICY_GRANT_SCHEDULER_H
#define BALSAMPORT_POLICY_GRANT_SCHEDULER_H

#include <balsamport/policy/link_budget.h>
#include <balsamport/policy/ownership_view.h>
#include <balsamport/policy/server_state.h>

#include <variant>
#include <vector>

namespace balsamport {

/// @brief Issues a grant to a waiter.
struct IssueGrant
{
    std::uint64_t ticket = 0;
    GrantId grant;
    Millis waitedForLoad; ///< 0 if the adapter was resident on arrival.
    bool alone = false;

    bool operator==(const IssueGrant &) const = default;
};

/// @brief Refuses a waiter with its final error.
struct RefuseAdmission
{
    std::uint64_t ticket = 0;
    ErrorCode code = ErrorCode::Overloaded;
    Millis retryAfter;

    bool operator==(const RefuseAdmission &) const = default;
};

/// @brief Redirects a waiter to another backend server.
struct RedirectAdmission
{
    std::uint64_t ticket = 0;
    Millis expectedWait; ///< Estimated wait at this backend server.

    bool operator==(const RedirectAdmission &) const = default;
};

/// @brief Commands the engine to unload the eviction candidate, if there is one, and to load the
/// adapter.
struct LoadCommand
{
    AdapterRef adapter;
    std::optional<AdapterRef> evictionCandidate;
    Millis deadline; ///< The load must have ended by this time.

    bool operator==(const LoadCommand &) const = default;
};

using GrantSchedulerAction
        = std::variant<IssueGrant, RefuseAdmission, RedirectAdmission, LoadCommand>;

/// @brief The permissions, limits and weights of one call of the scheduler.
struct SchedulerContext
{
    OwnerAuthority authority = OwnerAuthority::Full;
    bool draining = false; ///< The backend server gets no new work.
    bool reachable = true; ///< The engine responds; if it does not, no request waits for it.
    /// Weight of batch fill against load stalls: 0 counts only load stalls, 100 only batch fill.
    std::uint32_t weightPercent = 50;
    Millis gatherTime{20}; ///< Longest time that an idle engine waits for a fuller batch.
    std::uint32_t queueLimit = 256; ///< Largest number of waiting requests of one caller class.
    const std::unordered_map<CallerClassId, std::uint32_t> *classWeights = nullptr;
    const std::unordered_map<CallerClassId, std::uint32_t> *classQueueLimits = nullptr;
    /// The budget that is charged for loads across the link between regions; null if loads do not
    /// cross it.
    LinkBudget *link = nullptr;
    std::uint64_t loadBytes = 0; ///< Bytes charged for a load across the link.
};

/// @brief The load report of an engine.
struct EngineLoadReport
{
    std::string start; ///< Identifies one run of the engine; differs after a restart.
    Millis taken; ///< When the engine took the report, on the monotonic clock of this VM.
    std::vector<AdapterRef> resident;
    /// Number of running requests by adapter hash.
    std::unordered_map<std::uint64_t, std::uint32_t> running;
    FencingNumber fencing; ///< Highest fencing number that the engine has received.

    bool operator==(const EngineLoadReport &) const = default;
};

/// @brief The outcome of a load command.
enum class LoadOutcome : std::uint8_t {
    Loaded,
    Failed, ///< The adapter was not loaded; the eviction candidate was unloaded.
    /// The engine kept the eviction candidate, which has running requests; nothing was loaded.
    EvictionCandidateRunning,
    NotSent, ///< The command did not reach the engine.
    Unknown, ///< The next load report shows which adapters are resident.
};

/// @brief Creates the state of a server without resident adapters, as after a restart.
/// @param firstGrant first id of the grants of this owner; the owners of a server need distinct
/// ranges
[[nodiscard]] ServerState makeServerState(const ServerLimits &limits, GrantId firstGrant);

/// @brief Changes the limits. Surplus slots are removed only while they are free.
void setLimits(ServerState &server, const ServerLimits &limits);

/// @brief Queues a request, refuses it or redirects it.
///
/// Refuses a request that cannot meet its deadline or exceeds the queue limit of its class.
/// Redirects it if another candidate is left and the wait here is long or the adapter cannot be
/// loaded. Otherwise queues it; call schedule() afterwards.
/// @param ticket assigned by the calling controller; identifies the request in later actions
/// @return the refusal or redirect; std::nullopt if the request was queued
[[nodiscard]] std::optional<GrantSchedulerAction>
admitRequest(ServerState &server, const LoadBudget &budget, const SchedulerContext &context,
             AdmissionRequest request, std::uint64_t ticket, Millis now);

/// @brief Issues grants, commands loads, and refuses waiters whose deadline has passed.
/// @complexity O(w * s) for w waiters and s slots
[[nodiscard]] std::vector<GrantSchedulerAction>
schedule(ServerState &server, LoadBudget &budget, const SchedulerContext &context, Millis now);

/// @brief Releases a grant.
/// @return whether the grant existed
bool releaseGrant(ServerState &server, GrantId grant, Millis now);

/// @brief Adopts a grant that a gateway announces to a new owner, and pins its adapter.
void adoptGrant(ServerState &server, Grant grant);

/// @brief Drops all grants of a dead gateway.
/// @return the number of dropped grants
std::size_t dropGatewayGrants(ServerState &server, const std::string &gateway);

/// @brief Drops the waiter of a request that its gateway has cancelled.
/// @return whether the request was waiting
bool dropWaiter(ServerState &server, const RequestId &request, const std::string &gateway);

/// @brief Drops the grants of one request of a gateway that stopped waiting for the reply.
/// @return the number of dropped grants
std::size_t dropRequestGrants(ServerState &server, const RequestId &request,
                              const std::string &gateway);

/// @brief Requests that an adapter be loaded when the load budget has an idle token.
/// @param declared whether a route declares the adapter, ahead of its switch
void requestPreload(ServerState &server, const AdapterRef &adapter, bool declared, Millis now);

/// @brief Marks the slot of an adapter that may not be resident as unknown until the next load
/// report.
void markNotLoaded(ServerState &server, std::uint64_t adapterHash, Millis now);

/// @brief Records the outcome of a load command.
void finishLoadCommand(ServerState &server, LoadBudget &budget, const AdapterRef &adapter,
                       LoadOutcome outcome, Millis now);

/// @brief Applies the load report of an engine. Slots that changed after it was taken are not
/// modified.
/// @return whether the engine has restarted since the previous report
bool applyLoadReport(ServerState &server, LoadBudget &budget, const EngineLoadReport &report,
                     Millis now);

/// @return whether the adapter is resident in a slot
[[nodiscard]] bool isResident(const ServerState &server, std::uint64_t adapterHash) noexcept;

/// @return arrival of the oldest request that waits for a load that lacks only a token;
/// std::nullopt if there is none
[[nodiscard]] std::optional<Millis> waitingForTokenSince(const ServerState &server,
                                                         const SchedulerContext &context,
                                                         Millis now) noexcept;

/// @brief Estimates the wait of a further request.
/// @return the longer of the waits for the load of its adapter and for a position in the batch
[[nodiscard]] Millis expectedWait(const ServerState &server, const LoadBudget &budget,
                                  std::uint64_t adapterHash, Millis now) noexcept;

} // namespace balsamport

#endif
