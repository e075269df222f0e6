#include <balsamport/edge/engine_arbitration.h>

namespace balsamport {

void startArbitration(EngineArbitration &state, std::int64_t engineStartedAtWallMs)
{
    if (state.engineStartedAtWallMs != engineStartedAtWallMs) {
        state = EngineArbitration{};
        state.engineStartedAtWallMs = engineStartedAtWallMs;
    }
}

void recordSecondReservation(EngineArbitration &state, bool granted) noexcept
{
    state.kind = granted ? EngineArbitration::Kind::Absent : EngineArbitration::Kind::Exclusive;
}

} // namespace balsamport
