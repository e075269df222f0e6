#include <balsamport/policy/load_estimate.h>

#include <balsamport/core/rendezvous.h>

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace balsamport {

namespace {

/// Time in which the difference between a report and the mean falls to 1/e. Load follows bursts of
/// a few seconds.
constexpr double reportTimeConstantSeconds = 2.0;
/// A report that is older says nothing any more.
constexpr Millis maxReportAge{5'000};
/// A load up to this is light in any fleet: prompts wait for less than one other.
constexpr double lightLoad = 0.4;
/// An engine above this part of the mean isn't light.
constexpr double lightByMean = 1.1;
/// Differences are compared with the mean load, or with this in an idle fleet.
constexpr double minCertainDifference = 0.05;
/// Probability of the swap of two engines that differ by the mean load.
constexpr double swapGain = 1.0;
/// Difference of load at which an adapter is loaded on its second engine instead of its first: a
/// load delays one request by as much as a queue of a quarter of a second.
constexpr double secondEngineMargin = 0.25;

} // namespace

void applyLoadReport(EngineLoads &loads, const BackendServerId &engine, double load, Millis at)
{
    const auto known = loads.reports.find(engine);
    if (known == loads.reports.end() || at >= known->second.at) {
        loads.reports[engine] = LoadReport{load, at};
    }
}

void updateMeanLoad(EngineLoads &loads, Millis now)
{
    std::erase_if(loads.reports,
                  [now](const auto &entry) { return now - entry.second.at > maxReportAge; });
    double sum = 0;
    for (const auto &[engine, report] : loads.reports) {
        sum += report.load;
    }
    loads.recent = loads.reports.size();
    loads.mean = loads.recent == 0 ? 0 : sum / static_cast<double>(loads.recent);
}

double estimatedLoad(const EngineLoads &loads, const BackendServerId &engine, Millis now)
{
    const auto known = loads.reports.find(engine);
    if (known == loads.reports.end() || now - known->second.at > maxReportAge) {
        return loads.mean;
    }
    constexpr double millisPerSecond = 1000.0;
    const double age = std::max(static_cast<double>((now - known->second.at).count()), 0.0);
    const double weight = std::exp(-age / millisPerSecond / reportTimeConstantSeconds);
    return loads.mean + (known->second.load - loads.mean) * weight;
}

bool isLightlyLoaded(const EngineLoads &loads, const BackendServerId &engine, Millis now)
{
    return estimatedLoad(loads, engine, now) <= std::max(lightLoad, loads.mean * lightByMean);
}

double busiestByMean(const EngineLoads &loads, Millis now)
{
    double busiest = loads.mean;
    for (const auto &[engine, report] : loads.reports) {
        busiest = std::max(busiest, estimatedLoad(loads, engine, now));
    }
    return loads.mean > 0 ? busiest / loads.mean : 1.0;
}

void orderByTwoChoices(std::vector<BackendServerId> &engines, const EngineLoads &loads,
                       std::uint64_t random, Millis now)
{
    for (std::size_t i = 0; i + 1 < engines.size(); ++i) {
        const double difference
                = estimatedLoad(loads, engines[i], now) - estimatedLoad(loads, engines[i + 1], now);
        const double relative = difference / std::max(loads.mean, minCertainDifference);
        const double draw = static_cast<double>(mixHash(random, i))
                / static_cast<double>(std::numeric_limits<std::uint64_t>::max());
        // The engines are in random order, so equal ones stay as they are.
        if (draw < relative * swapGain) {
            std::swap(engines[i], engines[i + 1]);
        }
    }
}

bool prefersSecond(const EngineLoads &loads, const BackendServerId &first,
                   const BackendServerId &second, Millis now)
{
    return estimatedLoad(loads, first, now)
            > estimatedLoad(loads, second, now) + secondEngineMargin;
}

} // namespace balsamport
