#ifndef BALSAMPORT_EDGE_ENGINE_ARBITRATION_H
#define BALSAMPORT_EDGE_ENGINE_ARBITRATION_H

#include <balsamport/edge/command_lease.h>

#include <cstdint>

namespace balsamport {

/// @brief Whether the reservations of one run of an engine keep two daemons apart, as far as this
/// daemon has tried.
struct EngineArbitration
{
    enum class Kind : std::uint8_t {
        Unverified,
        Exclusive, ///< While one reservation was held, the engine refused a second.
        Absent, ///< It granted both.
    };
    std::int64_t engineStartedAtWallMs = 0; ///< Identifies the run of the engine.
    Kind kind = Kind::Unverified;

    bool operator==(const EngineArbitration &) const = default;
};

/// @brief Forgets what an earlier run of the engine showed.
void startArbitration(EngineArbitration &state, std::int64_t engineStartedAtWallMs);

/// @brief Records the response to a second reservation, requested while this daemon held one.
void recordSecondReservation(EngineArbitration &state, bool granted) noexcept;

} // namespace balsamport

#endif
