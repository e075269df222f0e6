#include <balsamport/policy/fleet_rate_limit.h>

namespace balsamport {

bool applyReport(KnownRateLimit &known, const RateLimitReport &report, Millis now)
{
    switch (report.kind) {
    case RateLimitReport::Kind::None:
    case RateLimitReport::Kind::Malformed:
        return false;
    case RateLimitReport::Kind::Unlimited:
        return known.perSecond && mergeRateLimit(known, KnownRateLimit{std::nullopt, now});
    case RateLimitReport::Kind::Limited:
        return mergeRateLimit(known, KnownRateLimit{report.perSecond, now});
    }
    return false;
}

bool mergeRateLimit(KnownRateLimit &known, const KnownRateLimit &received)
{
    if (received.observedAt < known.observedAt) {
        return false;
    }
    const bool changed = received.perSecond != known.perSecond;
    known = received;
    return changed;
}

} // namespace balsamport
