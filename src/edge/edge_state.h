#ifndef BALSAMPORT_EDGE_EDGE_STATE_H
#define BALSAMPORT_EDGE_EDGE_STATE_H

#include <balsamport/edge/planned_stop.h>
#include <balsamport/edge/server_availability.h>
#include <balsamport/edge/server_catalog.h>
#include <balsamport/edge/server_choice.h>
#include <balsamport/edge/service_config.h>
#include <balsamport/edge/shared_retry_budget.h>
#include <balsamport/policy/crash_evidence.h>
#include <balsamport/policy/load_estimate.h>

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>

namespace balsamport {

/// @brief State on which decisions about requests are based. Used on the thread of the loop only.
struct EdgeState
{
    Millis startedAt; ///< Of this process.
    std::shared_ptr<const EdgeConfig> config; ///< Null before the first configuration.
    ServerCatalog catalog;
    ServerStatsMap serverStats;
    ServerAvailability availability;
    AdapterDemand demand;
    AdapterAffinity affinity;
    EngineLoads engineLoads;
    /// Longest time-out that a caller of each route has requested: the time-out of a caller
    /// that retries after a refusal is shorter by the time it has already spent.
    std::map<std::string, Millis> longestTimeouts;
    std::map<ServiceId, SharedRetryBudget> retryBudgets;
    CrashEvidence crashEvidence;
    /// How long the complete responses of each route and service took.
    std::map<std::pair<std::string, ServiceId>, RecentDurations> durations;
    std::optional<StopPlan> stop; ///< Set once this daemon is stopping.
};

} // namespace balsamport

#endif
