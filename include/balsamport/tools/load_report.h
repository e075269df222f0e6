#ifndef BALSAMPORT_TOOLS_LOAD_REPORT_H
#define BALSAMPORT_TOOLS_LOAD_REPORT_H

#include <balsamport/tools/response_check.h>

#include <map>
#include <string>
#include <vector>

namespace balsamport {

/// @brief Quantiles of a list of durations, in milliseconds.
struct Distribution
{
    std::uint64_t count = 0;
    double median = 0;
    double p90 = 0;
    double p95 = 0;
    double p99 = 0;
    double maximum = 0;

    bool operator==(const Distribution &) const = default;
};

/// @brief Reads the exact quantiles of a list with Boost.Accumulators.
/// @complexity O(n log n)
[[nodiscard]] Distribution distributionOf(const std::vector<double> &values);

/// @brief One answered request. Times count from the moment at which it was to be sent.
struct LoadSample
{
    PlannedRequest planned;
    ResponseVerdict verdict = ResponseVerdict::NoResponse;
    std::string errorType; ///< Of a refusal.
    Millis timeToFirstByte;
    Millis timeToCompletion;

    bool operator==(const LoadSample &) const = default;
};

/// @brief State of gateways and engines, read once a second.
struct FleetSample
{
    Millis at;
    double batchFill = 0; ///< Running requests by places, over all engines, 0 to 1.
    double loadStallMs = 0; ///< 95th percentile, the largest of all gateways.

    bool operator==(const FleetSample &) const = default;
};

/// @brief A whole run.
struct LoadReport
{
    WorkloadSettings settings;
    std::vector<LoadSample> samples;
    std::vector<FleetSample> fleet;
    std::uint64_t keysUsed = 0;
    bool ledgerRead = false; ///< False where no ledger was named or one could not be read.
    LedgerFaults ledger;

    /// @return answers that no caller may see, and faults of the ledger
    [[nodiscard]] std::uint64_t violations() const;
};

[[nodiscard]] std::string reportAsTable(const LoadReport &report);
[[nodiscard]] std::string reportAsJson(const LoadReport &report);

/// @brief Writes a row a second: time, rate, first byte's median and p95, load stall, batch fill,
/// good, refused and other answers.
[[nodiscard]] std::string reportAsPlotData(const LoadReport &report);

/// @brief Writes a gnuplot script that draws the data file as SVG.
[[nodiscard]] std::string plotScript(const std::string &dataFile, const std::string &svgFile);

} // namespace balsamport

#endif
