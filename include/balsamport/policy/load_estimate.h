#ifndef BALSAMPORT_POLICY_LOAD_ESTIMATE_H
#define BALSAMPORT_POLICY_LOAD_ESTIMATE_H

#include <balsamport/core/clock.h>
#include <balsamport/core/ids.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

/// @file
/// Estimates the load of engines from reports that are 0.5 to 2 s old, and chooses among engines
/// by it.
///
/// Answers the load of many daemons that choose at the same moment from the same reports. The
/// least loaded engine of a report would get the requests of all of them; an engine that is chosen
/// from two drawn at random gets at most twice its share before the next report.

namespace balsamport {

/// @brief The load of an engine as its owner reported it.
struct LoadReport
{
    /// Prefill time granted and queued, as a part of what the engine can do; above 1 where the
    /// queue grows.
    double load = 0;
    Millis at; ///< When the owner reported it, on this daemon's clock.

    bool operator==(const LoadReport &) const = default;
};

/// @brief The loads of the engines of the fleet, as one daemon knows them.
struct EngineLoads
{
    bool inUse = false; ///< Choices follow the loads.
    std::map<BackendServerId, LoadReport> reports;
    /// Means of the recent reports, as updateMeanLoad() set them.
    double mean = 0;
    std::size_t recent = 0; ///< Number of recent reports.

    bool operator==(const EngineLoads &) const = default;
};

/// @brief Applies the report of an engine's owner, unless a newer one is known.
void applyLoadReport(EngineLoads &loads, const BackendServerId &engine, double load, Millis at);

/// @brief Recomputes the mean load, and removes old reports.
/// @complexity linear in the engines
void updateMeanLoad(EngineLoads &loads, Millis now);

/// @return the load of an engine: its report, moved to the mean of the fleet as it ages; the mean
/// without a recent report
[[nodiscard]] double estimatedLoad(const EngineLoads &loads, const BackendServerId &engine,
                                   Millis now);

/// @return true where an engine has capacity to take requests of others
[[nodiscard]] bool isLightlyLoaded(const EngineLoads &loads, const BackendServerId &engine,
                                   Millis now);

/// @return the largest estimated load by the mean; 1 without recent reports
[[nodiscard]] double busiestByMean(const EngineLoads &loads, Millis now);

/// @brief Improves an order of engines that is random: each position gets the less loaded of its
/// engine and the next one, the more likely the more they differ. A choice that always took the
/// less loaded one would move the load of a difference that has passed by then.
/// @param random of the request
void orderByTwoChoices(std::vector<BackendServerId> &engines, const EngineLoads &loads,
                       std::uint64_t random, Millis now);

/// @return true where the second of an adapter's two engines should serve it: the first is busier
/// by more than the load of the adapter on another engine is worth
[[nodiscard]] bool prefersSecond(const EngineLoads &loads, const BackendServerId &first,
                                 const BackendServerId &second, Millis now);

} // namespace balsamport

#endif
