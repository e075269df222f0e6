#ifndef BALSAMPORT_EDGE_EDGE_STATE_H
#define BALSAMPORT_EDGE_EDGE_STATE_H

#include <balsamport/edge/crash_history.h>
#include <balsamport/edge/server_catalog.h>
#include <balsamport/edge/server_choice.h>
#include <balsamport/edge/server_notices.h>
#include <balsamport/edge/service_config.h>
#include <balsamport/edge/shared_retry_budget.h>

#include <map>
#include <memory>

namespace balsamport {

/// @brief What requests are decided by. Of the loop's thread only.
struct EdgeState
{
    Millis startedAt; ///< Of this process.
    std::shared_ptr<const EdgeConfig> config; ///< Nothing before the first one.
    ServerCatalog catalog;
    ServerExperiences experiences;
    ServerNotices notices;
    AdapterDemand demand;
    AdapterHomes homes;
    /// Longest wait that a caller of each route has asked for: a caller that comes back after a
    /// refusal has that much less time left.
    std::map<std::string, Millis> callerWaits;
    std::map<ServiceId, SharedRetryBudget> retryBudgets;
    CrashHistory crashes;
    bool draining = false;
};

} // namespace balsamport

#endif
