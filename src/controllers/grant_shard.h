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

/// @brief How a waiting gateway is answered.
struct WaitingReply
{
    RequestId request;
    ReplySender reply;
    Millis toldAt; ///< Last QUEUED reply; 0 for none.
};

/// @brief One backend server's state in the grant controller. Every function below needs its lock.
struct GrantShard
{
    std::mutex lock;
    BackendServerConfig config;
    ServerOwnership ownership;
    ServerState state;
    FencingNumber fencing; ///< For orders of this ownership; above all that the engine reported.
    FencingNumber reportedFencing;
    bool reachable = false;
    std::uint32_t failedReports = 0; ///< One after the other.
    bool reportPending = false;
    Millis reportAskedAt;
    LimitsConfig limits;
    bool crossesLink = false; ///< Its region has no weight store.
    LinkBudget link; ///< For loads, where they cross the link.
    std::uint64_t loadBytes = 0; ///< Largest adapter of its base model.
    std::unordered_map<CallerClassId, std::uint32_t> classWeights;
    std::unordered_map<CallerClassId, std::uint32_t> classQueueLimits;
    std::uint64_t nextTicket = 1;
    std::map<std::uint64_t, WaitingReply> waiting; ///< By ticket.
};

void applyConfig(GrantShard &shard, const BackendServerConfig &config, const LimitsConfig &limits,
                 const std::map<CallerClassId, CallerClassConfig> &classes, bool packed);

/// @brief Sets the server's part of the link's budget for loads.
void applyLink(GrantShard &shard, const Snapshot &snapshot, Millis now);

/// @brief Takes in what this VM may do; a lost server answers its waiters with NotOwner.
void applyOwnership(GrantShard &shard, const ServerOwnership &ownership, const VmId &self);

/// @return what may be done now; a confirmation that has run out leaves grants only
[[nodiscard]] SchedulerContext contextOf(GrantShard &shard, Millis now);

/// @return the answer, or nothing where the request waits now
[[nodiscard]] std::optional<wire::Envelope>
admitToShard(GrantShard &shard, const LoadBudget &budget, const wire::GrantRequest &request,
             const std::string &gateway, const ReplySender &reply, Millis now);

void releaseFromShard(GrantShard &shard, const wire::GrantRelease &released,
                      const std::string &gateway, Millis now);

/// @brief Takes in all grants that a gateway holds here; older ones that it does not name end.
void announceToShard(GrantShard &shard, const std::vector<wire::HeldGrant> &held,
                     const std::string &gateway, Millis now, Millis grace);

/// @brief Sends the final answers among the actions.
void answerWaiters(GrantShard &shard, const std::vector<GrantSchedulerAction> &actions, Millis now);

/// @brief Tells waiters that they are queued, again after each interval, as a sign of life.
void tellQueued(GrantShard &shard, Millis now, Millis interval);

void takeReport(GrantShard &shard, LoadBudget &budget, const Result<EngineLoadReport> &report,
                Millis now);

void describeShard(const GrantShard &shard, wire::ServerStatus &status);

} // namespace balsamport

#endif
