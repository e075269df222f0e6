#ifndef BALSAMPORT_CORE_CLOCK_H
#define BALSAMPORT_CORE_CLOCK_H

#include <compare>
#include <cstdint>
#include <ostream>

namespace balsamport {

/// @brief A time point or a duration, in milliseconds.
///
/// A time point counts from the epoch of the clock that was read; time points of the monotonic
/// clock and of the wall clock must not be mixed. Policy functions receive the time as an argument.
///
/// Example: `const Millis deadline = monotonicNow() + Millis(250);`
class Millis
{
public:
    constexpr Millis() noexcept = default;
    constexpr explicit Millis(std::int64_t count) noexcept
        : value(count)
    { }

    /// @return the number of milliseconds; never throws; constant complexity
    [[nodiscard]] constexpr std::int64_t count() const noexcept { return this->value; }

    constexpr auto operator<=>(const Millis &) const noexcept = default;

    friend constexpr Millis operator+(Millis a, Millis b) noexcept
    {
        return Millis(a.value + b.value);
    }
    friend constexpr Millis operator-(Millis a, Millis b) noexcept
    {
        return Millis(a.value - b.value);
    }
    friend constexpr Millis operator*(Millis a, std::int64_t factor) noexcept
    {
        return Millis(a.value * factor);
    }
    friend constexpr Millis operator/(Millis a, std::int64_t divisor) noexcept
    {
        return Millis(a.value / divisor);
    }
    constexpr Millis &operator+=(Millis other) noexcept
    {
        this->value += other.value;
        return *this;
    }
    friend std::ostream &operator<<(std::ostream &out, Millis time)
    {
        return out << time.value << "ms";
    }

private:
    std::int64_t value = 0;
};

static_assert(sizeof(Millis) == sizeof(std::int64_t));

/// @brief Reads the monotonic clock, which also advances while the process is stopped or the
/// machine is suspended.
/// @return milliseconds since the machine started (CLOCK_BOOTTIME)
[[nodiscard]] Millis monotonicNow() noexcept;

/// @brief Reads the wall clock.
/// @return milliseconds since 1970-01-01 UTC; may jump when the clock is set
[[nodiscard]] Millis wallNow() noexcept;

} // namespace balsamport

#endif
