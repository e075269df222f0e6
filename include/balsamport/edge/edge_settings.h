#ifndef BALSAMPORT_EDGE_EDGE_SETTINGS_H
#define BALSAMPORT_EDGE_EDGE_SETTINGS_H

#include <balsamport/core/clock.h>
#include <balsamport/core/ids.h>
#include <balsamport/edge/server_choice.h>
#include <balsamport/edge/shared_retry_budget.h>

#include <string>
#include <vector>

namespace balsamport {

/// @brief Settings of the edge daemon. All addresses are IP:PORT.
struct EdgeSettings
{
    VmId vm;
    Location location;
    std::string callerAddress; ///< Callers' requests.
    std::string healthAddress; ///< The balancer's question whether this daemon takes callers.
    std::string healthPath = "/health";
    std::string metricsAddress;
    std::string peerAddress; ///< Messages of the other daemons.
    std::vector<std::string> seeds; ///< Peer addresses of daemons that may be up.
    std::string storeAddress;
    RetryBudgetLimits retryBudget;
    Millis leaseDuration{3'000}; ///< A new owner of an engine waits longer than this.
    Millis shutdownTimeout{8'000}; ///< From the stop signal to the end at the latest.
    Millis balancerDrainTime{2'500}; ///< The balancer needs this long to stop sending callers.

    bool operator==(const EdgeSettings &) const = default;
};

} // namespace balsamport

#endif
