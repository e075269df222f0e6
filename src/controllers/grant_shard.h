#ifndef BALSAMPORT_CONTROLLERS_GRANT_SHARD_H
#define BALSAMPORT_CONTROLLERS_GRANT_SHARD_H

#include <balsamport/config/snapshot.h>
#include <balsamport/policy/grant_scheduler.h>
#include <balsamport/wire/message_server.h>

#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace balsamport {

/// @brief The replier of a waiting request.
struct WaitingReply
{
    RequestId request;
    ReplySender reply;
    Millis queuedSentAt; ///< Monotonic time of the last QUEUED reply; 0 for none.
};

/// @brief The state of one backend server in the grant controller. Every function below requires
/// its lock.
struct GrantShard
{
    std::mutex lock;
    BackendServerConfig config;
    ServerOwnership ownership;
    ServerState state;
    FencingNumber fencing; ///< For commands of this ownership; above any the engine reported.
    FencingNumber reportedFencing;
    bool reachable = false;
    std::uint32_t failedReports = 0; ///< Consecutive failures.
    bool reportPending = false;
    Millis reportRequestedAt;
    LimitsConfig limits;
    bool crossesLink = false; ///< Loads cross the link: its region has no weight store.
    LinkBudget link; ///< Budget of loads where they cross the link.
    std::uint64_t loadBytes = 0; ///< Size of the largest adapter of its base model.
    std::unordered_map<CallerClassId, std::uint32_t> classWeights;
    std::unordered_map<CallerClassId, std::uint32_t> classQueueLimits;
    std::uint64_t nextTicket = 1;
    std::map<std::uint64_t, WaitingReply> waiting; ///< By ticket.
};

/// @brief Sets configuration, limits and caller classes.
/// @param packed the server is queried first for adapters that are not resident
void applyConfig(GrantShard &shard, const BackendServerConfig &config, const LimitsConfig &limits,
                 const std::map<CallerClassId, CallerClassConfig> &classes, bool packed);

/// @brief Sets the server's share of the link's budget for loads.
void applyLink(GrantShard &shard, const Snapshot &snapshot, Millis now);

/// @brief Sets this VM's authority. Where ownership was lost or began anew, waiting requests get
/// NotOwner.
void applyOwnership(GrantShard &shard, const ServerOwnership &ownership, const VmId &self);

/// @return the authority now and the scheduler's inputs; after the confirmation expired grants only
[[nodiscard]] SchedulerContext contextOf(GrantShard &shard, Millis now);

/// @brief Admits a request.
/// @return the final reply; empty where the request waits now
[[nodiscard]] std::optional<wire::Envelope>
admitRequestToShard(GrantShard &shard, const LoadBudget &budget, const wire::GrantRequest &request,
                    const std::string &gateway, const ReplySender &reply, Millis now);

/// @brief Releases a grant; without a grant number, removes the request and all its grants.
void releaseFromShard(GrantShard &shard, const wire::GrantRelease &released,
                      const std::string &gateway, Millis now);

/// @brief Adopts all grants that a gateway announces for this server. Grants of the gateway that
/// the announcement lacks end where they are older than `grace`.
void applyAnnouncement(GrantShard &shard, const std::vector<wire::HeldGrant> &held,
                       const std::string &gateway, Millis now, Millis grace);

/// @brief Sends the final replies among the actions.
void sendFinalReplies(GrantShard &shard, const std::vector<GrantSchedulerAction> &actions,
                      Millis now);

/// @brief Sends QUEUED to waiting requests, and again after each interval as a keep-alive.
void sendQueuedUpdates(GrantShard &shard, Millis now, Millis interval);

/// @brief Applies a load report of the engine or the failure to get one.
void applyReport(GrantShard &shard, LoadBudget &budget, const Result<EngineLoadReport> &report,
                 Millis now);

/// @brief Sets the server's entry in the status.
void fillServerStatus(const GrantShard &shard, wire::ServerStatus &status);

} // namespace balsamport

#endif
