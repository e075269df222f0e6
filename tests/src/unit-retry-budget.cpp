#include <balsamport/edge/shared_retry_budget.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <vector>

using namespace balsamport;

namespace {

constexpr std::size_t daemons = 64;

/// Counts the requests and the repeats of all daemons, apart from the module, as the users' rules
/// do: in any window, repeats are bounded by the requests of that window, of the one before, or of
/// the one half a window before.
class BudgetOracle
{
public:
    explicit BudgetOracle(RetryBudgetLimits budgetLimits)
        : limits(budgetLimits)
    { }

    void recordRequest(Millis at) { this->requests.push_back(at); }
    void recordRepeat(Millis at) { this->repeats.push_back(at); }

    /// @return the repeats by what is allowed, in the window in which they are the most
    [[nodiscard]] double worstPart() const
    {
        double worst = 0;
        constexpr Millis step{50};
        const Millis window = this->limits.window;
        for (Millis from = Millis(0) - window;
             !this->repeats.empty() && from <= this->repeats.back(); from += step) {
            const std::size_t counted
                    = std::max({countIn(this->requests, from, window),
                                countIn(this->requests, from - window, window),
                                countIn(this->requests, from - window / 2, window)});
            const double allowed
                    = this->limits.ratio * static_cast<double>(counted) + this->limits.slack;
            worst = std::max(worst,
                             static_cast<double>(countIn(this->repeats, from, window)) / allowed);
        }
        return worst;
    }

private:
    static std::size_t countIn(const std::vector<Millis> &times, Millis from, Millis length)
    {
        return static_cast<std::size_t>(std::lower_bound(times.begin(), times.end(), from + length)
                                        - std::lower_bound(times.begin(), times.end(), from));
    }

    RetryBudgetLimits limits;
    std::vector<Millis> requests; ///< In order.
    std::vector<Millis> repeats; ///< In order.
};

} // namespace

// Guards against counters that cover less than a window: two bursts of failures then get the whole
// budget each, within one window.
TEST_CASE("bursts of retries stay within the budget in every window")
{
    const double perSecond = GENERATE(60.0, 276.0, 788.0);
    const RetryBudgetLimits limits{0.2, 168, Millis(10'000)};
    BudgetOracle oracle(limits);
    std::vector<SharedRetryBudget> budgets(daemons);
    constexpr Millis firstWave{21'300};
    constexpr Millis waveInterval{9'400};
    constexpr Millis waveLength{700};
    constexpr Millis end{40'000};
    constexpr int wantedRetries = 3;
    std::size_t sent = 0;
    for (Millis now{0}; now < end; now += Millis(1)) {
        const bool fails = (now >= firstWave && now < firstWave + waveLength)
                || (now >= firstWave + waveInterval && now < firstWave + waveInterval + waveLength);
        for (; static_cast<double>(sent) < static_cast<double>(now.count()) * perSecond / 1'000;
             ++sent) {
            SharedRetryBudget &budget = budgets[sent % daemons];
            budget.recordRequest(limits, now);
            oracle.recordRequest(now);
            for (int retry = 0; fails && retry < wantedRetries; ++retry) {
                if (budget.tryTake(limits, daemons, now)) {
                    oracle.recordRepeat(now);
                }
            }
        }
    }
    CAPTURE(perSecond);
    REQUIRE(oracle.worstPart() <= 1.0);
}
