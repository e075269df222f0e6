#ifndef BALSAMPORT_TOOLS_WORKLOAD_H
#define BALSAMPORT_TOOLS_WORKLOAD_H

#include <balsamport/core/clock.h>

#include <cstdint>
#include <string>
#include <vector>

namespace balsamport {

/// @brief A name that callers send as `model`, and the adapter versions that may answer it.
struct WorkloadModel
{
    std::string name;
    std::vector<std::string> servedBy; ///< ADAPTER@VERSION

    bool operator==(const WorkloadModel &) const = default;
};

/// @brief What kind of request a caller sends.
enum class RequestKind : std::uint8_t {
    Stream,
    Complete,
    Booking,
};

/// @brief Describes a synthetic load.
struct WorkloadSettings
{
    double requestsPerSecond = 50; ///< Mean rate outside the peak.
    Millis duration{10'000};
    double peakFactor = 1; ///< Rate at the middle of the run, relative to its ends.
    std::vector<WorkloadModel> models; ///< Most popular first, before any shift.
    double zipfExponent = 1; ///< Popularity of the n-th model is 1 / n^exponent.
    Millis shiftPeriod{0}; ///< How often the popularity shifts; 0 for never.
    std::size_t shiftStep = 1; ///< Places by which it shifts.
    double completeShare = 0.3; ///< Share of answers that are not streamed.
    double bookingShare = 0.1;
    double repeatShare = 0.2; ///< Share of bookings that are sent twice.
    Millis repeatDelay{50};
    std::uint32_t tokens = 16;
    std::uint64_t seed = 1;
};

/// @brief One request that is to be sent, at a time that does not depend on earlier answers.
struct PlannedRequest
{
    Millis at; ///< From the start of the run.
    RequestKind kind = RequestKind::Stream;
    std::size_t model = 0; ///< Index of the model; not for bookings.
    std::uint64_t booking = 0; ///< The same for a booking and its repeat; 0 for others.

    bool operator==(const PlannedRequest &) const = default;
};

/// @brief Gives the rate at a time: a curve that rises from the mean to the peak and falls again.
[[nodiscard]] double rateAt(const WorkloadSettings &settings, Millis at) noexcept;

/// @brief Draws a whole run: a Poisson process with the rate of rateAt().
/// @return the requests ordered by time; the same for the same settings
/// @complexity O(n log m) for n requests and m models
[[nodiscard]] std::vector<PlannedRequest> planWorkload(const WorkloadSettings &settings);

} // namespace balsamport

#endif
