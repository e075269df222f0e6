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

/// @brief Computes the exact quantiles of a list.
/// @complexity O(n log n)
[[nodiscard]] Distribution distributionOf(const std::vector<double> &values);

/// @brief One completed request. Times count from the moment at which it was due to be sent.
struct LoadSample
{
    PlannedRequest planned;
    ResponseVerdict verdict = ResponseVerdict::NoResponse;
    std::string errorType; ///< Type of the error in a response that is not good.
    Millis timeToFirstByte;
    Millis timeToCompletion;

    bool operator==(const LoadSample &) const = default;
};

/// @brief State of gateways and engines, read once a second.
struct FleetSample
{
    Millis at;
    double batchFill = 0; ///< Running requests by batch slots, over all engines, 0 to 1.
    double loadStallMs = 0; ///< 95th percentile, the largest of all gateways.

    bool operator==(const FleetSample &) const = default;
};

/// @brief Settings and measurements of a complete run.
struct LoadReport
{
    WorkloadSettings settings;
    std::vector<LoadSample> samples;
    std::vector<FleetSample> fleet;
    std::uint64_t keysUsed = 0;
    bool ledgerRead = false; ///< False where no ledger was given or one could not be read.
    LedgerFaults ledger;

    /// @return the number of responses that no caller may receive, plus the faults of the ledger
    [[nodiscard]] std::uint64_t violations() const;
};

[[nodiscard]] std::string reportAsTable(const LoadReport &report);
[[nodiscard]] std::string reportAsJson(const LoadReport &report);

/// @brief Formats one row for each second: time, requests sent, median and 95th percentile of the
/// time to first byte, load stall, batch fill, good, refused and other responses.
[[nodiscard]] std::string reportAsPlotData(const LoadReport &report);

/// @brief Returns a gnuplot script that draws the data file as SVG.
[[nodiscard]] std::string plotScript(const std::string &dataFile, const std::string &svgFile);

} // namespace balsamport

#endif
