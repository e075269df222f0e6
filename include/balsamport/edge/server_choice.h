#ifndef BALSAMPORT_EDGE_SERVER_CHOICE_H
#define BALSAMPORT_EDGE_SERVER_CHOICE_H

#include <balsamport/core/clock.h>
#include <balsamport/core/ids.h>
#include <balsamport/edge/server_catalog.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string_view>
#include <vector>

namespace balsamport {

/// @brief What this daemon has seen of a backend server.
struct ServerStats
{
    std::uint32_t inFlight = 0; ///< Requests of this daemon that run there.
    double failureRate = 0; ///< Of its late answers, weighted to the newest.
    Millis avoidUntil{-1}; ///< It did not accept a connection or fell silent.
    Millis expectedWait{0}; ///< That its owner told last.
    Millis waitReportedAt{-1};

    bool operator==(const ServerStats &) const = default;
};

using ServerStatsMap = std::map<BackendServerId, ServerStats>;

/// @brief Where this daemon stands.
struct Location
{
    DataCentreId dataCentre;
    std::map<DataCentreId, RegionId> regions; ///< Of all data centres.

    bool operator==(const Location &) const = default;
};

/// @brief How far away a server is.
enum class Distance : std::uint8_t {
    SameDataCentre,
    SameRegion,
    OtherRegion,
};

[[nodiscard]] Distance distanceTo(const Location &location, const DataCentreId &dataCentre);

/// @return how many regions there are, at least one
[[nodiscard]] std::size_t regionCount(const Location &location);

/// @brief Notes how an answer turned out.
void recordResponse(ServerStats &stats, bool failed) noexcept;

/// @brief Notes that a server could not be reached.
void recordUnreachable(ServerStats &stats, Millis now) noexcept;

/// @brief Demand for adapters in the own region, as the owners of their engines told it. A daemon
/// sees too little of it itself: one of seventy gets a request of a busy adapter every few seconds.
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

/// @brief Takes an owner's word.
/// @param perSecond requests for the adapter in the whole region
void recordDemand(AdapterDemand &demand, std::string_view adapter, double perSecond, Millis now);

/// @return requests a second for the adapter in the own region; 0 where nobody told lately
[[nodiscard]] double demandFor(const AdapterDemand &demand, std::string_view adapter, Millis now);

/// @brief Where adapters were served last, so that they are not loaded elsewhere as well.
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

/// @brief Notes that an engine gave an adapter's request a place.
void recordServedBy(AdapterAffinity &affinity, std::string_view adapter,
                    const BackendServerId &server, Millis now);

/// @return the engine that served the adapter lately, or nothing
[[nodiscard]] std::optional<BackendServerId> lastEngine(const AdapterAffinity &affinity,
                                                        std::string_view adapter, Millis now);

/// @brief What a request wants of an engine.
struct EngineQuery
{
    AdapterName name; ///< Without an adapter, for the base model itself.
    double requestsPerSecond = 0; ///< For the adapter in the whole region; 0 if not known.
    std::optional<BackendServerId> lastEngine; ///< Where this daemon had it served last, if known.

    bool operator==(const EngineQuery &) const = default;
};

/// @brief Engines for a request, best first.
struct EngineRanking
{
    std::vector<BackendServerId> servers;
    std::vector<BackendServerId>
            preferred; ///< Those among which the adapter's requests are spread.
    bool regional = false; ///< The homes serve the own region only.

    bool operator==(const EngineRanking &) const = default;
};

/// @brief Ranks the engines for an adapter: its homes in the own region first, one or more by its
/// demand, the least busy of them first; then the rest of the region; then the other regions. An
/// adapter with little demand has one home in all regions: where it was served last, an engine that
/// holds it, or the less busy of its first two engines. Engines that hold the adapter become its
/// homes before others; where the demand is not known, as after a start, all near ones do.
/// @param random spreads requests over homes that are alike
/// @complexity O(n log n)
[[nodiscard]] EngineRanking rankEngines(const std::vector<const ServerEntry *> &servers,
                                        const Location &location, const ServerStatsMap &serverStats,
                                        const EngineQuery &query, std::uint64_t random, Millis now);

/// @brief Ranks the replicas of a plain service: the least loaded near one first.
/// @param random breaks ties, so that daemons do not all choose alike
[[nodiscard]] std::vector<BackendServerId>
rankReplicas(const std::vector<const ServerEntry *> &servers, const Location &location,
             const ServerStatsMap &serverStats, std::uint64_t random, Millis now);

} // namespace balsamport

#endif
