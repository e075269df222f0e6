#ifndef BALSAMPORT_EDGE_QUOTA_CONTROLLER_H
#define BALSAMPORT_EDGE_QUOTA_CONTROLLER_H

#include "edge_state.h"
#include "peer_controller.h"

#include <balsamport/policy/organisation_quota.h>

#include <map>
#include <optional>
#include <set>

namespace balsamport {

/// @brief Units of a quota that a request was charged.
struct QuotaCharge
{
    OrganisationId organisation; ///< Empty for a request without a quota.
    double cost = 0;

    bool operator==(const QuotaCharge &) const = default;
};

/// @brief Admits requests within the quotas of their organisations, and exchanges the use of the
/// quotas with the other daemons.
class QuotaController
{
public:
    QuotaController(EdgeContext &context, EdgeState &state, PeerController &peers);

    /// @brief Decides whether a request is within the quota of its organisation.
    /// @param charge set for an admitted request that counts
    /// @return the time after which a refused request may be admitted; nothing for an admitted one
    [[nodiscard]] std::optional<Millis> refuseOverQuota(const OrganisationId &organisation,
                                                        std::optional<std::uint64_t> statedTokens,
                                                        const RequestId &request,
                                                        QuotaCharge &charge);

    /// @brief Counts another run of a request that was admitted.
    void chargeAgain(const QuotaCharge &charge);

    /// @brief Returns the units of a request that hasn't run.
    void returnCharge(const QuotaCharge &charge, const RequestId &request);

    /// @brief Applies the limits of a new configuration.
    void applyConfig();

    /// @brief Follows changes of the membership and updates metrics.
    void update(Millis now);

    /// @brief Discards unused units after a pause of the process.
    void handlePause(Millis now);

    /// @param forDataCentre adds the sum of the data centre as well
    void addToGossip(wire::EdgeGossip &gossip, bool forDataCentre);
    void applyGossip(const VmId &peer, const wire::EdgeGossip &gossip);

private:
    [[nodiscard]] const QuotaLimit *limitOf(const OrganisationId &organisation) const;
    [[nodiscard]] OrganisationQuota &quotaOf(const OrganisationId &organisation,
                                             const QuotaLimit &limit);
    [[nodiscard]] QuotaContext contextOf(const OrganisationQuota &quota, Millis now) const;
    /// Removes the reports of daemons and data centres that the peer table doesn't know any more.
    void removeUnknownReporters(OrganisationQuota &quota) const;
    void logState(Millis now);

    EdgeContext &context;
    EdgeState &state;
    PeerController &peers;
    std::map<OrganisationId, OrganisationQuota> quotas;
    /// When an organisation was last worth a report; the end of its use is reported as well.
    std::map<OrganisationId, Millis> reportedAt;
    Millis startedAt; ///< Of the process, or the end of its last pause.
    Millis loggedAt;
};

} // namespace balsamport

#endif
