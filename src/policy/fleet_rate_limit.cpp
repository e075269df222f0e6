#include <balsamport/policy/fleet_rate_limit.h>

#include <balsamport/core/rendezvous.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace balsamport {

namespace {

constexpr double millisPerSecond = 1000.0;
/// Retry-After where no permit will ever be available in the present view.
constexpr Millis unknownWait{1'000};

bool isAlive(const std::vector<PermitMember> &members, const VmId &vm)
{
    return std::any_of(members.begin(), members.end(), [&vm](const PermitMember &member) {
        return member.vm == vm && member.alive;
    });
}

/// @return the most permits that a bucket holds: with one only, the time until the next request
/// arrives would be lost to all later ones
double bucketSize(double perSecond) noexcept
{
    constexpr double minSize = 2;
    return std::max(minSize,
                    perSecond * static_cast<double>(permitAccrualTime.count()) / millisPerSecond);
}

} // namespace

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

void updateMembers(PermitGroup &group, std::vector<PermitMember> members, Millis now)
{
    const bool appeared
            = std::any_of(members.begin(), members.end(), [&group](const PermitMember &member) {
                  return member.alive && !isAlive(group.members, member.vm);
              });
    const bool fellSilent
            = std::any_of(members.begin(), members.end(), [&group](const PermitMember &member) {
                  return !member.alive && isAlive(group.members, member.vm);
              });
    if (appeared || fellSilent) {
        group.changedAt = now;
    }
    group.members = std::move(members);
}

std::optional<VmId> permitIssuer(const PermitGroup &group, std::string_view server)
{
    std::vector<VmId> alive;
    for (const PermitMember &member : group.members) {
        if (member.alive) {
            alive.push_back(member.vm);
        }
    }
    return rendezvousFirst(server, alive);
}

double visibleShare(const PermitGroup &group)
{
    const auto alive = std::count_if(group.members.begin(), group.members.end(),
                                     [](const PermitMember &member) { return member.alive; });
    return group.members.empty()
            ? 0.0
            : static_cast<double>(alive) / static_cast<double>(group.members.size());
}

double permitRate(double perSecond, double share) noexcept
{
    return std::max(perSecond, minRequestsPerSecond) * share;
}

void startIssuing(PermitBucket &bucket, Millis from) noexcept
{
    bucket.permits = 0;
    bucket.filledUntil = from;
}

void fillPermits(PermitBucket &bucket, double perSecond, Millis now) noexcept
{
    if (now > bucket.filledUntil) {
        const auto elapsed = static_cast<double>((now - bucket.filledUntil).count());
        bucket.permits += perSecond * elapsed / millisPerSecond;
        bucket.filledUntil = now;
    }
    bucket.permits = std::min(bucket.permits, bucketSize(perSecond));
}

bool tryTakePermit(PermitBucket &bucket, double perSecond, Millis now) noexcept
{
    fillPermits(bucket, perSecond, now);
    if (bucket.permits < 1) {
        return false;
    }
    bucket.permits -= 1;
    return true;
}

std::optional<Millis> permitAvailableAt(const PermitBucket &bucket, double perSecond,
                                        std::size_t others) noexcept
{
    const double missing = static_cast<double>(others) + 1 - bucket.permits;
    if (missing <= 0) {
        return bucket.filledUntil;
    }
    if (perSecond <= 0) {
        return std::nullopt;
    }
    return bucket.filledUntil
            + Millis(static_cast<std::int64_t>(std::ceil(missing / perSecond * millisPerSecond)));
}

PermitDecision decidePermit(PermitBucket &bucket, const PermitGroup &group, const VmId &self,
                            std::string_view server, double perSecond, Millis now)
{
    if (permitIssuer(group, server) != self) {
        bucket = PermitBucket();
        return PermitDecision{PermitDecision::Kind::NotIssuer, Millis(0)};
    }
    if (bucket.filledUntil < Millis(0)) {
        startIssuing(bucket, std::max(now, group.changedAt + permitHandover));
    }
    const double rate = permitRate(perSecond, visibleShare(group));
    if (tryTakePermit(bucket, rate, now)) {
        return PermitDecision{PermitDecision::Kind::Issued, Millis(0)};
    }
    const std::optional<Millis> availableAt = permitAvailableAt(bucket, rate, 0);
    return PermitDecision{PermitDecision::Kind::Exhausted,
                          availableAt ? *availableAt - now : unknownWait};
}

} // namespace balsamport
