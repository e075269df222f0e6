#include <balsamport/edge/engine_arbitration.h>

namespace balsamport {

void startArbitration(EngineArbitration &state, std::int64_t engineStartedAtWallMs)
{
    if (state.engineStartedAtWallMs != engineStartedAtWallMs) {
        state = EngineArbitration{};
        state.engineStartedAtWallMs = engineStartedAtWallMs;
    }
}

void recordReservationGranted(EngineArbitration &state) noexcept
{
    state.refusedSince = Millis(-1);
}

void recordReservationRefused(EngineArbitration &state, Millis now) noexcept
{
    if (state.refusedSince < Millis(0)) {
        state.refusedSince = now;
    }
}

void recordSecondReservation(EngineArbitration &state, bool granted) noexcept
{
    state.kind = granted ? EngineArbitration::Kind::Absent : EngineArbitration::Kind::Exclusive;
}

void recordOtherHolder(EngineArbitration &state) noexcept
{
    state.refusedSince = Millis(-1);
}

bool isArbitrationAbsent(const EngineArbitration &state, const CommandLeaseTimings &timings,
                         Millis now) noexcept
{
    const Millis longestReservation
            = timings.reservationLifetime + CommandLeaseTimings::reportAge + timings.margin;
    return state.kind == EngineArbitration::Kind::Absent
            || (state.refusedSince >= Millis(0) && now - state.refusedSince >= longestReservation);
}

} // namespace balsamport
