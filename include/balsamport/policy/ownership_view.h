#ifndef BALSAMPORT_POLICY_OWNERSHIP_VIEW_H
#define BALSAMPORT_POLICY_OWNERSHIP_VIEW_H

#include <balsamport/core/clock.h>
#include <balsamport/core/ids.h>

#include <compare>
#include <cstdint>

namespace balsamport {

/// @brief What a controller may do with a backend server.
enum class OwnerAuthority : std::uint8_t {
    None, ///< Another VM owns the server: refuse with NotOwner.
    Handover, ///< New owner awaiting announced grants: no commands, only safe grants.
    GrantsOnly, ///< Owner with an unconfirmed view: grants on resident adapters, no commands.
    Full, ///< Owner with a confirmed view: grants and commands.
};

/// @brief The ownership of one backend server, passed from the ownership controller to the grant
/// controller.
struct ServerOwnership
{
    BackendServerId backendServer;
    OwnerAuthority authority = OwnerAuthority::None;
    FencingNumber fencing;
    Millis ownerSince; ///< Monotonic.
    Millis confirmedUntil; ///< Monotonic; no command is sent at or after it.

    auto operator<=>(const ServerOwnership &) const = default;
    bool operator==(const ServerOwnership &) const = default;
};

/// @brief The state of a witness slot, passed from the ownership controller to the witness.
struct WitnessSlotView
{
    DataCentreId dataCentre;
    bool held = false; ///< This VM holds the slot.
    Millis heldSinceWall; ///< Wall clock when the slot was acquired or the process started.
    Millis heldSince; ///< Monotonic.
    Millis confirmedUntil; ///< Monotonic; no claim is granted at or after it.

    auto operator<=>(const WitnessSlotView &) const = default;
    bool operator==(const WitnessSlotView &) const = default;
};

} // namespace balsamport

#endif
