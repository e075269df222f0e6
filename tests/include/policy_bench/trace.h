#ifndef BALSAMPORT_TESTS_POLICY_BENCH_TRACE_H
#define BALSAMPORT_TESTS_POLICY_BENCH_TRACE_H

#include "world.h"

namespace balsamport::bench {

/// @brief Records that a request started to run.
/// @param stall time that it waited for its adapter, without the delays of its messages
inline void recordStart(CellResult &result, const CellOptions &options, const Arrival &arrival,
                        Millis stall, Millis now)
{
    if (arrival.at < options.warmUp) {
        return;
    }
    result.stalls.push_back(stall.count());
    ++result.requests;
    const Millis end = now + sizes::tokenTime * arrival.tokens;
    result.missed += end - arrival.at > sizes::requestDeadline ? 1 : 0;
}

/// @brief Records that a request was refused.
/// @param timedOut whether it waited until its deadline
inline void recordRefusal(CellResult &result, const CellOptions &options, const Arrival &arrival,
                          bool timedOut)
{
    if (arrival.at < options.warmUp) {
        return;
    }
    result.stalls.push_back(sizes::requestDeadline.count());
    ++result.requests;
    ++(timedOut ? result.missed : result.refused);
}

/// @brief Draws requests with exponentially distributed gaps and adapters by popularity.
[[nodiscard]] inline std::vector<Arrival> drawTrace(const CellOptions &options,
                                                    double ratePerSecond)
{
    std::mt19937_64 random(options.seed);
    Popularity popularity(options.skew, random);
    std::vector<Arrival> trace;
    double time = 0;
    const auto length = static_cast<double>(options.length.count());
    bool shuffled = false;
    while (time < length) {
        const bool peak
                = options.fault == Fault::MonthEnd && time > length / 3 && time < length * 2 / 3;
        const double rate = ratePerSecond * (peak ? sizes::monthEndFactor : 1) / 1'000;
        const double unit = (static_cast<double>(random() >> 11U) + 1) * 0x1p-53;
        time += -std::log(unit) / rate;
        if (options.fault == Fault::Reshuffle && !shuffled && time > length / 2) {
            popularity.shuffle(random);
            shuffled = true;
        }
        Arrival arrival;
        arrival.at = Millis(static_cast<std::int64_t>(time));
        arrival.dataCentre = static_cast<std::uint32_t>(random() % sizes::dataCentres);
        arrival.adapter = popularity.draw(random);
        arrival.tokens = sizes::minTokens
                + static_cast<std::uint32_t>(random() % (sizes::maxTokens - sizes::minTokens + 1));
        trace.push_back(arrival);
    }
    return trace;
}

} // namespace balsamport::bench

#endif
