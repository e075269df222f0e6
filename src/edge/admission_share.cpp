#include <balsamport/edge/admission_share.h>

#include <algorithm>

namespace balsamport {

namespace {

/// Work that waits for longer is late. Source: a VM with a quota of processor time does nothing for
/// the rest of a tenth of a second once it has used the quota.
constexpr Millis lateDelay{100};
/// An overloaded daemon admits nothing while work has waited for longer.
constexpr Millis maxDelay{400};
constexpr Millis updateInterval{100};
constexpr double decrease = 0.85; ///< Factor at each interval with late work.
constexpr double increase = 0.05; ///< Added at each interval without.
constexpr double minShare = 0.05;
/// After this time without requests everything is admitted again.
constexpr Millis idleTime{3'000};

} // namespace

bool admitRequest(AdmissionShare &state, Millis delay, Millis now)
{
    if (now - state.updatedAt >= idleTime) {
        state = AdmissionShare{1, 0, now, false, false};
    }
    if (now - state.updatedAt >= updateInterval) {
        const bool isLate = delay > lateDelay;
        // A single long task, such as parsing a configuration, is no overload.
        state.isOverloaded = isLate && state.wasLate;
        const double next = state.isOverloaded ? state.share * decrease
                : isLate                       ? state.share
                                               : state.share + increase;
        state.share = std::clamp(next, minShare, 1.0);
        state.wasLate = isLate;
        state.updatedAt = now;
    }
    if (state.isOverloaded && delay > maxDelay) {
        return false;
    }
    state.owed = std::min(state.owed + state.share, 1.0);
    if (state.owed < 1) {
        return false;
    }
    state.owed -= 1;
    return true;
}

} // namespace balsamport
