#include <balsamport/policy/link_budget.h>

#include <algorithm>
#include <cmath>

namespace balsamport {

namespace {

constexpr double gatherSeconds = 20; ///< How many seconds' bytes may gather unused.
constexpr double millisPerSecond = 1'000;

double filled(const LinkBudget &budget, Millis now) noexcept
{
    const auto elapsed = static_cast<double>((now - budget.filledAt).count());
    const double gained = std::max(elapsed, 0.0) * budget.bytesPerSecond / millisPerSecond;
    return std::min(budget.left + gained, budget.capacity);
}

} // namespace

void setLinkShare(LinkBudget &budget, std::uint64_t fleetBytesPerSecond, std::uint32_t sharers,
                  Millis now) noexcept
{
    const bool first = budget.capacity == 0;
    budget.left = filled(budget, now);
    budget.filledAt = now;
    budget.bytesPerSecond = static_cast<double>(fleetBytesPerSecond) / std::max(sharers, 1U);
    budget.capacity = budget.bytesPerSecond * gatherSeconds;
    budget.left = first ? budget.bytesPerSecond : std::min(budget.left, budget.capacity);
}

bool takeLinkBytes(LinkBudget &budget, std::uint64_t bytes, Millis now) noexcept
{
    const double there = filled(budget, now);
    const auto wanted = static_cast<double>(bytes);
    if (there < wanted) {
        return false;
    }
    budget.left = there - wanted;
    budget.filledAt = std::max(budget.filledAt, now);
    return true;
}

std::uint64_t linkBytesLeft(const LinkBudget &budget, Millis now) noexcept
{
    return static_cast<std::uint64_t>(filled(budget, now));
}

Millis linkWait(const LinkBudget &budget, std::uint64_t bytes, Millis now) noexcept
{
    const double missing = static_cast<double>(bytes) - filled(budget, now);
    if (missing <= 0 || budget.bytesPerSecond <= 0) {
        return Millis(0);
    }
    return Millis(static_cast<std::int64_t>(
            std::ceil(missing * millisPerSecond / budget.bytesPerSecond)));
}

} // namespace balsamport
