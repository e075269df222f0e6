#include <balsamport/core/clock.h>

#include <ctime>

namespace balsamport {

namespace {

constexpr std::int64_t millisPerSecond = 1000;
constexpr std::int64_t nanosPerMilli = 1'000'000;

Millis readClock(clockid_t clock) noexcept
{
    timespec time{};
    clock_gettime(clock, &time);
    return Millis(time.tv_sec * millisPerSecond + time.tv_nsec / nanosPerMilli);
}

} // namespace

Millis monotonicNow() noexcept
{
    return readClock(CLOCK_BOOTTIME);
}

Millis wallNow() noexcept
{
    return readClock(CLOCK_REALTIME);
}

} // namespace balsamport
