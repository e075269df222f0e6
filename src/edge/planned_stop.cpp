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
/// Requests after which their durations are an estimate: a seldom-used route has as many within
/// minutes.
constexpr std::size_t minDurations = 8;
/// Part of the requests that end within the expected duration, in hundredths.
constexpr std::size_t quantilePercent = 95;
constexpr std::size_t percent = 100;

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

bool canEndInTime(const StopPlan &plan, std::optional<Millis> expected, Millis deadlineAt,
                  Millis now) noexcept
{
    const Millis endAt = expected ? std::min(now + *expected, deadlineAt) : deadlineAt;
    return endAt <= plan.answerAt;
}

void recordDuration(RecentDurations &durations, Millis duration) noexcept
{
    durations.ring[durations.recorded % RecentDurations::capacity] = duration;
    ++durations.recorded;
}

std::optional<Millis> expectedDuration(const RecentDurations &durations)
{
    const std::size_t count = std::min(durations.recorded, RecentDurations::capacity);
    if (count < minDurations) {
        return std::nullopt;
    }
    std::array<Millis, RecentDurations::capacity> sorted = durations.ring;
    const auto end = sorted.begin() + static_cast<std::ptrdiff_t>(count);
    std::sort(sorted.begin(), end);
    return sorted[(count * quantilePercent + percent - 1) / percent - 1];
}

} // namespace balsamport
