#ifndef BALSAMPORT_POLICY_ORGANISATION_QUOTA_H
#define BALSAMPORT_POLICY_ORGANISATION_QUOTA_H

#include <balsamport/core/clock.h>
#include <balsamport/core/ids.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

/// @file
/// Quotas of organisations that hold for all daemons together, without a coordinator.
///
/// Answers the load of one organisation that sends many times its quota through all daemons at
/// once. Each daemon admits by itself, with a probability that follows from the quota and from the
/// demand that all daemons report to each other. A token bucket of the whole fleet, kept by each
/// daemon from the same reports, corrects what was admitted while the reports were stale. Daemons
/// that a cut separates divide the rate by their usual demand before the cut.

namespace balsamport {

/// @brief What an organisation's quota counts.
enum class QuotaUnit : std::uint8_t {
    Requests,
    Tokens,
};

/// @brief The quota of an organisation over all daemons, in its unit.
struct QuotaLimit
{
    QuotaUnit unit = QuotaUnit::Requests;
    double perSecond = 0; ///< Above 0.
    double burst = 0;
    double plainTokens = 0; ///< Cost of a request that states no tokens.

    bool operator==(const QuotaLimit &) const = default;
};

/// @return the cost of a request in the unit of the quota
/// @param tokens that the request states, prompt and output; nothing if it states none
[[nodiscard]] double requestCost(const QuotaLimit &limit,
                                 std::optional<std::uint64_t> tokens) noexcept;

/// @brief Units a second, as an exponentially weighted average.
struct UsageRate
{
    double perSecond = 0; ///< At the time `at`.
    Millis at;

    bool operator==(const UsageRate &) const = default;
};

/// @brief What a daemon, or a data centre as the sum of its daemons, states about an organisation.
struct UsageReport
{
    double offeredPerSecond = 0; ///< All requests.
    double admittedPerSecond = 0; ///< Those within the quota.
    double usualPerSecond = 0; ///< Offered, averaged over a longer time.
    /// The usual demand of daemons from which the sender receives no reports any more.
    double silentUsualPerSecond = 0;
    /// Level of the sender's bucket, for daemons that have just started; nothing while the sender
    /// has just started itself.
    std::optional<double> bucketLevel;

    bool operator==(const UsageReport &) const = default;
};

/// @brief A report as it was received.
struct ReceivedUsage
{
    UsageReport report;
    Millis observedAt; ///< When its sender measured it, on this daemon's clock.
    /// Demand of the own data centre at the receipt, to detect that demand has risen since.
    double localDemand = 0;

    bool operator==(const ReceivedUsage &) const = default;
};

/// @brief What a daemon knows of an organisation's use of its quota.
struct OrganisationQuota
{
    UsageRate offered; ///< At this daemon.
    UsageRate admitted; ///< At this daemon.
    UsageRate usual; ///< Offered at this daemon, averaged over a longer time.
    std::map<VmId, ReceivedUsage> daemons; ///< The others of the own data centre.
    std::map<DataCentreId, ReceivedUsage> dataCentres; ///< The other data centres.
    double level = 0; ///< Of the fleet's token bucket; negative after too much was admitted.
    Millis filledAt; ///< Time of the level.
    bool levelAssumed = true; ///< No daemon that has run for longer has reported its level yet.
    double meanCost = 0; ///< Of this daemon's requests, weighted to the newest.

    bool operator==(const OrganisationQuota &) const = default;
};

/// @brief What limits a daemon that doesn't know the demand of the others.
struct QuotaContext
{
    /// Number of daemons among which the rate is divided while their reports are missing or stale;
    /// 0 once they are current.
    std::size_t daemonsWithoutReports = 0;
    Millis sinceStart{0}; ///< Since the start, or the end of a pause, while reports are missing.

    bool operator==(const QuotaContext &) const = default;
};

/// @brief Decision about a request of an organisation.
struct QuotaDecision
{
    bool admitted = true;
    double probability = 1; ///< With which a request is admitted now.
    double demand = 0; ///< Units a second that the whole fleet is offered.
    Millis retryAfter{0}; ///< Of a refusal: time after which the request may be admitted.

    bool operator==(const QuotaDecision &) const = default;
};

/// Reports of peers are missing or stale for at most this long after a start or a pause: two rounds
/// of gossip between data centres.
constexpr Millis quotaReportDelay{2'000};

/// @brief Begins to count the use of a quota at the start of the daemon.
[[nodiscard]] OrganisationQuota startQuota(const QuotaLimit &limit, Millis startedAt);

/// @brief Decides whether a request is within its organisation's quota, and counts it.
/// @param requestHash decides which requests are refused; equal for equal requests
/// @complexity linear in the daemons of the data centre and in the data centres
[[nodiscard]] QuotaDecision admitRequest(OrganisationQuota &state, const QuotaLimit &limit,
                                         const QuotaContext &context, double cost,
                                         std::uint64_t requestHash, Millis now);

/// @brief Counts a further run of a request that was admitted before.
void countFurtherRun(OrganisationQuota &state, const QuotaLimit &limit, double cost, Millis now);

/// @brief Returns the units of an admitted request that hasn't run.
void returnUnits(OrganisationQuota &state, const QuotaLimit &limit, double cost, Millis now);

/// @brief Fills the bucket to the present time. Call before reports change, and at least every
/// second: the bucket is drained by the rates that are known.
void fillBucket(OrganisationQuota &state, const QuotaLimit &limit, Millis now);

/// @brief Applies a report of another daemon of the own data centre.
void applyDaemonReport(OrganisationQuota &state, const QuotaLimit &limit, const VmId &daemon,
                       const UsageReport &report, Millis now);

/// @brief Applies the report of another data centre, unless a newer one is known.
/// @param age of the report
void applyDataCentreReport(OrganisationQuota &state, const QuotaLimit &limit,
                           const DataCentreId &dataCentre, const UsageReport &report, Millis age,
                           Millis now);

/// @brief Applies a new limit: a bucket that holds more than the new burst is emptied to it.
void applyLimit(OrganisationQuota &state, const QuotaLimit &limit, Millis now);

/// @brief Discards unused units after a pause of the process, in which the others may have used
/// them.
void discardUnusedUnits(OrganisationQuota &state, Millis now) noexcept;

/// @return the usage of this daemon alone
[[nodiscard]] UsageReport ownUsage(const OrganisationQuota &state, Millis now) noexcept;

/// @return the usage of this daemon and of the others of its data centre
[[nodiscard]] UsageReport dataCentreUsage(const OrganisationQuota &state, Millis now) noexcept;

/// @return the part of the rate that this daemon and those that it receives reports from may use,
/// above 0 and at most 1
[[nodiscard]] double visibleQuotaShare(const OrganisationQuota &state, Millis now) noexcept;

/// @return units a second that the visible daemons are offered
[[nodiscard]] double fleetDemand(const OrganisationQuota &state, const QuotaLimit &limit,
                                 Millis now) noexcept;

} // namespace balsamport

#endif
