#ifndef BALSAMPORT_EDGE_ENGINE_OWNERSHIP_H
#define BALSAMPORT_EDGE_ENGINE_OWNERSHIP_H

#include <balsamport/edge/peers.h>

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace balsamport {

/// @brief The engines that this daemon owns: it sends them commands and decides on their grants.
///
/// No coordinator elects an owner. An engine without a live owner is claimed by the daemon that
/// rendezvous hashing ranks first among the live ones of its data centre, which then stays the
/// owner until it stops. Of two that claim the same engine, a daemon in its startup grace period
/// yields; else the one that ranks lower. Where links are cut, several daemons may own an engine;
/// which of them may send it commands is decided by CommandLease.
struct EngineOwnership
{
    Millis startedAt;
    std::set<BackendServerId> owned;
    std::map<BackendServerId, Millis> claimedByPeerAt; ///< Last claim of a peer.

    bool operator==(const EngineOwnership &) const = default;
};

/// @brief Delays and timeouts of claims.
struct OwnershipTimings
{
    /// From the start until this daemon claims engines of its own data centre, so that they grant
    /// requests soon. Local peers introduce themselves to a new daemon at once, and an engine that
    /// a peer claims already stays with it.
    Millis localClaimDelay{200};
    Millis startupGrace{700}; ///< From the start; all peers' claims have been received by then.
    Millis remoteClaimDelay{8'000}; ///< As localClaimDelay, for engines of other data centres.
    Millis claimTimeout{2'600}; ///< A peer's claim expires this long after it was last received.

    bool operator==(const OwnershipTimings &) const = default;
};

/// @brief An engine and its data centre.
struct EngineSite
{
    BackendServerId id;
    DataCentreId dataCentre;

    bool operator==(const EngineSite &) const = default;
};

/// @brief Engines whose ownership changed.
struct OwnershipChange
{
    std::vector<BackendServerId> acquired;
    std::vector<BackendServerId> released;
    /// Will be acquired after localClaimDelay unless a peer claims them before.
    std::vector<BackendServerId> likely;

    bool operator==(const OwnershipChange &) const = default;
};

/// @return true where this daemon started so recently that it may not have received all claims
[[nodiscard]] bool isInStartupGrace(const EngineOwnership &state, const OwnershipTimings &timings,
                                    Millis now) noexcept;

/// @brief Claims engines without an owner, and releases those that are removed or that a peer of
/// higher rank claims as well.
/// @param draining this daemon is shutting down and releases all
/// @complexity O(e * p) for e engines and p peers
OwnershipChange updateOwnership(EngineOwnership &state, const OwnershipTimings &timings,
                                const std::vector<EngineSite> &engines, const PeerTable &peers,
                                bool draining, Millis now);

/// @return the owned engines that a live peer claims as well
[[nodiscard]] std::set<BackendServerId> contestedEngines(const EngineOwnership &state,
                                                         const PeerTable &peers, Millis now);

/// @brief Returns the daemon that owns an engine, or its most likely owner if no peer claims it.
/// @return this VM's id only where it owns the engine; nothing where it would be the likely owner
[[nodiscard]] std::optional<VmId> ownerOf(const EngineOwnership &state, const PeerTable &peers,
                                          const EngineSite &engine, Millis now);

} // namespace balsamport

#endif
