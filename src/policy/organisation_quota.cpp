#include <balsamport/policy/organisation_quota.h>

#include <algorithm>
#include <cmath>
#include <limits>

namespace balsamport {

namespace {

constexpr double millisPerSecond = 1000.0;
/// Time constant of the rates: about two rounds of gossip, so that a report describes the time
/// since the one before.
constexpr double usageTimeConstantSeconds = 1.0;
/// Time constant of the usual demand: longer than most bursts, and long enough that an organisation
/// with few requests has one at each data centre.
constexpr double usualTimeConstantSeconds = 15.0;
/// Time over which an unused bucket is spent and a debt is repaid. Shorter than the delay of the
/// reports, it would make all daemons admit and refuse in turns.
constexpr double bucketHorizonSeconds = 2.0;
/// Part of the rate, and number of requests a second, that are added to both demands before a rise
/// is computed, so that single requests of a small organisation are not taken for a rise.
constexpr double riseNoiseShare = 0.05;
constexpr double riseNoiseRequests = 5;
/// A report that is older describes a sender that is cut off or has ended: reports arrive at least
/// every second.
constexpr Millis freshReportAge{1'800};
/// Part of the rate that daemons without reports use together: after a restart of all of them, a
/// burst before it has used the quota of the present window already.
constexpr double shareWithoutReports = 0.3;
/// Debt of a daemon that starts beside others that have just started as well: what was admitted
/// before isn't known to anybody.
constexpr double startDebtInBursts = 2.0;
/// A fleet of unknown size is assumed to have at least this many daemons.
constexpr std::size_t minAssumedDaemons = 8;
constexpr Millis minRetryAfter{200};
constexpr Millis maxRetryAfter{4'000};

double secondsBetween(Millis from, Millis to) noexcept
{
    return static_cast<double>((to - from).count()) / millisPerSecond;
}

double rateAt(const UsageRate &rate, double timeConstantSeconds, Millis now) noexcept
{
    const double elapsed = std::max(secondsBetween(rate.at, now), 0.0);
    return rate.perSecond * std::exp(-elapsed / timeConstantSeconds);
}

/// @param cost negative for a request that is withdrawn
void addCost(UsageRate &rate, double timeConstantSeconds, double cost, Millis now) noexcept
{
    const double perSecond = rateAt(rate, timeConstantSeconds, now) + cost / timeConstantSeconds;
    rate = UsageRate{std::max(perSecond, 0.0), now};
}

bool isFresh(const ReceivedUsage &usage, Millis now) noexcept
{
    return now - usage.observedAt <= freshReportAge;
}

/// @return the demand of another data centre now. Until its next report it is assumed to have risen
/// as the local one has.
double presentDemand(const OrganisationQuota &state, const QuotaLimit &limit,
                     const ReceivedUsage &usage, double localDemand) noexcept
{
    const double noise = limit.perSecond * riseNoiseShare + state.meanCost * riseNoiseRequests;
    const double rise = (localDemand + noise) / (usage.localDemand + noise);
    return usage.report.offeredPerSecond * std::max(rise, 1.0);
}

/// @return what the other visible daemons admit, in units a second
double admittedElsewhere(const OrganisationQuota &state, Millis now) noexcept
{
    double sum = 0;
    for (const auto &[daemon, usage] : state.daemons) {
        sum += isFresh(usage, now) ? usage.report.admittedPerSecond : 0;
    }
    for (const auto &[dataCentre, usage] : state.dataCentres) {
        sum += isFresh(usage, now) ? usage.report.admittedPerSecond : 0;
    }
    return sum;
}

/// @return the offered rate of a daemon that started recently; the average counts the time before
/// the start as well
double offeredSinceStart(const OrganisationQuota &state, const QuotaContext &context,
                         Millis now) noexcept
{
    constexpr double shortestSeconds = 0.5;
    const double seconds = std::max(
            static_cast<double>(context.sinceStart.count()) / millisPerSecond, shortestSeconds);
    return rateAt(state.offered, usageTimeConstantSeconds, now)
            / (1 - std::exp(-seconds / usageTimeConstantSeconds));
}

/// @return the part of 0 to 1 that a hash stands for
double fractionOf(std::uint64_t hash) noexcept
{
    return static_cast<double>(hash)
            / static_cast<double>(std::numeric_limits<std::uint64_t>::max());
}

/// @return the time after which a refused request may be admitted, spread by its hash so that
/// refused callers don't return together
Millis retryDelay(const OrganisationQuota &state, const QuotaLimit &limit, double demand,
                  std::uint64_t requestHash) noexcept
{
    constexpr double shortest = 0.75;
    constexpr double spread = 0.5;
    const double debtSeconds = std::max(-state.level, 0.0) / limit.perSecond;
    const double excessSeconds = std::max(demand / limit.perSecond - 1.0, 0.0);
    const double millis = (debtSeconds + excessSeconds) * millisPerSecond
            * (shortest + spread * fractionOf(requestHash));
    return std::clamp(Millis(static_cast<std::int64_t>(
                              std::min(millis, static_cast<double>(maxRetryAfter.count())))),
                      minRetryAfter, maxRetryAfter);
}

} // namespace

double requestCost(const QuotaLimit &limit, std::optional<std::uint64_t> tokens) noexcept
{
    if (limit.unit == QuotaUnit::Requests) {
        return 1;
    }
    return tokens ? static_cast<double>(*tokens) : limit.plainTokens;
}

UsageReport ownUsage(const OrganisationQuota &state, Millis now) noexcept
{
    return UsageReport{rateAt(state.offered, usageTimeConstantSeconds, now),
                       rateAt(state.admitted, usageTimeConstantSeconds, now),
                       rateAt(state.usual, usualTimeConstantSeconds, now), 0, std::nullopt};
}

UsageReport dataCentreUsage(const OrganisationQuota &state, Millis now) noexcept
{
    UsageReport sum = ownUsage(state, now);
    for (const auto &[daemon, usage] : state.daemons) {
        if (isFresh(usage, now)) {
            sum.offeredPerSecond += usage.report.offeredPerSecond;
            sum.admittedPerSecond += usage.report.admittedPerSecond;
            sum.usualPerSecond += usage.report.usualPerSecond;
        } else {
            sum.silentUsualPerSecond += usage.report.usualPerSecond;
        }
    }
    return sum;
}

double visibleQuotaShare(const OrganisationQuota &state, Millis now) noexcept
{
    const UsageReport local = dataCentreUsage(state, now);
    double visible = local.usualPerSecond;
    double silent = local.silentUsualPerSecond;
    for (const auto &[dataCentre, usage] : state.dataCentres) {
        (isFresh(usage, now) ? visible : silent) += usage.report.usualPerSecond;
        silent += usage.report.silentUsualPerSecond;
    }
    return silent <= 0 ? 1.0 : std::max(visible, 1.0) / (std::max(visible, 1.0) + silent);
}

double fleetDemand(const OrganisationQuota &state, const QuotaLimit &limit, Millis now) noexcept
{
    const double local = dataCentreUsage(state, now).offeredPerSecond;
    double demand = local;
    for (const auto &[dataCentre, usage] : state.dataCentres) {
        demand += isFresh(usage, now) ? presentDemand(state, limit, usage, local) : 0;
    }
    return demand;
}

OrganisationQuota startQuota(const QuotaLimit &limit, Millis startedAt)
{
    OrganisationQuota state;
    state.level = -limit.burst * startDebtInBursts;
    state.filledAt = startedAt;
    return state;
}

void fillBucket(OrganisationQuota &state, const QuotaLimit &limit, Millis now)
{
    if (now <= state.filledAt) {
        return;
    }
    const double share = visibleQuotaShare(state, now);
    const double change = limit.perSecond * share - admittedElsewhere(state, now);
    state.level += change * secondsBetween(state.filledAt, now);
    // Daemons that can't be seen may spend the burst as well.
    state.level = std::min(state.level, share < 1 ? 0.0 : limit.burst);
    state.filledAt = now;
}

QuotaDecision admitRequest(OrganisationQuota &state, const QuotaLimit &limit,
                           const QuotaContext &context, double cost, std::uint64_t requestHash,
                           Millis now)
{
    fillBucket(state, limit, now);
    addCost(state.offered, usageTimeConstantSeconds, cost, now);
    if (visibleQuotaShare(state, now) < 1) {
        state.usual.at = now; // Shares don't change while a part of the fleet can't learn of it.
    } else {
        addCost(state.usual, usualTimeConstantSeconds, cost, now);
    }
    constexpr double newestCostWeight = 0.1;
    state.meanCost += (cost - state.meanCost) * (state.meanCost == 0 ? 1.0 : newestCostWeight);
    QuotaDecision decision;
    decision.demand = std::max(fleetDemand(state, limit, now), cost);
    const double allowed
            = limit.perSecond * visibleQuotaShare(state, now) + state.level / bucketHorizonSeconds;
    decision.probability = std::clamp(allowed / decision.demand, 0.0, 1.0);
    if (context.daemonsWithoutReports != 0) {
        const auto daemons
                = static_cast<double>(std::max(context.daemonsWithoutReports, minAssumedDaemons));
        decision.probability
                = std::min(decision.probability,
                           limit.perSecond * shareWithoutReports / daemons
                                   / std::max(offeredSinceStart(state, context, now), cost));
    }
    decision.admitted = fractionOf(requestHash) <= decision.probability;
    if (decision.admitted) {
        addCost(state.admitted, usageTimeConstantSeconds, cost, now);
        state.level -= cost;
    } else {
        decision.retryAfter = retryDelay(state, limit, decision.demand, requestHash);
    }
    return decision;
}

void countFurtherRun(OrganisationQuota &state, const QuotaLimit &limit, double cost, Millis now)
{
    fillBucket(state, limit, now);
    addCost(state.admitted, usageTimeConstantSeconds, cost, now);
    state.level -= cost;
}

void returnUnits(OrganisationQuota &state, const QuotaLimit &limit, double cost, Millis now)
{
    fillBucket(state, limit, now);
    addCost(state.admitted, usageTimeConstantSeconds, -cost, now);
    state.level = std::min(state.level + cost, limit.burst);
}

void applyDaemonReport(OrganisationQuota &state, const QuotaLimit &limit, const VmId &daemon,
                       const UsageReport &report, Millis now)
{
    fillBucket(state, limit, now);
    state.daemons[daemon] = ReceivedUsage{report, now, 0};
    if (state.levelAssumed && report.bucketLevel) {
        state.level = std::min(*report.bucketLevel, limit.burst);
        state.levelAssumed = false;
    }
}

void applyDataCentreReport(OrganisationQuota &state, const QuotaLimit &limit,
                           const DataCentreId &dataCentre, const UsageReport &report, Millis age,
                           Millis now)
{
    const auto known = state.dataCentres.find(dataCentre);
    if (known != state.dataCentres.end() && now - age < known->second.observedAt) {
        return;
    }
    fillBucket(state, limit, now);
    state.dataCentres[dataCentre]
            = ReceivedUsage{report, now - age, dataCentreUsage(state, now).offeredPerSecond};
}

void applyLimit(OrganisationQuota &state, const QuotaLimit &limit, Millis now)
{
    fillBucket(state, limit, now);
    state.level = std::min(state.level, limit.burst);
}

void discardUnusedUnits(OrganisationQuota &state, Millis now) noexcept
{
    state.level = std::min(state.level, 0.0);
    state.filledAt = now;
}

} // namespace balsamport
