#include <balsamport/policy/link_budget.h>

#include <algorithm>
#include <cmath>

namespace balsamport {

namespace {

constexpr double burstSeconds = 20; ///< Unused bytes of this time accumulate.
constexpr double millisPerSecond = 1'000;

double availableBytes(const LinkBudget &budget, Millis now) noexcept
{
    const auto elapsed = static_cast<double>((now - budget.filledAt).count());
    const double gained = std::max(elapsed, 0.0) * budget.bytesPerSecond / millisPerSecond;
    return std::min(budget.left + gained, budget.capacity);
}

} // namespace

void setLinkShare(LinkBudget &budget, std::uint64_t fleetBytesPerSecond, std::uint32_t vmCount,
                  Millis now) noexcept
{
    const bool first = budget.capacity == 0;
    budget.left = availableBytes(budget, now);
    budget.filledAt = now;
    budget.bytesPerSecond = static_cast<double>(fleetBytesPerSecond) / std::max(vmCount, 1U);
    budget.capacity = budget.bytesPerSecond * burstSeconds;
    budget.left = first ? budget.bytesPerSecond : std::min(budget.left, budget.capacity);
}

bool takeLinkBytes(LinkBudget &budget, std::uint64_t bytes, Millis now) noexcept
{
    const double available = availableBytes(budget, now);
    const auto wanted = static_cast<double>(bytes);
    if (available < wanted) {
        return false;
    }
    budget.left = available - wanted;
    budget.filledAt = std::max(budget.filledAt, now);
    return true;
}

std::uint64_t linkBytesLeft(const LinkBudget &budget, Millis now) noexcept
{
    return static_cast<std::uint64_t>(availableBytes(budget, now));
}

Millis linkWait(const LinkBudget &budget, std::uint64_t bytes, Millis now) noexcept
{
    const double missing = static_cast<double>(bytes) - availableBytes(budget, now);
    if (missing <= 0 || budget.bytesPerSecond <= 0) {
        return Millis(0);
    }
    return Millis(static_cast<std::int64_t>(
            std::ceil(missing * millisPerSecond / budget.bytesPerSecond)));
}

} // namespace balsamport
