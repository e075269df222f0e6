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
    /// When the engine first refused a reservation, with no grant since; -1 for none.
    Millis refusedSince{-1};

    bool operator==(const EngineArbitration &) const = default;
};

/// @brief Forgets what an earlier run of the engine showed.
void startArbitration(EngineArbitration &state, std::int64_t engineStartedAtWallMs);

void recordReservationGranted(EngineArbitration &state) noexcept;
void recordReservationRefused(EngineArbitration &state, Millis now) noexcept;

/// @brief Records the response to a second reservation, requested while this daemon held one.
void recordSecondReservation(EngineArbitration &state, bool granted) noexcept;

/// @brief Records that another daemon commanded the engine, so that refusals had a reason.
void recordOtherHolder(EngineArbitration &state) noexcept;

/// @return true where the engine doesn't arbitrate: its grants exclude nobody, or it has refused
/// for longer than any reservation of another daemon lasts, although nobody commanded it
[[nodiscard]] bool isArbitrationAbsent(const EngineArbitration &state,
                                       const CommandLeaseTimings &timings, Millis now) noexcept;

} // namespace balsamport

#endif
