#ifndef BALSAMPORT_POLICY_GRANT_SCHEDULER_H
#define BALSAMPORT_POLICY_GRANT_SCHEDULER_H

#include <balsamport/policy/link_budget.h>
#include <balsamport/policy/ownership_view.h>
#include <balsamport/policy/server_state.h>

#include <variant>
#include <vector>

namespace balsamport {

/// @brief A waiter gets a place.
struct IssueGrant
{
    std::uint64_t ticket = 0;
    GrantId grant;
    Millis waitedForLoad; ///< 0 where the adapter was resident.
    bool alone = false;

    bool operator==(const IssueGrant &) const = default;
};

/// @brief A waiter gets its final answer.
struct RefuseAdmission
{
    std::uint64_t ticket = 0;
    ErrorCode code = ErrorCode::Overloaded;
    Millis retryAfter;

    bool operator==(const RefuseAdmission &) const = default;
};

/// @brief A waiter should ask another backend server.
struct RedirectAdmission
{
    std::uint64_t ticket = 0;
    Millis expectedWait; ///< What waiting here would have cost.

    bool operator==(const RedirectAdmission &) const = default;
};

/// @brief The engine must unload the victim, where there is one, and load the adapter.
struct LoadCommand
{
    AdapterRef adapter;
    std::optional<AdapterRef> evictionCandidate;
    Millis deadline;

    bool operator==(const LoadCommand &) const = default;
};

using GrantSchedulerAction
        = std::variant<IssueGrant, RefuseAdmission, RedirectAdmission, LoadCommand>;

/// @brief What the scheduler may do at this moment, and how it weighs.
struct SchedulerContext
{
    OwnerAuthority right = OwnerAuthority::Full;
    bool draining = false; ///< The backend server gets no new work.
    bool reachable = true; ///< The engine answers; one that does not keeps no request waiting.
    std::uint32_t weightPercent = 50; ///< 0: only load stalls count; 100: only batch fill.
    Millis gatherTime{20};
    std::uint32_t queueLimit = 256; ///< Waiting requests of one caller class.
    const std::unordered_map<CallerClassId, std::uint32_t> *classWeights = nullptr;
    const std::unordered_map<CallerClassId, std::uint32_t> *classQueueLimits = nullptr;
    /// Where loads cross the link between regions: what they are charged to. Null: they do not.
    LinkBudget *link = nullptr;
    std::uint64_t loadBytes = 0; ///< What a load over the link is charged.
};

/// @brief An engine's report of its load.
struct EngineLoadReport
{
    std::string start; ///< Differs after a restart of the engine.
    Millis taken; ///< When the engine took it, on this VM's monotonic clock.
    std::vector<AdapterRef> resident;
    std::unordered_map<std::uint64_t, std::uint32_t> running; ///< By adapter hash.
    FencingNumber fencing; ///< Highest number that the engine has seen.

    bool operator==(const EngineLoadReport &) const = default;
};

/// @brief How a load order ended.
enum class LoadOutcome : std::uint8_t {
    Loaded,
    Failed, ///< The adapter is not there; the victim is gone.
    EvictionCandidateRunning, ///< The engine kept the eviction candidate; nothing was loaded.
    NotSent, ///< Nothing reached the engine.
    Unknown,
};

/// @return a server without residents, as after a restart
/// @param firstGrant start of the numbers of this owner's grants; owners need distinct ranges
[[nodiscard]] ServerState makeServerState(const ServerLimits &limits, GrantId firstGrant);

/// @brief Changes the limits; slots that go are dropped only where they hold nothing.
void setLimits(ServerState &server, const ServerLimits &limits);

/// @brief Admits a request to the queue, or answers it at once.
///
/// Refuses at once what cannot be answered in time, or beyond its class's queue; redirects where
/// another backend server may be tried and waiting here is long. Otherwise the request waits;
/// call schedule() afterwards.
/// @param ticket chosen by the caller; every later action names it
/// @return the answer, or nothing where the request waits now
[[nodiscard]] std::optional<GrantSchedulerAction>
admitRequest(ServerState &server, const LoadBudget &budget, const SchedulerContext &context,
             AdmissionRequest request, std::uint64_t ticket, Millis now);

/// @brief Gives places, orders loads, and refuses waiters whose deadline cannot be met.
/// @complexity O(w * s) for w waiters and s slots
[[nodiscard]] std::vector<GrantSchedulerAction>
schedule(ServerState &server, LoadBudget &budget, const SchedulerContext &context, Millis now);

/// @brief Takes back a place.
/// @return whether the grant was known
bool releaseGrant(ServerState &server, GrantId grant, Millis now);

/// @brief Takes over a grant that a gateway announces to a new owner: its adapter is pinned.
void adoptGrant(ServerState &server, Grant grant);

/// @brief Drops all grants of a gateway that has gone.
/// @return how many there were
std::size_t dropGatewayGrants(ServerState &server, const std::string &gateway);

/// @brief Forgets a waiter whose caller has gone.
/// @return whether it was waiting
bool dropWaiter(ServerState &server, const RequestId &request, const std::string &gateway);

/// @brief Drops the grants of one request of a gateway that gave up waiting for the reply.
/// @return how many there were
std::size_t dropRequestGrants(ServerState &server, const RequestId &request,
                              const std::string &gateway);

/// @brief Asks for an adapter to be loaded when the budget has room to spare.
/// @param declared by a route, ahead of its switch
void requestPreload(ServerState &server, const AdapterRef &adapter, bool declared, Millis now);

/// @brief Records that an adapter may not be loaded after all; the next load report tells.
void markNotLoaded(ServerState &server, std::uint64_t adapterHash, Millis now);

/// @brief Records the end of a load order.
void finishLoadCommand(ServerState &server, LoadBudget &budget, const AdapterRef &adapter,
                       LoadOutcome outcome, Millis now);

/// @brief Takes in an engine's report. Slots that changed after it was taken are left alone.
/// @return whether the engine had restarted
bool applyLoadReport(ServerState &server, LoadBudget &budget, const EngineLoadReport &report,
                     Millis now);

/// @return whether a slot holds the adapter ready for use
[[nodiscard]] bool isResident(const ServerState &server, std::uint64_t adapterHash) noexcept;

/// @return since when a load waits that only lacks a token; nothing where there is none
[[nodiscard]] std::optional<Millis> waitingForTokenSince(const ServerState &server,
                                                         const SchedulerContext &context,
                                                         Millis now) noexcept;

/// @brief Estimates the wait of a further request.
/// @return for the adapter's load and a place in the batch together
[[nodiscard]] Millis expectedWait(const ServerState &server, const LoadBudget &budget,
                                  std::uint64_t adapterHash, Millis now) noexcept;

} // namespace balsamport

#endif
