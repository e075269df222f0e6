#ifndef BALSAMPORT_EDGE_ORDER_OWNERSHIP_H
#define BALSAMPORT_EDGE_ORDER_OWNERSHIP_H

#include <balsamport/edge/peers.h>

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace balsamport {

/// @brief Which engines this daemon gives orders to and grants places on.
///
/// There is nobody to elect an owner. An engine without a live owner is claimed by the first live
/// daemon of its data centre by rendezvous, which then stays the owner until it stops. Of two that
/// claim one, a daemon that has just started gives way; else the lower rank does. A new owner
/// gives no order before the engine's own order count has stood still for longer than a lease,
/// unless it knows that nobody else gave any; see isUncontested().
struct OrderOwnership
{
    Millis startedAt;
    Millis lookedAt{-1}; ///< When updateOwnership() looked last.
    Millis inTouchSince{-1}; ///< Since when every known peer has been alive at each look.
    std::set<BackendServerId> owned;
    std::map<BackendServerId, Millis> claimedByPeerAt; ///< When a peer last said it owns it.

    bool operator==(const OrderOwnership &) const = default;
};

/// @brief Times of claims.
struct OwnershipTimings
{
    /// After the start an engine of the own data centre is claimed, so that places are granted
    /// there soon. Near peers greet a new daemon at once; whoever claims an engine already keeps
    /// it.
    Millis earlyClaim{200};
    Millis settle{700}; ///< After the start; all peers with claims have been heard by then.
    Millis farSettle{8'000}; ///< The same for engines of other data centres.
    Millis silence{2'600}; ///< A peer's claim holds this long without being repeated.
    Millis standstill{1'200}; ///< Longer between two looks, and peers may have taken over.
    /// Added to a lease: a peer may be out of reach this long before it counts as silent. Source:
    /// PeerTimings::remotePeerTimeout.
    Millis unnoticed{5'000};

    bool operator==(const OwnershipTimings &) const = default;
};

/// @brief An engine and where it stands.
struct EngineSite
{
    BackendServerId id;
    DataCentreId dataCentre;

    bool operator==(const EngineSite &) const = default;
};

/// @brief What changed.
struct OwnershipChange
{
    std::vector<BackendServerId> gained;
    std::vector<BackendServerId> lost;
    /// Will be gained after earlyClaim, unless a peer claims them meanwhile.
    std::vector<BackendServerId> likely;

    bool operator==(const OwnershipChange &) const = default;
};

/// @brief Says whether this daemon started too lately to have heard all claims of others.
[[nodiscard]] bool isSettling(const OrderOwnership &state, const OwnershipTimings &timings,
                              Millis now) noexcept;

/// @brief Claims engines without an owner, and gives up those that are gone or that a peer which
/// ranks higher claims as well.
/// @param leaving this daemon stops and keeps none
/// @complexity O(e * p) for e engines and p peers
OwnershipChange updateOwnership(OrderOwnership &state, const OwnershipTimings &timings,
                                const std::vector<EngineSite> &engines, const PeerTable &peers,
                                bool leaving, Millis now);

/// @brief Tells whether nobody else can have given orders to an owned engine within a lease.
///
/// So it is where every known peer has been heard without a gap for a lease and for the time that a
/// silence takes to be noticed, and none has claimed the engine within a lease: a peer that took it
/// over unheard would still be waiting. Its owner then need not wait, whatever the engine's order
/// count; an engine that returns after a crash has none.
/// @param lease time within which two holders must not take turns
[[nodiscard]] bool isUncontested(const OrderOwnership &state, const OwnershipTimings &timings,
                                 const BackendServerId &engine, Millis lease, Millis now);

/// @brief Names the daemon that owns an engine, or the likeliest one where nobody says so.
/// @return this VM's id only where it owns the engine; nothing where it would be the likeliest
[[nodiscard]] std::optional<VmId> ownerOf(const OrderOwnership &state, const PeerTable &peers,
                                          const EngineSite &engine, Millis now);

/// @brief Builds the fencing number of a new term. It rises with the published state's revision
/// and with the engine's own order count, and differs between daemons.
[[nodiscard]] FencingNumber fencingNumberFor(std::uint64_t contentRevision,
                                             std::uint64_t orderCount, const VmId &vm);

} // namespace balsamport

#endif
