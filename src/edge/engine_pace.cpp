#include <balsamport/edge/engine_pace.h>

#include <algorithm>
#include <vector>

namespace balsamport {

namespace {

/// Prompts that are read faster say little about an engine's pace.
constexpr Millis leastSampleWork{40};
/// Samples of an engine's pace; a busy engine gives as many in some 2 s.
constexpr std::size_t paceSamples = 9;
/// An engine that seems slower than this is stalled, not slow.
constexpr double mostSlowness = 6.0;

} // namespace

void noteReading(EnginePace &pace, Millis reading, Millis nominal)
{
    if (nominal < leastSampleWork) {
        return;
    }
    pace.samples.push_back(static_cast<double>(reading.count())
                           / static_cast<double>(nominal.count()));
    if (pace.samples.size() > paceSamples) {
        pace.samples.pop_front();
    }
    std::vector<double> sorted(pace.samples.begin(), pace.samples.end());
    const std::size_t lowerThird = sorted.size() / 3;
    std::nth_element(sorted.begin(), sorted.begin() + static_cast<std::ptrdiff_t>(lowerThird),
                     sorted.end());
    pace.slowness = std::clamp(sorted[lowerThird], 1.0, mostSlowness);
}

} // namespace balsamport
