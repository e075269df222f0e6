#include "quota_controller.h"

#include <balsamport/core/hash.h>
#include <balsamport/core/metric_names.h>

#include <fmt/format.h>

#include <utility>

namespace balsamport {

namespace {

/// Part of a quota below which the use of it is not reported.
constexpr double minReportedUse = 0.001;
/// The end of an organisation's use is reported for this long, so that one lost message hides it
/// from nobody.
constexpr Millis reportedAfterUse{5'000};
constexpr Millis logInterval{2'000};
/// Part of a quota from which its state is logged.
constexpr double minLoggedUse = 0.7;

wire::OrganisationUsage toWire(const OrganisationId &organisation, const UsageReport &report)
{
    wire::OrganisationUsage message;
    message.set_organisation(organisation.str());
    message.set_offered_per_second(static_cast<float>(report.offeredPerSecond));
    message.set_admitted_per_second(static_cast<float>(report.admittedPerSecond));
    message.set_usual_per_second(static_cast<float>(report.usualPerSecond));
    message.set_silent_usual_per_second(static_cast<float>(report.silentUsualPerSecond));
    if (report.bucketLevel) {
        message.set_bucket_level(static_cast<float>(*report.bucketLevel));
    }
    return message;
}

UsageReport fromWire(const wire::OrganisationUsage &message)
{
    return UsageReport{message.offered_per_second(), message.admitted_per_second(),
                       message.usual_per_second(), message.silent_usual_per_second(),
                       message.has_bucket_level() ? std::optional<double>(message.bucket_level())
                                                  : std::nullopt};
}

} // namespace

QuotaController::QuotaController(EdgeContext &owner, EdgeState &edgeState,
                                 PeerController &peerController)
    : context(owner)
    , state(edgeState)
    , peers(peerController)
    , startedAt(monotonicNow())
{ }

const QuotaLimit *QuotaController::limitOf(const OrganisationId &organisation) const
{
    return organisation.empty() || !this->state.config
            ? nullptr
            : findQuota(this->state.config->organisations, organisation);
}

OrganisationQuota &QuotaController::quotaOf(const OrganisationId &organisation,
                                            const QuotaLimit &limit)
{
    const auto known = this->quotas.find(organisation);
    return known != this->quotas.end()
            ? known->second
            : this->quotas.emplace(organisation, startQuota(limit, this->startedAt)).first->second;
}

QuotaContext QuotaController::contextOf(const OrganisationQuota &quota, Millis now) const
{
    const bool isStarting = quota.levelAssumed && now - this->startedAt < quotaReportDelay;
    return isStarting ? QuotaContext{this->peers.table().peers.size() + 1, now - this->startedAt}
                      : QuotaContext{};
}

std::optional<Millis> QuotaController::refuseOverQuota(const OrganisationId &organisation,
                                                       std::optional<std::uint64_t> statedTokens,
                                                       const RequestId &request,
                                                       QuotaCharge &charge)
{
    const QuotaLimit *limit = this->limitOf(organisation);
    if (limit == nullptr) {
        return std::nullopt;
    }
    const Millis now = monotonicNow();
    const double cost = requestCost(*limit, statedTokens);
    OrganisationQuota &quota = this->quotaOf(organisation, *limit);
    const QuotaDecision decision = admitRequest(quota, *limit, this->contextOf(quota, now), cost,
                                                hash64(request.str()), now);
    this->context.metrics
            .counter(metric::edgeQuotaRequests, decision.admitted ? "admitted" : "refused")
            .add();
    if (decision.admitted) {
        charge = QuotaCharge{organisation, cost};
        return std::nullopt;
    }
    this->context.log.write(EventPriority::Routine, "quota_refused",
                            {{"request", request.str()},
                             {"organisation", organisation.str()},
                             {"cost", fmt::format("{:.0f}", cost)},
                             {"rate", fmt::format("{:.0f}", limit->perSecond)},
                             {"demand", fmt::format("{:.0f}", decision.demand)},
                             {"level", fmt::format("{:.0f}", quota.level)},
                             {"probability", fmt::format("{:.3f}", decision.probability)},
                             {"retry_after_ms", decision.retryAfter}});
    return decision.retryAfter;
}

void QuotaController::chargeAgain(const QuotaCharge &charge)
{
    if (const QuotaLimit *limit = this->limitOf(charge.organisation)) {
        countFurtherRun(this->quotaOf(charge.organisation, *limit), *limit, charge.cost,
                        monotonicNow());
    }
}

void QuotaController::returnCharge(const QuotaCharge &charge, const RequestId &request)
{
    const QuotaLimit *limit = this->limitOf(charge.organisation);
    if (limit == nullptr) {
        return;
    }
    returnUnits(this->quotaOf(charge.organisation, *limit), *limit, charge.cost, monotonicNow());
    this->context.metrics.counter(metric::edgeQuotaRequests, "returned").add();
    this->context.log.write(EventPriority::Routine, "quota_returned",
                            {{"request", request.str()},
                             {"organisation", charge.organisation.str()},
                             {"cost", fmt::format("{:.0f}", charge.cost)}});
}

void QuotaController::applyConfig()
{
    const Millis now = monotonicNow();
    std::erase_if(this->quotas,
                  [this](const auto &entry) { return this->limitOf(entry.first) == nullptr; });
    for (auto &[organisation, quota] : this->quotas) {
        applyLimit(quota, *this->limitOf(organisation), now);
    }
}

void QuotaController::removeUnknownReporters(OrganisationQuota &quota) const
{
    const PeerTable &table = this->peers.table();
    std::erase_if(quota.daemons,
                  [&table](const auto &entry) { return table.peers.count(entry.first) == 0; });
    std::set<DataCentreId> dataCentres;
    for (const auto &[vm, peer] : table.peers) {
        dataCentres.insert(peer.dataCentre);
    }
    std::erase_if(quota.dataCentres, [&dataCentres](const auto &entry) {
        return dataCentres.count(entry.first) == 0;
    });
}

void QuotaController::update(Millis now)
{
    for (auto &[organisation, quota] : this->quotas) {
        const QuotaLimit *limit = this->limitOf(organisation);
        if (limit != nullptr) {
            this->removeUnknownReporters(quota);
            fillBucket(quota, *limit, now);
            this->context.metrics.gauge(metric::edgeQuotaUse, organisation.str())
                    .set(fleetDemand(quota, *limit, now) / limit->perSecond);
        }
    }
    if (now - this->loggedAt >= logInterval) {
        this->loggedAt = now;
        this->logState(now);
    }
}

void QuotaController::logState(Millis now)
{
    for (const auto &[organisation, quota] : this->quotas) {
        const QuotaLimit *limit = this->limitOf(organisation);
        const double demand = limit == nullptr ? 0 : fleetDemand(quota, *limit, now);
        if (limit == nullptr || demand < minLoggedUse * limit->perSecond) {
            continue;
        }
        this->context.log.write(
                EventPriority::Notable, "quota_state",
                {{"organisation", organisation.str()},
                 {"rate", fmt::format("{:.0f}", limit->perSecond)},
                 {"demand", fmt::format("{:.0f}", demand)},
                 {"level", fmt::format("{:.0f}", quota.level)},
                 {"visible_share", fmt::format("{:.3f}", visibleQuotaShare(quota, now))},
                 {"own_admitted", fmt::format("{:.0f}", ownUsage(quota, now).admittedPerSecond)}});
    }
}

void QuotaController::handlePause(Millis now)
{
    this->startedAt = now;
    for (auto &[organisation, quota] : this->quotas) {
        discardUnusedUnits(quota, now);
        quota.levelAssumed = true;
    }
}

void QuotaController::addToGossip(wire::EdgeGossip &gossip, bool forDataCentre)
{
    const Millis now = monotonicNow();
    wire::DataCentreUsage dataCentre;
    for (auto &[organisation, quota] : this->quotas) {
        const QuotaLimit *limit = this->limitOf(organisation);
        if (limit == nullptr) {
            continue;
        }
        fillBucket(quota, *limit, now);
        UsageReport own = ownUsage(quota, now);
        const UsageReport sum = dataCentreUsage(quota, now);
        if (sum.offeredPerSecond > minReportedUse * limit->perSecond) {
            this->reportedAt[organisation] = now;
        }
        const auto reported = this->reportedAt.find(organisation);
        if (reported == this->reportedAt.end() || now - reported->second > reportedAfterUse) {
            continue;
        }
        if (this->contextOf(quota, now).daemonsWithoutReports == 0) {
            own.bucketLevel = quota.level;
        }
        *gossip.add_usages() = toWire(organisation, own);
        *dataCentre.add_usages() = toWire(organisation, sum);
    }
    if (forDataCentre && dataCentre.usages_size() > 0) {
        dataCentre.set_data_centre(this->context.settings.location.dataCentre.str());
        *gossip.add_data_centre_usages() = std::move(dataCentre);
    }
}

void QuotaController::applyGossip(const VmId &peer, const wire::EdgeGossip &gossip)
{
    const Millis now = monotonicNow();
    const DataCentreId &ownDataCentre = this->context.settings.location.dataCentre;
    if (DataCentreId(gossip.self().data_centre()) == ownDataCentre) {
        for (const wire::OrganisationUsage &usage : gossip.usages()) {
            const OrganisationId organisation(usage.organisation());
            if (const QuotaLimit *limit = this->limitOf(organisation)) {
                applyDaemonReport(this->quotaOf(organisation, *limit), *limit, peer,
                                  fromWire(usage), now);
            }
        }
    }
    for (const wire::DataCentreUsage &message : gossip.data_centre_usages()) {
        const DataCentreId dataCentre(message.data_centre());
        if (dataCentre == ownDataCentre) {
            continue; // Its daemons report themselves.
        }
        for (const wire::OrganisationUsage &usage : message.usages()) {
            const OrganisationId organisation(usage.organisation());
            if (const QuotaLimit *limit = this->limitOf(organisation)) {
                applyDataCentreReport(this->quotaOf(organisation, *limit), *limit, dataCentre,
                                      fromWire(usage), Millis(message.age_ms()), now);
            }
        }
    }
}

} // namespace balsamport
