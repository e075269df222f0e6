#include <balsamport/tools/workload.h>

#include <algorithm>
#include <cmath>
#include <numbers>
#include <random>

namespace balsamport {

namespace {

constexpr double millisPerSecond = 1'000;

/// Draws models by Zipf's law; the ranks of the models shift with time.
class ModelPicker
{
public:
    explicit ModelPicker(const WorkloadSettings &settings)
        : modelCount(std::max<std::size_t>(1, settings.models.size()))
        , shiftPeriod(settings.shiftPeriod)
        , shiftStep(settings.shiftStep)
        , ranks(weights(this->modelCount, settings.zipfExponent))
    { }

    std::size_t pick(Millis at, std::mt19937_64 &random)
    {
        const auto shifts = this->shiftPeriod > Millis(0)
                ? static_cast<std::size_t>(at.count() / this->shiftPeriod.count())
                : 0;
        return (this->ranks(random) + shifts * this->shiftStep) % this->modelCount;
    }

private:
    static std::discrete_distribution<std::size_t> weights(std::size_t modelCount, double exponent)
    {
        std::vector<double> rankWeights;
        for (std::size_t rank = 1; rank <= modelCount; ++rank) {
            rankWeights.push_back(std::pow(static_cast<double>(rank), -exponent));
        }
        return {rankWeights.begin(), rankWeights.end()};
    }

    std::size_t modelCount;
    Millis shiftPeriod;
    std::size_t shiftStep;
    std::discrete_distribution<std::size_t> ranks;
};

RequestKind pickKind(const WorkloadSettings &settings, double draw) noexcept
{
    if (draw < settings.bookingShare) {
        return RequestKind::Booking;
    }
    const bool isComplete = draw < settings.bookingShare + settings.completeShare;
    return isComplete ? RequestKind::Complete : RequestKind::Stream;
}

Millis roundedMillis(double value) noexcept
{
    return Millis(std::llround(value));
}

} // namespace

double rateAt(const WorkloadSettings &settings, Millis at) noexcept
{
    const double progress = static_cast<double>(at.count())
            / std::max(1.0, static_cast<double>(settings.duration.count()));
    const double wave = std::sin(std::numbers::pi * progress);
    return settings.requestsPerSecond * (1 + (settings.peakFactor - 1) * wave * wave);
}

std::vector<PlannedRequest> planWorkload(const WorkloadSettings &settings)
{
    std::mt19937_64 random(settings.seed);
    std::uniform_real_distribution<double> unit(0, 1);
    ModelPicker models(settings);
    const double highestRate = settings.requestsPerSecond * std::max(1.0, settings.peakFactor);
    std::exponential_distribution<double> interval(highestRate / millisPerSecond);
    std::vector<PlannedRequest> plan;
    std::uint64_t bookings = 0;
    const auto end = static_cast<double>(settings.duration.count());
    for (double time = interval(random); time < end; time += interval(random)) {
        PlannedRequest request;
        request.at = roundedMillis(time);
        const bool isThinnedOut = unit(random) * highestRate > rateAt(settings, request.at);
        if (isThinnedOut) {
            continue;
        }
        request.kind = pickKind(settings, unit(random));
        if (request.kind != RequestKind::Booking) {
            request.model = models.pick(request.at, random);
            plan.push_back(request);
            continue;
        }
        request.booking = ++bookings;
        plan.push_back(request);
        if (unit(random) < settings.repeatShare) {
            request.at += settings.repeatDelay;
            plan.push_back(request);
        }
    }
    std::stable_sort(plan.begin(), plan.end(),
                     [](const auto &a, const auto &b) { return a.at < b.at; });
    return plan;
}

} // namespace balsamport
