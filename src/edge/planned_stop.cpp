#include <balsamport/edge/planned_stop.h>

#include <algorithm>

namespace balsamport {

namespace {

/// What is in progress gets its final response within the last sixth of the grace: until then the
/// platform lets servers work on it.
constexpr std::int64_t answerMarginDivisor = 6;
/// Responses are written within milliseconds; a longer margin would only end more requests.
constexpr Millis maxAnswerMargin{1'000};
/// The process ends in the middle of the margin: the first half is for the writing of the final
/// responses, the second one for the end of its threads.
constexpr std::int64_t exitMarginDivisor = 2;
/// An open connection of a caller may carry another request within this time of the last one.
constexpr Millis maxIdleTime{400};
/// Part of the grace that an idle daemon may spend waiting for that.
constexpr std::int64_t idleTimeDivisor = 15;

} // namespace

StopPlan planStop(Millis grace, Millis balancerDrainTime, Millis now) noexcept
{
    const Millis margin = std::min(grace / answerMarginDivisor, maxAnswerMargin);
    StopPlan plan;
    plan.startedAt = now;
    plan.answerAt = now + grace - margin;
    plan.admitUntil = std::min(now + balancerDrainTime, plan.answerAt);
    plan.exitAt = now + grace - margin / exitMarginDivisor;
    plan.idleTime = std::min(grace / idleTimeDivisor, maxIdleTime);
    return plan;
}

} // namespace balsamport
