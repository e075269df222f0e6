#ifndef BALSAMPORT_EDGE_SERVER_CHOICE_H
#define BALSAMPORT_EDGE_SERVER_CHOICE_H

#include <balsamport/core/clock.h>
#include <balsamport/core/ids.h>
#include <balsamport/edge/server_catalog.h>
#include <balsamport/policy/load_estimate.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string_view>
#include <vector>

namespace balsamport {

/// @brief This daemon's statistics of a backend server.
struct ServerStats
{
    std::uint32_t inFlight = 0; ///< Requests of this daemon.
    double failureRate = 0; ///< Failed share of its responses, weighted to the newest.
    Millis avoidUntil{-1}; ///< After it accepted no connection or stopped responding.
    Millis expectedWait{0}; ///< As its owner last reported.
    Millis waitReportedAt{-1}; ///< -1 before the first report.

    bool operator==(const ServerStats &) const = default;
};

using ServerStatsMap = std::map<BackendServerId, ServerStats>;

/// @brief Location of this daemon.
struct Location
{
    DataCentreId dataCentre;
    std::map<DataCentreId, RegionId> regions; ///< Of all data centres.

    bool operator==(const Location &) const = default;
};

/// @brief Distance of a server.
enum class Distance : std::uint8_t {
    SameDataCentre,
    SameRegion,
    OtherRegion,
};

[[nodiscard]] Distance distanceTo(const Location &location, const DataCentreId &dataCentre);

/// @return the number of regions, at least one
[[nodiscard]] std::size_t regionCount(const Location &location);

/// @brief Records the result of a request in the failure rate.
void recordResponse(ServerStats &stats, bool failed) noexcept;

/// @brief Records that a server couldn't be reached, so that it is tried last for a while.
void recordUnreachable(ServerStats &stats, Millis now) noexcept;

/// @brief Demand for adapters in the own region, as reported by the owners of their engines. A
/// daemon can't measure it alone: one of seventy receives a request for a busy adapter every few
/// seconds.
struct AdapterDemand
{
    struct Report
    {
        double perSecond = 0;
        Millis at;

        bool operator==(const Report &) const = default;
    };
    std::map<std::string, Report, std::less<>> reports;

    bool operator==(const AdapterDemand &) const = default;
};

/// @brief Records the demand that an owner reported.
/// @param perSecond requests for the adapter in the whole region
void recordDemand(AdapterDemand &demand, std::string_view adapter, double perSecond, Millis now);

/// @return requests a second for the adapter in the own region; 0 without a recent report
[[nodiscard]] double demandFor(const AdapterDemand &demand, std::string_view adapter, Millis now);

/// @brief Engines that served adapters last, so that no further engine loads them.
struct AdapterAffinity
{
    struct ServedBy
    {
        BackendServerId server;
        Millis servedAt;

        bool operator==(const ServedBy &) const = default;
    };
    std::map<std::string, ServedBy, std::less<>> lastServed;

    bool operator==(const AdapterAffinity &) const = default;
};

/// @brief Records that a request for an adapter was granted on an engine.
void recordServedBy(AdapterAffinity &affinity, std::string_view adapter,
                    const BackendServerId &server, Millis now);

/// @return the engine that served the adapter recently, or nothing
[[nodiscard]] std::optional<BackendServerId> lastEngine(const AdapterAffinity &affinity,
                                                        std::string_view adapter, Millis now);

/// @brief Requirements of a request for an engine.
struct EngineQuery
{
    AdapterName name; ///< With an empty adapter for the base model itself.
    double requestsPerSecond = 0; ///< For the adapter in the whole region; 0 if not known.
    std::optional<BackendServerId> lastEngine; ///< That served this daemon's last request for it.
    const EngineLoads *loads = nullptr; ///< Of all engines; null to choose without them.

    bool operator==(const EngineQuery &) const = default;
};

/// @brief Engines for a request, best first.
struct EngineRanking
{
    std::vector<BackendServerId> servers;
    std::vector<BackendServerId> preferred; ///< The adapter's requests are spread over these.
    bool regional = false; ///< The preferred engines serve the own region only.

    bool operator==(const EngineRanking &) const = default;
};

/// @brief Ranks the engines for an adapter: its preferred engines in the own region first, one or
/// more by its demand, those with the shortest expected wait first; then the rest of the region;
/// then the other regions.
///
/// An adapter with little demand has one preferred engine for all regions: the one that served it
/// last, one that holds it, or the less busy of its first two engines. Engines that hold the
/// adapter are preferred before others; where the demand isn't known, as after a start, all of the
/// region that hold it are.
///
/// With loads, a busy adapter's request goes to the less loaded of two of its preferred engines
/// that are drawn at random, an adapter that is nowhere goes to the less loaded of its first two
/// engines, and engines with capacity go first among those that have to load it: of the own region,
/// then of the others.
/// @param random spreads requests over equally ranked preferred engines
/// @complexity O(n log n)
[[nodiscard]] EngineRanking rankEngines(const std::vector<const ServerEntry *> &servers,
                                        const Location &location, const ServerStatsMap &serverStats,
                                        const EngineQuery &query, std::uint64_t random, Millis now);

/// @brief Ranks the replicas of a plain service by load, distance and failures, best first.
/// @param random breaks ties, so that daemons don't all choose the same replica
[[nodiscard]] std::vector<BackendServerId>
rankReplicas(const std::vector<const ServerEntry *> &servers, const Location &location,
             const ServerStatsMap &serverStats, std::uint64_t random, Millis now);

} // namespace balsamport

#endif
