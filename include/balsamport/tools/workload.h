#ifndef BALSAMPORT_TOOLS_WORKLOAD_H
#define BALSAMPORT_TOOLS_WORKLOAD_H

#include <balsamport/core/clock.h>

#include <cstdint>
#include <string>
#include <vector>

namespace balsamport {

/// @brief A name that callers send as `model`, and the adapter versions that may serve it.
struct WorkloadModel
{
    std::string name;
    std::vector<std::string> servedBy; ///< ADAPTER@VERSION

    bool operator==(const WorkloadModel &) const = default;
};

/// @brief Kind of a caller's request.
enum class RequestKind : std::uint8_t {
    Stream, ///< Model request with a streamed response.
    Complete, ///< Model request with a response in one body.
    Booking,
};

/// @brief Settings of a synthetic workload.
struct WorkloadSettings
{
    double requestsPerSecond = 50; ///< Mean rate outside the peak.
    Millis duration{10'000};
    double peakFactor = 1; ///< Rate at the middle of the run, relative to its ends.
    std::vector<WorkloadModel> models; ///< Most popular first, before any shift.
    double zipfExponent = 1; ///< Popularity of the n-th model is 1 / n^exponent.
    Millis shiftPeriod{0}; ///< How often the popularity shifts; 0 for never.
    std::size_t shiftStep = 1; ///< Ranks by which it shifts.
    double completeShare = 0.3; ///< Share of requests whose response is not streamed.
    double bookingShare = 0.1;
    double repeatShare = 0.2; ///< Share of bookings that are sent twice.
    Millis repeatDelay{50};
    std::uint32_t tokens = 16; ///< Of each response.
    std::uint64_t seed = 1;
};

/// @brief One request to send, at a time that does not depend on earlier responses.
struct PlannedRequest
{
    Millis at; ///< From the start of the run.
    RequestKind kind = RequestKind::Stream;
    std::size_t model = 0; ///< Index of the model; unused for bookings.
    std::uint64_t booking = 0; ///< Number of a booking, which its repeat shares; 0 for others.

    bool operator==(const PlannedRequest &) const = default;
};

/// @brief Returns the rate at a time, in requests a second: it rises from the mean to the peak in
/// the middle of the run and falls again.
[[nodiscard]] double rateAt(const WorkloadSettings &settings, Millis at) noexcept;

/// @brief Generates the requests of a run as a Poisson process with the rate of rateAt().
/// @return the requests ordered by time; the same for the same settings
/// @complexity O(n log m) for n requests and m models
[[nodiscard]] std::vector<PlannedRequest> planWorkload(const WorkloadSettings &settings);

} // namespace balsamport

#endif
