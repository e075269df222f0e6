#ifndef BALSAMPORT_POLICY_OWNERSHIP_VIEW_H
#define BALSAMPORT_POLICY_OWNERSHIP_VIEW_H

#include <balsamport/core/clock.h>
#include <balsamport/core/ids.h>

#include <compare>
#include <cstdint>

namespace balsamport {

/// @brief What a controller may do with a backend server.
enum class OwnerAuthority : std::uint8_t {
    None, ///< Another VM owns it: refuse with NotOwner.
    Handover, ///< New owner, waiting for gateways to announce grants: no orders, safe grants only.
    GrantsOnly, ///< Owner with an unconfirmed view: grants on resident adapters, no orders.
    Full, ///< Owner with a confirmed view: grants and orders.
};

/// @brief One backend server as the ownership controller hands it to the grant controller.
struct ServerOwnership
{
    BackendServerId backendServer;
    OwnerAuthority authority = OwnerAuthority::None;
    FencingNumber fencing;
    Millis ownerSince; ///< Monotonic.
    Millis confirmedUntil; ///< Monotonic; no order is sent at or after it.

    auto operator<=>(const ServerOwnership &) const = default;
    bool operator==(const ServerOwnership &) const = default;
};

/// @brief The seat of a data centre as the ownership controller hands it to the witness.
struct WitnessSlotView
{
    DataCentreId dataCentre;
    bool held = false; ///< This VM holds the seat.
    Millis heldSinceWall; ///< Wall clock at which the seat was taken or the process started.
    Millis heldSince; ///< Monotonic.
    Millis confirmedUntil; ///< Monotonic; nothing is granted at or after it.

    auto operator<=>(const WitnessSlotView &) const = default;
    bool operator==(const WitnessSlotView &) const = default;
};

} // namespace balsamport

#endif
