#ifndef BALSAMPORT_EDGE_EDGE_SETTINGS_H
#define BALSAMPORT_EDGE_EDGE_SETTINGS_H

#include <balsamport/core/clock.h>
#include <balsamport/core/ids.h>
#include <balsamport/edge/server_choice.h>
#include <balsamport/edge/shared_retry_budget.h>

#include <cstdint>
#include <string>
#include <vector>

namespace balsamport {

/// @brief Whether the choice of engines follows their reported loads.
enum class EvenLoad : std::uint8_t {
    Auto, ///< In fleets of many daemons.
    On,
    Off,
};

/// @brief Settings of the edge daemon. All addresses are IP:PORT.
struct EdgeSettings
{
    VmId vm;
    Location location;
    std::string callerAddress; ///< Listens for requests of callers.
    std::string healthAddress; ///< Listens for health checks of the load balancer.
    std::string healthPath = "/health";
    std::string metricsAddress; ///< Empty for no metrics server.
    std::string peerAddress; ///< Listens for messages of the other daemons.
    std::string advertisedPeerAddress; ///< Where they reach it; differs behind a proxy.
    std::vector<std::string> seeds; ///< Seed nodes: peer addresses of daemons that may be running.
    std::string storeAddress;
    RetryBudgetLimits retryBudget;
    /// A new owner of an engine waits longer than this before its first command.
    Millis leaseDuration{3'000};
    bool fleetStarts = false; ///< All daemons start now, for the first time.
    Millis shutdownTimeout{8'000}; ///< Longest time from the stop signal to the end.
    EvenLoad evenLoad = EvenLoad::Auto;
    std::uint64_t memoryBytes = 0; ///< Of the VM; 0 if unknown.
    std::uint32_t maxDescriptors = 0; ///< Of the process; 0 if unknown.
    Millis balancerDrainTime{2'500}; ///< The load balancer stops sending callers by then.

    bool operator==(const EdgeSettings &) const = default;
};

} // namespace balsamport

#endif
