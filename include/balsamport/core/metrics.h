#ifndef BALSAMPORT_CORE_METRICS_H
#define BALSAMPORT_CORE_METRICS_H

#include <balsamport/core/clock.h>

#include <array>
#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

namespace balsamport {

/// @brief Type of a metric in the Prometheus text format.
enum class MetricKind : std::uint8_t {
    Counter, ///< Never decreases.
    Gauge, ///< Increases and decreases.
    Summary, ///< Quantiles, sum and count of observed values.
};

/// @brief Describes a metric. All texts have static lifetime. metric_names.h lists all metrics.
struct MetricInfo
{
    std::string_view name; ///< With its unit as suffix, as Prometheus recommends.
    MetricKind kind = MetricKind::Counter;
    std::string_view label; ///< Name of the only label; empty for none.
    std::string_view help;

    bool operator==(const MetricInfo &) const = default;
};

/// @brief A number that never decreases. Thread-safe and lock-free.
class Counter
{
public:
    void add(std::uint64_t amount = 1) noexcept
    {
        this->total.fetch_add(amount, std::memory_order_relaxed);
    }
    [[nodiscard]] std::uint64_t value() const noexcept
    {
        return this->total.load(std::memory_order_relaxed);
    }

private:
    std::atomic<std::uint64_t> total{0};
};

/// @brief A number that is set to its current value. Thread-safe and lock-free.
class Gauge
{
public:
    void set(double number) noexcept { this->current.store(number, std::memory_order_relaxed); }
    [[nodiscard]] double value() const noexcept
    {
        return this->current.load(std::memory_order_relaxed);
    }

private:
    std::atomic<double> current{0};
};

/// @brief Statistics of the values that a Summary observed.
struct SummaryValues
{
    std::uint64_t count = 0; ///< Since the start.
    double sum = 0; ///< Since the start.
    double median = 0; ///< Of the last complete window; of the current one if there is none.
    double p90 = 0; ///< Of the same window, as are all values below.
    double p95 = 0;
    double p99 = 0;
    double maximum = 0;

    bool operator==(const SummaryValues &) const = default;
};

/// @brief Estimates quantiles of observed values over windows of one minute. Thread-safe.
///
/// Threads write to shards, each with its own lock. The values of a full shard are moved to the
/// accumulators of the window together, so that the lock shared by all threads is rarely acquired.
class Summary
{
public:
    Summary();
    ~Summary();
    Summary(const Summary &) = delete;
    Summary &operator=(const Summary &) = delete;

    /// @brief Records a value.
    /// @param now monotonic time
    /// @complexity constant
    void observe(double value, Millis now);

    /// @brief Moves the values of all shards to the window, and computes the statistics.
    /// @param now monotonic time
    [[nodiscard]] SummaryValues values(Millis now);

private:
    struct Shard;
    struct Window;
    static constexpr std::size_t shardCount = 8;

    void moveToWindow(const std::vector<double> &values, Millis now); ///< With windowMutex held.
    void rotateWindow(Millis now); ///< With windowMutex held.

    std::array<std::unique_ptr<Shard>, shardCount> shards;
    std::mutex windowMutex;
    std::unique_ptr<Window> current;
    std::unique_ptr<Window> previous;
    std::uint64_t count = 0;
    double sum = 0;
};

/// @brief All metrics of a process. Thread-safe.
///
/// References to metrics are valid during the lifetime of the registry; code that updates a value
/// often should keep the reference.
///
/// Example: `metrics.counter(metric::refusals, "overloaded").add();`
class MetricsRegistry
{
public:
    /// @name Find or create a metric
    /// @param labelValue value of the metric's label; empty if it has none
    /// @complexity logarithmic in the number of metrics, with a lock
    /// @{
    Counter &counter(const MetricInfo &info, std::string_view labelValue = {});
    Gauge &gauge(const MetricInfo &info, std::string_view labelValue = {});
    Summary &summary(const MetricInfo &info, std::string_view labelValue = {});
    /// @}

    /// @brief Formats all metrics in the Prometheus text format.
    /// @param now monotonic time
    [[nodiscard]] std::string prometheusText(Millis now);

private:
    struct Entry
    {
        MetricInfo info;
        std::map<std::string, std::unique_ptr<Counter>, std::less<>> counters;
        std::map<std::string, std::unique_ptr<Gauge>, std::less<>> gauges;
        std::map<std::string, std::unique_ptr<Summary>, std::less<>> summaries;
    };

    Entry &entry(const MetricInfo &info);

    std::mutex mutex;
    std::map<std::string_view, Entry> entries;
};

/// @return the registry of the process, exposed at /metrics
[[nodiscard]] MetricsRegistry &processMetrics();

} // namespace balsamport

#endif
